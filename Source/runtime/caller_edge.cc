#include "runtime/caller_edge.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "runtime/payload_bytes.h"
#include "runtime/server_problem.h"
#include "wire/caller_codec.h"
#include "wire/caller_status.h"
#include "wire/value_reader.h"

namespace burdockrock {

namespace {

constexpr Duration kFullRetryAfter = std::chrono::seconds(1);
constexpr const char* kTextFormat = "text/plain; version=0.0.4; charset=utf-8";

// Where the path begins with `prefix`, what follows it.
std::string_view After(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) ? path.substr(prefix.size())
                                  : std::string_view();
}

}  // namespace

struct CallerEdge::Route {
  const char* method;
  const char* path;
  bool has_id;  // `path` is followed by an id
  void (CallerEdge::*handler)(Call& call);
};

const CallerEdge::Route CallerEdge::kRoutes[] = {
    {"POST", "/v1/requests", false, &CallerEdge::PostRequest},
    {"POST", "/v1/jobs", false, &CallerEdge::PostJob},
    {"GET", "/v1/requests/", true, &CallerEdge::GetWork},
    {"DELETE", "/v1/requests/", true, &CallerEdge::DeleteWork},
    {"GET", "/v1/jobs/", true, &CallerEdge::GetWork},
    {"DELETE", "/v1/jobs/", true, &CallerEdge::DeleteWork},
    {"GET", "/v1/config", false, &CallerEdge::GetConfig},
    {"PUT", "/v1/config", false, &CallerEdge::PutConfig},
    {"POST", "/v1/drain", false, &CallerEdge::PostDrain},
    {"GET", "/v1/dump", false, &CallerEdge::GetDump},
    {"GET", "/v1/health", false, &CallerEdge::GetHealth},
    {"GET", "/metrics", false, &CallerEdge::GetMetrics},
};

CallerEdge::CallerEdge(CallerEdgeOptions options)
    : options_(std::move(options)) {}

void CallerEdge::Handle(HttpRequest request, HttpResponder responder) {
  ++traffic_.messages;
  traffic_.bytes += request.body.size();
  Call call{.request = std::move(request),
            .responder = std::move(responder),
            .id = {}};
  std::string methods;
  for (const Route& it : kRoutes) {
    const std::string_view id =
        it.has_id ? After(call.request.path, it.path) : std::string_view();
    if (it.has_id ? id.empty() : call.request.path != it.path) {
      continue;
    }
    if (call.request.method == it.method) {
      call.id = id;
      (this->*it.handler)(call);
      return;
    }
    methods += methods.empty() ? "" : ", ";
    methods += it.method;
  }
  RefuseRoute(call, methods);
}

void CallerEdge::Answer(const AnswerCaller& answer) {
  const auto it = waiting_.find(answer.reply);
  if (it == waiting_.end()) {
    return;
  }
  const HttpResponder responder = std::move(it->second);
  waiting_.erase(it);
  traffic_.bytes -=
      std::min<std::uint64_t>(traffic_.bytes, PayloadBytes(answer.answer));
  Respond(responder, EncodeCallerAnswer(answer.answer));
}

void CallerEdge::OnProblem(const HttpServerProblem& problem) const {
  options_.log(
      {.number = EventOf(problem.kind),
       .fields = {{"remote", problem.remote}, {"problem", problem.detail}}});
}

void CallerEdge::PostRequest(Call& call) {
  auto decoded = DecodeRequestBody(call.request.body);
  if (const auto* errors = std::get_if<DecodeErrors>(&decoded)) {
    RefuseBody(call, *errors);
    return;
  }
  auto& request = std::get<Request>(decoded);
  traffic_.bytes -=
      std::min<std::uint64_t>(traffic_.bytes, request.payload.size());
  if (const ReplyId reply = Wait(call)) {
    options_.on_event(
        RequestArrived{.reply = reply, .request = std::move(request)});
  }
}

void CallerEdge::PostJob(Call& call) {
  auto decoded = DecodeJobBody(call.request.body);
  if (const auto* errors = std::get_if<DecodeErrors>(&decoded)) {
    RefuseBody(call, *errors);
    return;
  }
  auto& spec = std::get<JobSpec>(decoded);
  traffic_.bytes -=
      std::min<std::uint64_t>(traffic_.bytes, spec.payload.size());
  if (const ReplyId reply = Wait(call)) {
    options_.on_event(JobArrived{.reply = reply, .spec = std::move(spec)});
  }
}

