#include "wire/caller_codec.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "net/json.h"
#include "wire/caller_status.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"
#include "wire/work_answer_codec.h"
#include "wire/work_fields.h"

namespace burdockrock {

namespace {

constexpr Duration kMaxRequestDeadline = std::chrono::hours(24);
constexpr Duration kMaxJobTime = std::chrono::hours(24 * 31);

// Adds rules to what the reader found. A path that has an error already gets
// no second one.
class Checker {
 public:
  explicit Checker(DecodeErrors& errors) : errors_(errors) {}

  void Require(bool holds,
               const char* path,
               std::string problem,
               std::string allowed) {
    const bool known = std::ranges::any_of(
        errors_, [path](const DecodeError& it) { return it.path == path; });
    if (!holds && !known) {
      errors_.push_back({.path = path,
                         .problem = std::move(problem),
                         .allowed = std::move(allowed)});
    }
  }

  void RequireAtMost(Duration value, Duration most, const char* path) {
    Require(value <= most, path,
            fmt::format("{} is too large", ToMilliseconds(value)),
            fmt::format("0 to {}", ToMilliseconds(most)));
  }

  void RequireKey(bool idempotent, const std::string& key) {
    Require(idempotent || !key.empty(), "$.key", "is missing",
            "a key of the caller's where idempotent is false");
  }

  void RequirePayload(const std::string& payload) {
    Require(payload.size() <= kMaxPayloadBytes, "$.payload",
            fmt::format("has {} bytes", payload.size()),
            fmt::format("at most {} bytes", kMaxPayloadBytes));
  }

