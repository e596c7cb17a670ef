#include "runtime/worker_edge.h"

#include <utility>

#include "runtime/payload_bytes.h"

namespace burdockrock {

namespace {

constexpr std::size_t kMaxConnections = 64;  // to one worker or minion

WorkerResult ToWorkerResult(WorkerCommandKind kind, const HttpResult& result) {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    return WorkerUnreachable{
        .may_have_been_received = failure->may_have_been_received,
        .garbage = false,
        .message = failure->message};
  }
  return DecodeWorkerAnswer(kind, std::get<HttpResponse>(result));
}

bool IsStart(const WorkerResult& result) {
  return std::holds_alternative<StartDone>(result) ||
         std::holds_alternative<RunEnded>(result);
}

}  // namespace

WorkerEdge::WorkerEdge(boost::asio::io_context& io, OnAnswer on_answer)
    : pool_(io, {.max_connections = kMaxConnections}),
      on_answer_(std::move(on_answer)) {}

void WorkerEdge::Call(const CallWorker& call) {
  payload_bytes_ += PayloadBytes(call.command);
  const WorkerCommandKind kind = KindOf(call.command);
  pool_.Get(call.address)
      .Send(EncodeWorkerCommand(call.command), call.timeout,
            [this, id = call.call, kind](const HttpResult& result) {
              OnResult(id, kind, result);
            });
}

void WorkerEdge::OnResult(CallId call,
                          WorkerCommandKind kind,
                          const HttpResult& result) {
  WorkerResult decoded = ToWorkerResult(kind, result);
  payload_bytes_ += PayloadBytes(decoded);
  starts_ += IsStart(decoded) ? 1 : 0;
  on_answer_({.call = call, .result = std::move(decoded)});
}

EdgeTraffic WorkerEdge::traffic() const {
  const std::uint64_t bytes = pool_.bytes();
  // A payload that waits in a queue is counted before its bytes are.
  const std::uint64_t payload = std::min(payload_bytes_, bytes);
  return {.messages = 2 * pool_.calls() - pool_.outstanding(),
          .bytes = bytes - payload};
}

}  // namespace burdockrock
