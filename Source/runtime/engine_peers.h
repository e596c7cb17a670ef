// Messages between the engines of entry instances, over HTTP and JSON-RPC.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_
#define BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <jsonrpccpp/server.h>

#include "engine/event.h"
#include "observe/log.h"
#include "runtime/client_pool.h"
#include "runtime/edge_traffic.h"
#include "runtime/kind_traffic.h"
#include "runtime/peer_losses.h"
#include "runtime/peer_server.h"

namespace burdockrock {

// Sends what the engine says, in order and one batch at a time for each peer.
// What can't be delivered in time is dropped: the engine repeats it.
class EnginePeerClient {
 public:
  EnginePeerClient(
      boost::asio::io_context& io,
      std::string incarnation,
      std::function<void(const LogLine&)> log = [](const LogLine&) {});

  void Send(const engine::SendPeer& send);
  void Sweep() { pool_.Sweep(); }
  // Logs what was lost. Call it from a timer.
  void LogLosses();
  EdgeTraffic traffic() const;
  const KindTraffic& kinds() const { return kinds_; }
  const PeerLosses& losses() const { return losses_; }

 private:
  struct QueuedMessage {
    const char* kind = "";  // of engine::PeerMethods()
    std::string text{};     // a notification
  };
  struct Link {
    std::deque<QueuedMessage> waiting;
    std::vector<const char*> sent_kinds;  // in the batch in flight
    std::size_t waiting_bytes = 0;
    Time sent_at{0};
    bool in_flight = false;
  };

  // A digest goes to all members: it is written as text once.
  const std::string& TextOf(const engine::PeerMessage& message);
  void Flush(const std::string& address);
  void FlushSoon(const std::string& address);
  void OnResult(const std::string& address, const HttpResult& result);

  boost::asio::io_context& io_;
  std::string incarnation_;
  ClientPool pool_;
  std::map<std::string, Link> links_;  // by address
  std::uint64_t messages_ = 0;
  KindTraffic kinds_;
  PeerLosses losses_;
  std::optional<engine::PeerMessage> last_message_;
  std::string last_text_;  // of it
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct EnginePeerServerOptions {
  std::function<void(engine::PeerMessageReceived)> on_message{};
  std::function<void(const LogLine&)> log{};
};

// A garbled message is an error to its sender alone: the others of its batch
// are taken.
class EnginePeerServer : private PeerConnector,
                         private jsonrpc::AbstractServer<EnginePeerServer> {
 public:
  explicit EnginePeerServer(EnginePeerServerOptions options);

  // `body` is one notification or a batch. Returns the errors for its sender,
  // empty if there are none.
  std::string HandleBody(const std::string& body);

  EdgeTraffic traffic() const { return traffic_; }
  // Without bytes: a batch is read as a whole.
  const KindTraffic& kinds() const { return kinds_; }

 private:
  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& params) override;

  EnginePeerServerOptions options_;
  EdgeTraffic traffic_;
  KindTraffic kinds_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_
