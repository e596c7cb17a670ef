#include "wire/worker_codec.h"

#include <array>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "net/json.h"
#include "wire/caller_status.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"
#include "wire/work_fields.h"

namespace burdockrock {

namespace {

// {"accepted", "epoch", "capacity", "attempts"}
struct ClaimAnswer {
  bool accepted = false;
  ClaimAccepted claim;
};

// {"started": true}
struct StartAnswer {
  bool started = false;
  std::int64_t born = 0;
};

// The body of every 409. Only a claim's has `accepted`, the others have
// `reason`.
struct Refusal {
  bool accepted = false;
  std::string reason;
  Epoch epoch = 0;
  std::string owner;
  std::int64_t born = 0;
};

}  // namespace

template <>
struct FieldsOf<ClaimCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("owner", it.owner);
    codec.Field("incarnation", it.incarnation);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<StartCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("attempt", it.attempt);
    codec.Field("resources", it.resources);
    codec.Field("payload", it.payload);
    codec.Field("lease_ms", it.lease);
    codec.Field("hold", it.hold);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<RunCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("attempt", it.attempt);
    codec.Field("resources", it.resources);
    codec.Field("payload", it.payload);
    codec.Field("lease_ms", it.lease);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<RenewCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("lease_ms", it.lease);
    codec.Field("wait_ms", it.wait);
    codec.Field("version", it.version);
    codec.Field("acknowledge", it.acknowledge);
    codec.Field("go", it.go);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<StopCommand> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("epoch", it.epoch);
    codec.Field("attempts", it.attempts);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<ClaimAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("accepted", it.accepted);
    codec.Field("epoch", it.claim.epoch);
    codec.Field("capacity", it.claim.capacity);
    codec.Field("attempts", it.claim.attempts);
    codec.Optional("born", it.claim.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<StartAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("started", it.started);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<RunEnded> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("outcome", it.outcome);
    codec.Field("answer", it.answer);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<RenewDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("version", it.version);
    codec.Field("attempts", it.attempts);
    codec.Field("usage", it.usage);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<StopDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("stopped", it.stopped);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

template <>
struct FieldsOf<Refusal> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("accepted", it.accepted, false);
    codec.Optional("reason", it.reason, std::string());
    codec.Field("epoch", it.epoch);
    codec.Field("owner", it.owner);
    codec.Optional("born", it.born, std::int64_t{0});
  }
};

namespace {

constexpr const char* kStaleReason = "stale_epoch";

template <typename T>
Decoded<WorkerCommand> DecodeCommand(const std::string& body) {
  auto decoded = DecodeText<T>(body);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  return WorkerCommand(std::get<T>(std::move(decoded)));
}

struct Route {
  const char* path;
  Decoded<WorkerCommand> (*decode)(const std::string& body);
};

constexpr std::array<Route, std::variant_size_v<WorkerCommand>> kRoutes = {{
    {"/v1/claim", &DecodeCommand<ClaimCommand>},
    {"/v1/start", &DecodeCommand<StartCommand>},
    {"/v1/run", &DecodeCommand<RunCommand>},
    {"/v1/renew", &DecodeCommand<RenewCommand>},
    {"/v1/stop", &DecodeCommand<StopCommand>},
}};

WorkerUnreachable Garbage(std::string message) {
  return {.may_have_been_received = true,
          .garbage = true,
          .message = std::move(message)};
}

WorkerUnreachable Garbage(const DecodeError& error) {
  return Garbage(ToString(error));
}

template <typename T>
WorkerResult Decode(const HttpResponse& response) {
  auto decoded = DecodeText<T>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  return std::get<T>(std::move(decoded));
}

WorkerResult DecodeClaim(const HttpResponse& response) {
  auto decoded = DecodeText<ClaimAnswer>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  auto& answer = std::get<ClaimAnswer>(decoded);
  if (!answer.accepted) {
    return Garbage("$.accepted: is false with status 200");
  }
  return std::move(answer.claim);
}

WorkerResult DecodeStart(const HttpResponse& response) {
  const auto decoded = DecodeText<StartAnswer>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  if (!std::get<StartAnswer>(decoded).started) {
    return Garbage("$.started: is false with status 200");
  }
  return StartDone{.born = std::get<StartAnswer>(decoded).born};
}

WorkerResult DecodeRun(const HttpResponse& response) {
  auto decoded = DecodeText<RunEnded>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  auto& ended = std::get<RunEnded>(decoded);
  if (ended.outcome == Outcome::kNone) {
    return Garbage("$.outcome: is none");
  }
  return std::move(ended);
}

WorkerResult DecodeRefusal(WorkerCommandKind kind,
                           const HttpResponse& response) {
  auto decoded = DecodeText<Refusal>(response.body);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    return Garbage(*error);
  }
  auto& refusal = std::get<Refusal>(decoded);
  const bool is_claim = kind == WorkerCommandKind::kClaim;
  if (!is_claim && refusal.reason.empty()) {
    return Garbage("$.reason: is missing");
  }
  const bool is_start =
      kind == WorkerCommandKind::kStart || kind == WorkerCommandKind::kRun;
  if (is_start && refusal.reason != kStaleReason) {
    return StartRefused{.reason = std::move(refusal.reason),
                        .born = refusal.born};
  }
  return StaleEpoch{.epoch = refusal.epoch,
                    .owner = std::move(refusal.owner),
                    .born = refusal.born};
}

