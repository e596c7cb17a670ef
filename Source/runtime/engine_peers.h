// Messages between the engines of entry instances, over HTTP and JSON-RPC.
#ifndef BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_
#define BURDOCKROCK_RUNTIME_ENGINE_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <jsonrpccpp/server.h>

#include "engine/event.h"
#include "engine/members/message_subject.h"
#include "engine/members/peer_codec.h"
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
// Later they are dropped: the engine repeats them. A peer that leaves several
// requests in a row without an answer is probed, at growing intervals, before
// it gets messages again.
class EnginePeerClient {
 public:
  EnginePeerClient(
      boost::asio::io_context& io,
      std::string incarnation,
      std::function<void(const LogLine&)> log = [](const LogLine&) {});

  void Send(const engine::SendPeer& send);
  // A request of that process has arrived. A long pause before the next one to
  // it ends.
  void NoteHeard(const std::string& incarnation);
  void Sweep() { pool_.Sweep(); }
  // Logs what was lost. Call it from a timer.
  void LogLosses();
  EdgeTraffic traffic() const;
  const KindTraffic& kinds() const { return kinds_; }
  const PeerLosses& losses() const { return losses_; }
  // Peers that left their last requests without an answer and are probed.
  std::size_t probed_peers() const;

 private:
  enum class Phase {
    kIdle,
    kSending,  // a request is in flight or about to be sent
    kPausing,  // after a failure
  };

  struct Link {
    Link(boost::asio::io_context& io, PeerChannelOptions options)
        : channel(std::move(options)), retry(io) {}

    PeerChannel channel;
    std::string to{};  // the incarnation that the last message is for
    Phase phase = Phase::kIdle;
    bool probing = false;  // the request in flight is a probe
    int failures = 0;      // since a batch or probe was answered
    Time sent_at{0};
    Time failed_at{0};
    Duration pause{0};  // after the last failure; 0: none since
    Time retry_at{0};   // no request before
    SteadyTimer retry;
  };

  Link& LinkTo(const std::string& address);
  // A digest goes to all members: it is written as text once.
  void Encode(const engine::PeerMessage& message);
  void Flush(const std::string& address);
  void FlushSoon(const std::string& address);
  void FlushAfterPause(const std::string& address);
  void Post(const std::string& address, Link& link, ChannelBatch batch);
  void OnResult(const std::string& address, const HttpResult& result);
  void OnFailure(const std::string& address, Link& link);
  void EndPause(const std::string& address, Link& link);
  // At random between half of it and all of it, so that peers that lost each
  // other at the same time don't try again at the same time.
  Duration Jittered(Duration pause);

  boost::asio::io_context& io_;
  std::string incarnation_;
  ClientPool pool_;
  std::map<std::string, Link> links_;  // by address
  // Addresses of peers with a long pause, by incarnation.
  std::map<std::string, std::string> long_pauses_;
  std::minstd_rand random_;
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
  // Called with the incarnation of the sender of each request.
  std::function<void(const std::string&)> on_request = [](const std::string&) {
  };
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
  void OnNotification(engine::PeerNotification notification);

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
