#include "standin/worker_codec.h"

#include <utility>
#include <vector>

#include "net/json.h"
#include "standin/field_reader.h"

namespace burdockrock::standin {

namespace {

constexpr int kConflict = 409;
constexpr int kNotFound = 404;

template <class Command>
Decoded<Command> Finish(FieldReader& reader, Command command) {
  std::string faults = reader.Faults();
  if (!faults.empty()) {
    return CodecError{std::move(faults)};
  }
  return command;
}

// Reads what Start and Run have in common.
StartCommand ReadStart(FieldReader& reader) {
  return {.epoch = reader.Count("epoch"),
          .attempt = reader.Attempt("attempt"),
          .resources = reader.ResourcesOf("resources"),
          .payload = reader.Text("payload", ""),
          .lease = reader.Milliseconds("lease_ms"),
          .hold = false};
}

std::string ReadIncarnation(FieldReader& reader) {
  const Json::Value& value = reader.Child("incarnation");
  if (!value.isString() && !value.isUInt64()) {
    reader.AddFault("incarnation", "is not a string or whole number");
    return "";
  }
  return value.asString();
}

HttpResponse Response(const Json::Value& body, int status = 200) {
  return HttpResponse{.status = status,
                      .body = WriteJson(body),
                      .content_type = "application/json",
                      .retry_after = std::nullopt};
}

Json::Value EncodeReport(const WorkerReport& it) {
  Json::Value report;
  report["attempt"] = ToString(it.report.attempt);
  report["resources"] = EncodeResources(it.report.resources);
  report["state"] = AttemptStateName(it.report.state);
  if (it.report.state == AttemptState::kEnded) {
    report["outcome"] = OutcomeName(it.report.outcome);
    report["answer"] = it.report.answer;
  }
  report["age_ms"] = static_cast<Json::Int64>(ToMilliseconds(it.age));
  return report;
}

Json::Value EncodeReports(const std::vector<WorkerReport>& reports) {
  Json::Value array(Json::arrayValue);
  for (const WorkerReport& it : reports) {
    array.append(EncodeReport(it));
  }
  return array;
}

Json::Value Body(const Claimed& it) {
  Json::Value body;
  body["accepted"] = true;
  body["epoch"] = static_cast<Json::UInt64>(it.epoch);
  body["capacity"] = EncodeResources(it.capacity);
  body["attempts"] = EncodeReports(it.attempts);
  return body;
}

Json::Value Body(const Started&) {
  Json::Value body;
  body["started"] = true;
  return body;
}

Json::Value Body(const RunEnded& it) {
  Json::Value body;
  body["outcome"] = OutcomeName(it.outcome);
  body["answer"] = it.answer;
  return body;
}

Json::Value Body(const Renewed& it) {
  Json::Value body;
  body["version"] = static_cast<Json::UInt64>(it.version);
  body["attempts"] = EncodeReports(it.attempts);
  body["usage"] = EncodeResources(it.usage);
  return body;
}

Json::Value Body(const Stopped& it) {
  Json::Value body;
  body["stopped"] = Json::Value(Json::arrayValue);
  for (const AttemptId& attempt : it.attempts) {
    body["stopped"].append(ToString(attempt));
  }
  return body;
}

Json::Value Body(const Throttled&) {
  Json::Value body;
  body["throttled"] = true;
  return body;
}

Json::Value Body(const Checkpointed& it) {
  Json::Value body;
  body["done_ms"] = static_cast<Json::Int64>(ToMilliseconds(it.done));
  return body;
}

Json::Value OwnerBody(const Refused& it) {
  Json::Value body;
  body["epoch"] = static_cast<Json::UInt64>(it.epoch);
  body["owner"] = it.owner;
  return body;
}

HttpResponse EncodeRefused(const Refused& it) {
  Json::Value body = OwnerBody(it);
  body["reason"] = RefusalName(it.reason);
  return Response(body,
                  it.reason == Refusal::kNotFound ? kNotFound : kConflict);
}

template <class Success>
std::optional<HttpResponse> EncodeAnswer(
    const std::variant<Success, Refused, NoAnswer>& answer) {
  if (const auto* success = std::get_if<Success>(&answer)) {
    return Response(Body(*success));
  }
  if (const auto* refused = std::get_if<Refused>(&answer)) {
    return EncodeRefused(*refused);
  }
  return std::nullopt;
}

}  // namespace

Decoded<ClaimCommand> DecodeClaim(const Json::Value& body) {
  FieldReader reader(body, "$");
  ClaimCommand command{.epoch = reader.Count("epoch"),
                       .owner = reader.Text("owner"),
                       .incarnation = ReadIncarnation(reader)};
  return Finish(reader, std::move(command));
}

Decoded<StartCommand> DecodeStart(const Json::Value& body) {
  FieldReader reader(body, "$");
  StartCommand command = ReadStart(reader);
  command.hold = reader.Flag("hold", false);
  return Finish(reader, std::move(command));
}

Decoded<StartCommand> DecodeRun(const Json::Value& body) {
  FieldReader reader(body, "$");
  StartCommand command = ReadStart(reader);
  return Finish(reader, std::move(command));
}

Decoded<RenewCommand> DecodeRenew(const Json::Value& body) {
  FieldReader reader(body, "$");
  RenewCommand command{.epoch = reader.Count("epoch"),
                       .lease = reader.Milliseconds("lease_ms"),
                       .wait = reader.Milliseconds("wait_ms", Duration(0)),
                       .version = reader.Count("version", 0),
                       .acknowledge = reader.Attempts("acknowledge"),
                       .go = reader.Attempts("go")};
  return Finish(reader, std::move(command));
}

Decoded<StopCommand> DecodeStop(const Json::Value& body) {
  FieldReader reader(body, "$");
  StopCommand command{.epoch = reader.Count("epoch"),
                      .attempts = reader.Attempts("attempts")};
  return Finish(reader, std::move(command));
}

Decoded<ThrottleCommand> DecodeThrottle(const Json::Value& body) {
  constexpr std::uint64_t kMaxPercent = 1000;
  FieldReader reader(body, "$");
  ThrottleCommand command{.epoch = reader.Count("epoch"),
                          .attempt = reader.Attempt("attempt"),
                          .percent = static_cast<std::uint32_t>(reader.Count(
                              "percent", std::nullopt, kMaxPercent))};
  return Finish(reader, std::move(command));
}

Decoded<CheckpointCommand> DecodeCheckpoint(const Json::Value& body) {
  FieldReader reader(body, "$");
  CheckpointCommand command{.epoch = reader.Count("epoch"),
                            .attempt = reader.Attempt("attempt")};
  return Finish(reader, std::move(command));
}

std::optional<HttpResponse> Encode(const ClaimAnswer& answer) {
  const auto* refused = std::get_if<Refused>(&answer);
  if (refused == nullptr) {
    return EncodeAnswer(answer);
  }
  Json::Value body = OwnerBody(*refused);
  body["accepted"] = false;
  return Response(body, kConflict);
}

std::optional<HttpResponse> Encode(const StartAnswer& answer) {
  return EncodeAnswer(answer);
}

std::optional<HttpResponse> Encode(const RunAnswer& answer) {
  return EncodeAnswer(answer);
}

std::optional<HttpResponse> Encode(const RenewAnswer& answer) {
  return EncodeAnswer(answer);
}

std::optional<HttpResponse> Encode(const StopAnswer& answer) {
  return EncodeAnswer(answer);
}

std::optional<HttpResponse> Encode(const ThrottleAnswer& answer) {
  return EncodeAnswer(answer);
}

std::optional<HttpResponse> Encode(const CheckpointAnswer& answer) {
  return EncodeAnswer(answer);
}

Json::Value EncodeResources(const Resources& resources) {
  Json::Value value(Json::objectValue);
  const DimensionArray amounts = ToArray(resources);
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (amounts.at(it) != 0) {
      value[DimensionName(it)] = static_cast<Json::Int64>(amounts.at(it));
    }
  }
  return value;
}

HttpResponse EncodeError(const CodecError& error) {
  constexpr int kBadRequest = 400;
  Json::Value body;
  body["error"] = error.message;
  return Response(body, kBadRequest);
}

}  // namespace burdockrock::standin