 private:
  DecodeErrors& errors_;
};

void Check(const Request& request, DecodeErrors& errors) {
  Checker checker(errors);
  checker.Require(!request.service.empty(), "$.service", "is empty",
                  "the name of a service");
  checker.Require(request.id.find('/') == std::string::npos, "$.id",
                  "contains '/'", "other characters");
  checker.RequireAtMost(request.deadline, kMaxRequestDeadline, "$.deadline_ms");
  checker.RequireKey(request.idempotent, request.key);
  checker.RequirePayload(request.payload);
}

void Check(const JobSpec& spec, DecodeErrors& errors) {
  Checker checker(errors);
  checker.Require(spec.count >= 1 && spec.count <= kMaxTasks, "$.count",
                  fmt::format("{} is out of range", spec.count),
                  fmt::format("1 to {}", kMaxTasks));
  checker.RequireAtMost(spec.run_time, kMaxJobTime, "$.run_time_ms");
  checker.RequireAtMost(spec.deadline, kMaxJobTime, "$.deadline_ms");
  checker.RequireKey(spec.idempotent, spec.key);
  checker.RequirePayload(spec.payload);
}

template <typename T>
std::variant<T, DecodeErrors> DecodeBody(std::string_view body) {
  const auto parsed = ParseObject(body);
  if (const auto* error = std::get_if<DecodeError>(&parsed)) {
    return DecodeErrors{*error};
  }
  DecodeErrors errors;
  T out;
  ReadValue(JsonPlace(std::get<Json::Value>(parsed), errors), out);
  Check(out, errors);
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

void ReadDocumentPart(const Json::Value& body,
                      const JsonPlace& place,
                      const char* key,
                      Json::Value& document) {
  const Json::Value& part = body[key];
  if (!part.isObject()) {
    place.FailMember(key, part.isNull() ? "is missing" : "is not an object",
                     "an object");
    return;
  }
  document[key] = part;
}

HttpResponse Respond(int status, const Json::Value& body) {
  return {.status = status, .body = WriteJson(body)};
}

HttpResponse Encode(const WorkAnswer& answer) {
  HttpResponse response = Respond(StatusOf(answer.verdict), WriteValue(answer));
  response.retry_after = RetryAfterOf(answer.verdict);
  return response;
}

HttpResponse Encode(const WorkStatus& status) {
  Json::Value body = WriteValue(status);
  if (status.is_request) {
    body.removeMember("is_request");
    body["kind"] = Json::StaticString("request");
  }
  return Respond(kOkStatus, body);
}

HttpResponse Encode(const ConfigView& view) {
  Json::Value body(Json::objectValue);
  body["revision"] = Json::UInt64(view.revision);
  body["base"] = Json::objectValue;
  body["overlays"] = Json::objectValue;
  const auto document = ParseObject(view.document);
  if (const auto* parsed = std::get_if<Json::Value>(&document)) {
    body["base"] = (*parsed)["base"];
    body["overlays"] = (*parsed)["overlays"];
  }
  return Respond(kOkStatus, body);
}

HttpResponse Encode(const ConfigStored& stored) {
  Json::Value body(Json::objectValue);
  body["revision"] = Json::UInt64(stored.revision);
  return Respond(kOkStatus, body);
}

HttpResponse Encode(const ConfigConflict& conflict) {
  Json::Value body(Json::objectValue);
  body["revision"] = Json::UInt64(conflict.revision);
  body["author"] = conflict.author;
  return Respond(kConflictStatus, body);
}

HttpResponse Encode(const DrainStarted& /*started*/) {
  Json::Value body(Json::objectValue);
  body["state"] = Json::StaticString("draining");
  return Respond(kAcceptedStatus, body);
}

Json::Value MakeErrorBody(Reason reason) {
  Json::Value body(Json::objectValue);
  body["verdict"] = Json::StaticString("not_run");
  body["reason"] = Json::StaticString(ReasonName(reason));
  body["errors"] = Json::arrayValue;
  return body;
}

HttpResponse Encode(const InvalidInput& input) {
  Json::Value body = MakeErrorBody(Reason::kInvalid);
  for (const std::string& it : input.errors) {
    Json::Value error(Json::objectValue);
    error["problem"] = it;
    body["errors"].append(std::move(error));
  }
  return Respond(kBadRequestStatus, body);
}

}  // namespace

std::variant<Request, DecodeErrors> DecodeRequestBody(std::string_view body) {
  return DecodeBody<Request>(body);
}

std::variant<JobSpec, DecodeErrors> DecodeJobBody(std::string_view body) {
  return DecodeBody<JobSpec>(body);
}

std::variant<ConfigProposal, DecodeErrors> DecodeConfigBody(
    std::string_view body) {
  const auto parsed = ParseObject(body);
  if (const auto* error = std::get_if<DecodeError>(&parsed)) {
    return DecodeErrors{*error};
  }
  const auto& value = std::get<Json::Value>(parsed);
  DecodeErrors errors;
  const JsonPlace place(value, errors);
  ObjectReader reader(place);
  ConfigProposal out;
  std::string author;
  reader.Field("expect", out.expect);
  reader.Name("author", author);
  reader.Ignored("base");
  reader.Ignored("overlays");
  reader.End();

  Json::Value document(Json::objectValue);
  document["author"] = author;
  ReadDocumentPart(value, place, "base", document);
  ReadDocumentPart(value, place, "overlays", document);
  out.document = WriteJson(document);
  Checker(errors).Require(
      out.document.size() <= kMaxPlatformValueBytes, "$",
      fmt::format("has {} bytes", out.document.size()),
      fmt::format("at most {} bytes", kMaxPlatformValueBytes));
  if (!errors.empty()) {
    return errors;
  }
  return out;
}

HttpResponse EncodeCallerAnswer(const CallerAnswer& answer) {
  return std::visit([](const auto& it) { return Encode(it); }, answer);
}

HttpResponse EncodeDecodeErrors(const DecodeErrors& errors) {
  Json::Value body = MakeErrorBody(Reason::kInvalid);
  for (const DecodeError& it : errors) {
    Json::Value error(Json::objectValue);
    error["path"] = it.path;
    error["problem"] = it.problem;
    error["allowed"] = it.allowed;
    body["errors"].append(std::move(error));
  }
  return Respond(kBadRequestStatus, body);
}

HttpResponse EncodeRefusal(int status,
                           Reason reason,
                           const std::string& problem,
                           const std::string& allowed) {
  Json::Value body = MakeErrorBody(reason);
  Json::Value error(Json::objectValue);
  error["problem"] = problem;
  error["allowed"] = allowed;
  body["errors"].append(std::move(error));
  return Respond(status, body);
}

}  // namespace burdockrock