void CallerEdge::GetWork(Call& call) {
  if (const ReplyId reply = Wait(call)) {
    options_.on_event(WorkQueryArrived{
        .reply = reply, .id = std::string(call.id), .cancel = false});
  }
}

void CallerEdge::DeleteWork(Call& call) {
  if (const ReplyId reply = Wait(call)) {
    options_.on_event(WorkQueryArrived{
        .reply = reply, .id = std::string(call.id), .cancel = true});
  }
}

void CallerEdge::GetConfig(Call& call) {
  if (const ReplyId reply = Wait(call)) {
    options_.on_event(ConfigRequested{.reply = reply});
  }
}

void CallerEdge::PutConfig(Call& call) {
  auto decoded = DecodeConfigBody(call.request.body);
  if (const auto* errors = std::get_if<DecodeErrors>(&decoded)) {
    RefuseBody(call, *errors);
    return;
  }
  auto& proposal = std::get<ConfigProposal>(decoded);
  if (const ReplyId reply = Wait(call)) {
    options_.on_event(ConfigProposed{.reply = reply,
                                     .expect = proposal.expect,
                                     .document = std::move(proposal.document)});
  }
}

void CallerEdge::PostDrain(Call& call) {
  const auto parsed = ParseObject(call.request.body);
  const auto* body = std::get_if<Json::Value>(&parsed);
  if (body == nullptr || !body->empty()) {
    RefuseBody(
        call,
        {{.path = "$", .problem = "is not an empty object", .allowed = "{}"}});
    return;
  }
  if (const ReplyId reply = Wait(call)) {
    options_.on_event(DrainRequested{.reply = reply});
  }
}

void CallerEdge::GetDump(Call& call) {
  HttpResponse response;
  response.body = options_.dump();
  options_.log({.number = EventNumber::kDumpServed,
                .fields = {{"bytes", std::to_string(response.body.size())}}});
  Respond(call.responder, std::move(response));
}

void CallerEdge::GetHealth(Call& call) {
  HttpResponse response;
  response.body = options_.health();
  Respond(call.responder, std::move(response));
}

void CallerEdge::GetMetrics(Call& call) {
  HttpResponse response;
  response.body = options_.metrics();
  response.content_type = kTextFormat;
  Respond(call.responder, std::move(response));
}

void CallerEdge::RefuseRoute(Call& call, const std::string& methods) {
  if (methods.empty()) {
    Respond(call.responder,
            EncodeRefusal(
                kNotFoundStatus, Reason::kNotFound,
                fmt::format("there is no call {}", call.request.path),
                "/v1/requests, /v1/jobs, /v1/config, /v1/drain, /v1/dump, "
                "/v1/health, /metrics"));
    return;
  }
  Respond(call.responder,
          EncodeRefusal(kMethodNotAllowedStatus, Reason::kInvalid,
                        fmt::format("{} does not take the method {}",
                                    call.request.path, call.request.method),
                        methods));
}

void CallerEdge::RefuseBody(Call& call, const DecodeErrors& errors) {
  options_.log({.number = EventNumber::kMalformedRequest,
                .fields = {{"path", call.request.path},
                           {"problem", ToString(errors.front())}}});
  Respond(call.responder, EncodeDecodeErrors(errors));
}

void CallerEdge::Respond(const HttpResponder& responder,
                         HttpResponse response) {
  ++traffic_.messages;
  traffic_.bytes += response.body.size();
  responder(std::move(response));
}

ReplyId CallerEdge::Wait(Call& call) {
  if (waiting_.size() >= options_.max_waiting) {
    const NotRun full{.reason = Reason::kOverloaded,
                      .detail = "too many calls wait at this instance",
                      .retry_after = kFullRetryAfter};
    Respond(call.responder,
            EncodeCallerAnswer(WorkAnswer{.id = "", .verdict = full}));
    return 0;
  }
  const ReplyId reply = next_reply_++;
  waiting_.emplace(reply, std::move(call.responder));
  return reply;
}

}  // namespace burdockrock
