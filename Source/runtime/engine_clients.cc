#include "runtime/engine_clients.h"

#include <chrono>
#include <map>
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
  workers_.Get(call.address)
      .Send(options_.codec.encode_worker(std::string(WorkerIdOf(call.worker)),
                                         call.request),
            call.timeout,
            [this, worker = call.worker, request = call.request,
             asked = SteadyNow()](const HttpResult& result) {
              options_.on_event(engine::WorkerAnswered{
                  .worker = worker,
                  .request = request,
                  .answer = options_.codec.decode_worker(result),
                  .called_at = asked});
            });
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
