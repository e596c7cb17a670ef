// The engine's calls to its store, its workers and its advice service over
// HTTP. How they look on the wire is a codec's; there is one for burdockrock's
// own protocol and one for the users' platform.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_CLIENTS_H_
#define BURDOCKROCK_RUNTIME_ENGINE_CLIENTS_H_

#include <functional>
#include <memory>
#include <string>

#include "engine/event.h"
#include "net/http_client.h"
#include "net/http_result.h"
#include "runtime/client_pool.h"

namespace burdockrock {

struct EngineCallCodec {
  std::function<HttpRequest(const engine::StoreRequest&)> encode_store{};
  std::function<engine::StoreAnswer(const engine::StoreRequest&,
                                    const HttpResult&)>
      decode_store{};
  std::function<HttpRequest(const std::string& worker,
                            const engine::WorkerRequest&)>
      encode_worker{};
  std::function<engine::WorkerAnswer(const HttpResult&)> decode_worker{};
  std::function<HttpRequest(const engine::AdviceRequest&)> encode_advice{};
  std::function<engine::AdviceAnswer(const HttpResult&)> decode_advice{};
  std::function<HttpRequest(const std::string& holder,
                            const engine::MachineRequest&)>
      encode_machines{};
  std::function<engine::MachineAnswer(const engine::MachineRequest&,
                                      const HttpResult&)>
      decode_machines{};
};

struct EngineClientsOptions {
  std::string store{};     // "IP:PORT"
  std::string advice{};    // "IP:PORT"; empty: there is none
  std::string machines{};  // "IP:PORT"; empty: there is none
  EngineCallCodec codec{};
  std::function<void(engine::EventBody)> on_event{};
};

// Everything runs on the thread that runs the io_context.
class EngineClients {
 public:
  EngineClients(boost::asio::io_context& io, EngineClientsOptions options);
  EngineClients(const EngineClients&) = delete;
  EngineClients& operator=(const EngineClients&) = delete;

  void CallStore(const engine::CallStore& call);
  void CallWorker(const engine::CallWorker& call);
  void CallAdvice(const engine::CallAdvice& call);
  void CallMachines(const engine::CallMachines& call);

 private:
  void Poll(const engine::CallWorker& call);
  HttpRequest Encode(const std::string& worker,
                     const engine::WorkerRequest& request) const;
  void OnWorkerResult(const std::string& worker,
                      const engine::WorkerRequest& request,
                      Time asked,
                      engine::WorkerAnswer answer);

  EngineClientsOptions options_;
  HttpClient store_;
  HttpClient watches_;
  ClientPool workers_;
  std::unique_ptr<HttpClient> advice_;
  std::unique_ptr<HttpClient> machines_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_CLIENTS_H_
