#include "engine/records/documents.h"

#include <set>
#include <utility>

#include <fmt/format.h>

#include "engine/call_fields.h"
#include "model/worker_incarnation.h"
#include "net/json.h"
#include "wire/value_writer.h"

namespace burdockrock::engine {

namespace {

template <typename T>
std::variant<T, DocumentFault> AsDocument(Decoded<T> decoded) {
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return DocumentFault{.problem = ToString(*error)};
  }
  return std::get<T>(std::move(decoded));
}

// The id is part of its processes' names, where a separator would stand for
// another process.
std::variant<WorkerInfo, DocumentFault> DecodeWorker(std::string_view id,
                                                     std::string_view text) {
  auto decoded = AsDocument(DecodeText<WorkerInfo>(text));
  auto* info = std::get_if<WorkerInfo>(&decoded);
  if (info == nullptr) {
    return decoded;
  }
  if (info->id != id || WorkerIdOf(id) != id) {
    return DocumentFault{
        .problem = fmt::format("$.id: {}; allowed: {}", info->id, id)};
  }
  info->id = IncarnationName(id, info->born);
  return decoded;
}

std::string EncodeStatus(std::uint64_t wave, bool completed) {
  Json::Value status(Json::objectValue);
  status["wave"] = Json::UInt64(wave);
  status["state"] = Json::StaticString(completed ? "completed" : "running");
  return WriteJson(status);
}

const char* NameOf(TeamField field) {
  switch (field) {
    case TeamField::kName:
      return "name";
    case TeamField::kKeys:
      return "keys";
    case TeamField::kWeight:
      return "weight";
    case TeamField::kCap:
      return "cap";
  }
  return "";
}

std::optional<DecodeError> FindFaultOfTeams(
    const Configuration& configuration) {
  const auto fault =
      configuration.teams ? FindTeamFault(*configuration.teams) : std::nullopt;
  if (!fault) {
    return std::nullopt;
  }
  return DecodeError{
      .path = fmt::format("$.teams[{}].{}", fault->team, NameOf(fault->field)),
      .problem = fault->problem,
      .allowed = fault->allowed};
}

std::optional<DecodeError> FindFault(const Configuration& configuration) {
  std::set<std::string> services;
  for (std::size_t it = 0; it < configuration.services.size(); ++it) {
    const std::string& name = configuration.services[it].name;
    if (!services.insert(name).second) {
      return DecodeError{.path = fmt::format("$.services[{}].name", it),
                         .problem = name + " is listed twice",
                         .allowed = "each name once"};
    }
  }
  std::set<std::string> queues;
  for (std::size_t it = 0; it < configuration.queues.size(); ++it) {
    const QueuePolicy& queue = configuration.queues[it];
    const std::string path = fmt::format("$.queues[{}]", it);
    if (!queues.insert(queue.name).second) {
      return DecodeError{.path = path + ".name",
                         .problem = queue.name + " is listed twice",
                         .allowed = "each name once"};
    }
    if (!services.contains(queue.service)) {
      return DecodeError{.path = path + ".service",
                         .problem = queue.service + " is not a service",
                         .allowed = "a name of $.services"};
    }
    if (queue.max_attempts == 0) {
      return DecodeError{.path = path + ".max_attempts",
                         .problem = "is 0",
                         .allowed = "1 or more"};
    }
    if (queue.stretch < 1) {
      return DecodeError{
          .path = path + ".stretch",
          .problem = fmt::format("{} is too small", queue.stretch),
          .allowed = "1 or more"};
    }
    if (queue.stretch > kMaxStretch) {
      return DecodeError{
          .path = path + ".stretch",
          .problem = fmt::format("{} is too large", queue.stretch),
          .allowed = fmt::format("1 to {}", kMaxStretch)};
    }
  }
  return FindFaultOfTeams(configuration);
}

}  // namespace

StoreDocuments OwnDocuments() {
  return {
      .worker_prefix = "worker/",
      .operator_prefix = "operator/",
      .configuration_key = "operator/configuration",
      .wave_prefix = "operator/wave/",
      .wave_status_prefix = "status/wave/",
      .decode_worker =
          [](std::string_view id, std::string_view text) {
            return DecodeWorker(id, text);
          },
      .decode_configuration =
          [](std::string_view text) {
            return AsDocument(ReadConfiguration(text));
          },
      .decode_wave =
          [](std::string_view text) {
            return AsDocument(DecodeText<Wave>(text));
          },
      .encode_wave_status = EncodeStatus,
  };
}

std::string EncodeWorker(const WorkerInfo& worker) {
  return WriteJson(WriteValue(worker));
}

std::string EncodeConfiguration(const Configuration& configuration) {
  return WriteJson(WriteValue(configuration));
}

Decoded<Configuration> ReadConfiguration(std::string_view text) {
  auto decoded = DecodeText<Configuration>(text);
  if (const auto* configuration = std::get_if<Configuration>(&decoded)) {
    if (auto fault = FindFault(*configuration)) {
      return *std::move(fault);
    }
  }
  return decoded;
}

}  // namespace burdockrock::engine
