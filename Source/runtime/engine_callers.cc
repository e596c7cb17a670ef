#include "runtime/engine_callers.h"

#include <utility>

#include "runtime/server_problem.h"

namespace burdockrock {

EngineCallers::EngineCallers(EngineCallersOptions options)
    : options_(std::move(options)) {}

void EngineCallers::Handle(const HttpRequest& request,
                           const HttpResponder& responder) {
  auto decoded = options_.codec.decode(request);
  if (auto* refused = std::get_if<HttpResponse>(&decoded)) {
    options_.log(
        {.number = EventNumber::kMalformedRequest,
         .fields = {{"path", request.path}, {"problem", refused->body}}});
    return responder(std::move(*refused));
  }
  auto& asked = std::get<engine::CallerRequest>(decoded);
  const std::uint64_t call = ++last_call_;
  Waiting& waiting = waiting_[call];
  waiting.responder = responder;
  waiting.request.query = asked.query;
  waiting.request.queue = asked.queue;
  waiting.request.job = asked.job;
  options_.on_event(
      engine::CallerRequestReceived{.call = call, .request = std::move(asked)});
}

void EngineCallers::Answer(const engine::AnswerCaller& answer) {
  const auto node = waiting_.extract(answer.call);
  if (!node.empty()) {
    const Waiting& waiting = node.mapped();
    waiting.responder(options_.codec.encode(waiting.request, answer.answer));
  }
}

void EngineCallers::OnProblem(const HttpServerProblem& problem) const {
  options_.log(
      {.number = EventOf(problem.kind),
       .fields = {{"remote", problem.remote}, {"problem", problem.detail}}});
}

}  // namespace burdockrock
