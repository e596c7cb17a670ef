// Messages between the engines of entry instances, over HTTP and JSON-RPC.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_
#define BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <jsonrpccpp/server.h>

#include "engine/event.h"
#include "engine/members/message_subject.h"
#include "net/tcp.h"
#include "observe/log.h"
#include "runtime/client_pool.h"
#include "runtime/edge_traffic.h"
#include "runtime/kind_traffic.h"
#include "runtime/peer_channel.h"
#include "runtime/peer_losses.h"
#include "runtime/peer_server.h"

namespace burdockrock {

// Sends what the engine says, in order and one batch at a time for each peer. A
// batch that is not acknowledged is sent again while its messages are of use.
// Later they are dropped: the engine repeats them.
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
  struct Link {
    Link(boost::asio::io_context& io, PeerChannelOptions options)
        : channel(std::move(options)), retry(io) {}

    PeerChannel channel;
    bool in_flight = false;  // or about to be sent
    Time sent_at{0};
    Duration pause{0};  // after the last failure; 0: none since
    SteadyTimer retry;
  };

  Link& LinkTo(const std::string& address);
  // A digest goes to all members: it is written as text once.
  void Encode(const engine::PeerMessage& message);
  void Flush(const std::string& address);
  void FlushSoon(const std::string& address);
  void FlushLater(const std::string& address);
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
  engine::MessageSubject last_subject_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct EnginePeerServerOptions {
  std::string incarnation{};  // of this process
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
  // The same for a whole request. A batch that was taken before, or is for
  // another incarnation, is left out.
  HttpResponse HandleRequest(const HttpRequest& request, Time now);

  EdgeTraffic traffic() const { return traffic_; }
  // Without bytes: a batch is read as a whole.
  const KindTraffic& kinds() const { return kinds_; }

 private:
  void HandleNotificationCall(jsonrpc::Procedure& procedure,
                              const Json::Value& params) override;

  // The last batch of one sender.
  struct TakenBatch {
    std::uint64_t number = 0;
    Time at{0};
  };

  bool WasTaken(const HttpRequest& request, Time now);

  EnginePeerServerOptions options_;
  std::map<std::string, TakenBatch> taken_;  // by incarnation
  EdgeTraffic traffic_;
  KindTraffic kinds_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_
