#include "engine/records/job_codec.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "engine/call_fields.h"
#include "net/json.h"
#include "wire/caller_codec.h"
#include "wire/caller_status.h"

namespace burdockrock::engine {

namespace {

constexpr std::string_view kJobs = "/v1/jobs";
constexpr std::string_view kJob = "/v1/jobs/";
constexpr std::string_view kQueue = "/v1/queues/";

// The body of a submission: the job with its id and queue.
struct Submission {
  std::string id{};
  std::string queue{};
  engine::JobSpec spec{};
};

}  // namespace

}  // namespace burdockrock::engine

namespace burdockrock {

template <>
struct FieldsOf<engine::Submission> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("id", it.id);
    codec.Name("queue", it.queue);
    FieldsOf<engine::JobSpec>::Visit(codec, it.spec);
  }
};

}  // namespace burdockrock

namespace burdockrock::engine {

namespace {

HttpResponse Respond(int status, const Json::Value& body) {
  return {.status = status, .body = WriteJson(body)};
}

HttpResponse EncodeState(const std::string& job,
                         JobState state,
                         const std::string& cause = "") {
  Json::Value body(Json::objectValue);
  body["id"] = job;
  body["state"] = Json::StaticString(JobStateName(state));
  if (!cause.empty()) {
    body["reason"] = cause;
  }
  return Respond(kOkStatus, body);
}

HttpResponse NotFound(const std::string& problem, const std::string& allowed) {
  return EncodeRefusal(kNotFoundStatus, Reason::kNotFound, problem, allowed);
}

Reason ReasonOf(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kStoreUnavailable:
      return Reason::kPlatformDown;
    case RefusalCause::kStopping:
      return Reason::kDraining;
    case RefusalCause::kNotReady:
      return Reason::kNotReady;
    case RefusalCause::kOverloaded:
      return Reason::kOverloaded;
  }
  return Reason::kNotReady;
}

struct Encoder {
  const CallerRequest& request;

  HttpResponse operator()(const JobAccepted&) {
    Json::Value body(Json::objectValue);
    body["verdict"] = Json::StaticString("accepted");
    body["id"] = request.job;
    return Respond(kAcceptedStatus, body);
  }
  HttpResponse operator()(const JobStateFound& it) {
    return EncodeState(request.job, it.state, it.cause);
  }
  HttpResponse operator()(const CancelAccepted& it) {
    return EncodeState(request.job, it.state);
  }
  HttpResponse operator()(const WaitingCount& it) {
    Json::Value body(Json::objectValue);
    body["queue"] = request.queue;
    body["waiting"] = it.jobs;
    return Respond(kOkStatus, body);
  }
  HttpResponse operator()(const NoSuchQueue&) {
    return NotFound("there is no queue " + request.queue,
                    "a queue of the configuration in force");
  }
  HttpResponse operator()(const NoSuchJob&) {
    return NotFound("there is no job " + request.job,
                    "a job that was accepted and is still remembered");
  }
  HttpResponse operator()(const KeyRefused& it) {
    return EncodeRefusal(kUnauthorizedStatus, Reason::kInvalid, it.detail,
                         "Authorization: Bearer KEY, with a key of a team");
  }
  HttpResponse operator()(const AccessDenied&) {
    return EncodeRefusal(kForbiddenStatus, Reason::kInvalid,
                         "the job is another team's", "a key of its team");
  }
  HttpResponse operator()(const BadRequest& it) {
    return EncodeDecodeErrors({{.path = it.fault.path,
                                .problem = it.fault.problem,
                                .allowed = it.fault.allowed}});
  }
  HttpResponse operator()(const Unavailable& it) {
    HttpResponse response =
        EncodeRefusal(kUnavailableStatus, ReasonOf(it.cause), it.detail,
                      "the same request later");
    response.retry_after = std::chrono::ceil<std::chrono::seconds>(
        std::max<Duration>(it.retry_after, Duration(1)));
    return response;
  }
  HttpResponse operator()(const OutcomeUnknown& it) {
    Json::Value body(Json::objectValue);
    body["verdict"] = Json::StaticString("may_have_run");
    body["id"] = request.job;
    body["problem"] = it.detail;
    return Respond(kGatewayTimeoutStatus, body);
  }
};

std::optional<CallerQuery> QueryForMethod(const std::string& method) {
  if (method == "GET") {
    return CallerQuery::kState;
  }
  if (method == "DELETE") {
    return CallerQuery::kCancel;
  }
  return std::nullopt;
}

HttpResponse MethodNotAllowed(const std::string& method,
                              const std::string& allowed) {
  return EncodeRefusal(kMethodNotAllowedStatus, Reason::kInvalid,
                       method + " is not served here", allowed);
}

}  // namespace

bool IsJobRequest(const HttpRequest& request) {
  const std::string_view path = request.path;
  if (path.starts_with(kQueue)) {
    return true;
  }
  if (path.starts_with(kJob)) {
    return path.find('.') == std::string_view::npos;
  }
  if (path != kJobs || request.method != "POST") {
    return false;
  }
  const auto parsed = ParseJson(request.body);
  const auto* json = std::get_if<Json::Value>(&parsed);
  return json != nullptr && json->isObject() && json->isMember("steps");
}

std::variant<CallerRequest, HttpResponse> DecodeJobRequest(
    const HttpRequest& request) {
  const std::string_view path = request.path;
  if (path.starts_with(kQueue)) {
    if (request.method != "GET") {
      return MethodNotAllowed(request.method, "GET");
    }
    return CallerRequest{.query = CallerQuery::kWaiting,
                         .queue = std::string(path.substr(kQueue.size())),
                         .key = CallerKey(request)};
  }
  if (path.starts_with(kJob)) {
    const auto query = QueryForMethod(request.method);
    if (!query) {
      return MethodNotAllowed(request.method, "GET, DELETE");
    }
    return CallerRequest{.query = *query,
                         .job = std::string(path.substr(kJob.size())),
                         .key = CallerKey(request)};
  }
  auto submission = ReadSubmission(request.body);
  if (const auto* error = std::get_if<DecodeError>(&submission)) {
    return EncodeDecodeErrors({*error});
  }
  auto& decoded = std::get<CallerRequest>(submission);
  decoded.key = CallerKey(request);
  return std::move(decoded);
}

HttpResponse EncodeJobAnswer(const CallerRequest& request,
                             const CallerAnswer& answer) {
  return std::visit(Encoder{request}, answer);
}

Decoded<CallerRequest> ReadSubmission(std::string_view body) {
  auto decoded = DecodeText<Submission>(body);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  auto& submission = std::get<Submission>(decoded);
  return CallerRequest{.query = CallerQuery::kSubmit,
                       .queue = std::move(submission.queue),
                       .job = std::move(submission.id),
                       .spec = std::move(submission.spec)};
}

}  // namespace burdockrock::engine
