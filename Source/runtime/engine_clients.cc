#include "runtime/engine_clients.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "model/worker_incarnation.h"
#include "runtime/clock.h"

namespace burdockrock {

namespace {

// A connection that can't be made in this time is tried anew: the system's own
// repetition of a lost opening comes only after a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
// Watches hold one each; transactions and reads share the others.
constexpr std::size_t kStoreConnections = 8;
constexpr std::size_t kWatchConnections = 4;
constexpr std::size_t kMaxStoreAnswerBytes = 16'777'216;
// One for the hold that waits, two for orders.
constexpr std::size_t kWorkerConnections = 3;

HttpClientOptions StoreClient(const std::string& address,
                              std::size_t connections) {
  return {.address = address,
          .max_connections = connections,
          .max_response_bytes = kMaxStoreAnswerBytes,
          .connect_timeout = kConnectTimeout};
}

// The advice service knows workers by their ids alone.
engine::AdviceRequest WithWorkerIds(engine::AdviceRequest request) {
  for (std::string& it : request.workers) {
    it = WorkerIdOf(it);
  }
  return request;
}

// Names the incarnations that the request named.
engine::AdviceAnswer WithIncarnations(engine::AdviceAnswer answer,
                                      const engine::AdviceRequest& request) {
  auto* given = std::get_if<engine::AdviceGiven>(&answer);
  if (given == nullptr) {
    return answer;
  }
  std::map<std::string_view, std::string_view> names;
  for (const std::string& it : request.workers) {
    names[WorkerIdOf(it)] = it;
  }
  for (engine::Allowed& it : given->allowed) {
    const auto name = names.find(it.worker);
    if (name != names.end()) {
      it.worker = name->second;
    }
  }
  return answer;
}

// The name of the process that answered a poll of `worker`; empty if it is
// another one, or if the answer is no list.
std::string SentBy(const std::string& worker,
                   const engine::WorkerAnswer& answer) {
  const auto* done = std::get_if<engine::WorkerDone>(&answer);
  const bool same = done != nullptr && !IsOtherIncarnation(worker, done->born);
  return same ? worker : std::string();
}

// Null without an address.
std::unique_ptr<HttpClient> OneCallAtATime(boost::asio::io_context& io,
                                           const std::string& address) {
  if (address.empty()) {
    return nullptr;
  }
  return std::make_unique<HttpClient>(
      io, HttpClientOptions{.address = address,
                            .max_connections = 1,
                            .connect_timeout = kConnectTimeout});
}

}  // namespace

EngineClients::EngineClients(boost::asio::io_context& io,
                             EngineClientsOptions options)
    : options_(std::move(options)),
      store_(io, StoreClient(options_.store, kStoreConnections)),
      watches_(io, StoreClient(options_.store, kWatchConnections)),
      workers_(io,
               {.max_connections = kWorkerConnections,
                .connect_timeout = kConnectTimeout}) {
  advice_ = OneCallAtATime(io, options_.advice);
  machines_ = OneCallAtATime(io, options_.machines);
}

void EngineClients::CallStore(const engine::CallStore& call) {
  const bool waits = std::holds_alternative<engine::StoreWatch>(call.request);
  HttpClient& client = waits ? watches_ : store_;
  client.Send(
      options_.codec.encode_store(call.request), call.timeout,
      [this, call](const HttpResult& result) {
        options_.on_event(engine::StoreAnswered{
            .call = call.call,
            .answer = options_.codec.decode_store(call.request, result)});
      });
}

void EngineClients::CallWorker(const engine::CallWorker& call) {
  if (std::holds_alternative<engine::PollWorker>(call.request)) {
    return Poll(call);
  }
  workers_.Get(call.address)
      .Send(Encode(call.worker, call.request), call.timeout,
            [this, worker = call.worker, request = call.request,
             asked = SteadyNow()](const HttpResult& result) {
              OnWorkerResult(worker, request, asked,
                             options_.codec.decode_worker(result));
            });
}

// A worker that starts again under its id numbers its ends anew, so that an
// acknowledgement that is meant for the process before would drop ends that
// nobody has read. It is sent only over connections to the process that listed
// them. Over another one a poll without a wait shows which process is there.
void EngineClients::Poll(const engine::CallWorker& call) {
  const auto& poll = std::get<engine::PollWorker>(call.request);
  engine::PollWorker to_unknown = poll;
  if (poll.acknowledged > 0) {
    to_unknown.acknowledged = 0;
    to_unknown.wait = Duration(0);
  }
  // Decoded once, when the response is identified.
  const auto answer = std::make_shared<std::optional<engine::WorkerAnswer>>();
  workers_.Get(call.address)
      .SendToPeer({.request = Encode(call.worker, poll),
                   .peer = call.worker,
                   .to_unknown = Encode(call.worker, to_unknown),
                   .identify =
                       [this, worker = call.worker,
                        answer](const HttpResponse& response) {
                         *answer = options_.codec.decode_worker(response);
                         return SentBy(worker, **answer);
                       }},
                  call.timeout,
                  [this, worker = call.worker, request = call.request, answer,
                   asked = SteadyNow()](const HttpResult& result) {
                    OnWorkerResult(worker, request, asked,
                                   *answer
                                       ? std::move(**answer)
                                       : options_.codec.decode_worker(result));
                  });
}

HttpRequest EngineClients::Encode(const std::string& worker,
                                  const engine::WorkerRequest& request) const {
  return options_.codec.encode_worker(std::string(WorkerIdOf(worker)), request);
}

void EngineClients::OnWorkerResult(const std::string& worker,
                                   const engine::WorkerRequest& request,
                                   Time asked,
                                   engine::WorkerAnswer answer) {
  options_.on_event(engine::WorkerAnswered{.worker = worker,
                                           .request = request,
                                           .answer = std::move(answer),
                                           .called_at = asked});
}

void EngineClients::CallAdvice(const engine::CallAdvice& call) {
  if (!advice_) {
    return options_.on_event(engine::AdviceAnswered{
        .request = call.request,
        .answer = engine::AdviceFailed{.detail = "no advice service is set"}});
  }
  advice_->Send(options_.codec.encode_advice(WithWorkerIds(call.request)),
                call.timeout,
                [this, request = call.request](const HttpResult& result) {
                  options_.on_event(engine::AdviceAnswered{
                      .request = request,
                      .answer = WithIncarnations(
                          options_.codec.decode_advice(result), request)});
                });
}

void EngineClients::CallMachines(const engine::CallMachines& call) {
  if (!machines_) {
    return options_.on_event(engine::MachinesAnswered{
        .request = call.request,
        .answer = engine::MachineUnanswered{
            .may_have_run = false, .detail = "no service of machines is set"}});
  }
  machines_->Send(
      options_.codec.encode_machines(call.holder, call.request), call.timeout,
      [this, request = call.request](const HttpResult& result) {
        options_.on_event(engine::MachinesAnswered{
            .request = request,
            .answer = options_.codec.decode_machines(request, result)});
      });
}

}  // namespace burdockrock