HttpResponse Response(const Json::Value& body, int status = kOkStatus) {
  return {.status = status, .body = WriteJson(body)};
}

HttpResponse EncodeRefusal(WorkerCommandKind kind,
                           std::string reason,
                           const StaleEpoch& in_force) {
  const bool is_claim = kind == WorkerCommandKind::kClaim;
  Json::Value body =
      WriteValue(Refusal{.reason = is_claim ? "" : std::move(reason),
                         .epoch = in_force.epoch,
                         .owner = in_force.owner,
                         .born = in_force.born});
  if (is_claim) {
    body["accepted"] = false;
  }
  return Response(body, kConflictStatus);
}

struct AnswerEncoder {
  WorkerCommandKind kind;
  const StaleEpoch& in_force;

  HttpResponse operator()(const ClaimAccepted& it) const {
    return Response(WriteValue(ClaimAnswer{.accepted = true, .claim = it}));
  }
  HttpResponse operator()(const StartDone& it) const {
    return Response(WriteValue(StartAnswer{.started = true, .born = it.born}));
  }
  HttpResponse operator()(const StaleEpoch& it) const {
    return EncodeRefusal(kind, kStaleReason, it);
  }
  HttpResponse operator()(const StartRefused& it) const {
    return EncodeRefusal(kind, it.reason, in_force);
  }
  HttpResponse operator()(const WorkerUnreachable&) const {
    return Response(Json::objectValue, kUnavailableStatus);
  }
  template <typename T>
  HttpResponse operator()(const T& it) const {
    return Response(WriteValue(it));
  }
};

}  // namespace

WorkerCommandKind KindOf(const WorkerCommand& command) {
  return static_cast<WorkerCommandKind>(command.index());
}

HttpRequest EncodeWorkerCommand(const WorkerCommand& command) {
  HttpRequest request;
  request.method = "POST";
  request.path = kRoutes.at(command.index()).path;
  request.body = std::visit(
      [](const auto& it) { return WriteJson(WriteValue(it)); }, command);
  return request;
}

std::variant<WorkerCommand, DecodeError> DecodeWorkerCommand(
    const HttpRequest& request) {
  for (const Route& it : kRoutes) {
    if (request.path == it.path && request.method == "POST") {
      return it.decode(request.body);
    }
  }
  return DecodeError{.path = request.path,
                     .problem = request.method + " is no call to a worker",
                     .allowed = "POST to /v1/ and a command's name"};
}

HttpResponse EncodeWorkerAnswer(WorkerCommandKind kind,
                                const WorkerResult& result,
                                const StaleEpoch& in_force) {
  return std::visit(AnswerEncoder{.kind = kind, .in_force = in_force}, result);
}

WorkerResult DecodeWorkerAnswer(WorkerCommandKind kind,
                                const HttpResponse& response) {
  if (response.status == kConflictStatus) {
    return DecodeRefusal(kind, response);
  }
  if (response.status != kOkStatus) {
    return Garbage(fmt::format("status {}", response.status));
  }
  switch (kind) {
    case WorkerCommandKind::kClaim:
      return DecodeClaim(response);
    case WorkerCommandKind::kStart:
      return DecodeStart(response);
    case WorkerCommandKind::kRun:
      return DecodeRun(response);
    case WorkerCommandKind::kRenew:
      return Decode<RenewDone>(response);
    case WorkerCommandKind::kStop:
      return Decode<StopDone>(response);
  }
  return Garbage("an unknown command");
}

}  // namespace burdockrock
