// Sends messages to other entry instances.
#ifndef BURDOCKROCK_RUNTIME_PEER_CLIENT_H_
#define BURDOCKROCK_RUNTIME_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/http_result.h"
#include "net/tcp.h"
#include "runtime/client_pool.h"
#include "runtime/edge_traffic.h"
#include "runtime/peer_outbox.h"
#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "wire/peer_codec.h"

namespace burdockrock {

struct PeerClientOptions {
  PeerSender sender{};  // what each message says of this process
  // For each message that is known not to have been received. Never within
  // Send.
  std::function<void(PeerMessageUndelivered)> on_not_reached{};
};

// One HTTP request to a peer is in flight at a time; what comes meanwhile goes
// with the next. So a busy pair of instances needs few requests and an idle
// one waits for nothing.
class PeerClient {
 public:
  PeerClient(boost::asio::io_context& io, PeerClientOptions options);
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  void Send(const SendPeer& send);

  // Drops what belongs to peers that are no longer used. Call it from a timer.
  void Sweep();

  bool idle() const;
  EdgeTraffic traffic() const;

 private:
  struct Link {
    std::string peer;
    PeerOutbox outbox;
    bool in_flight = false;  // or about to be
    std::vector<QueuedMessage> batch;
  };

  void FlushSoon(const std::string& address);
  void Flush(const std::string& address);
  void OnResult(const std::string& address, const HttpResult& result);
  void ReportLater(const std::string& peer, PeerMessage message);

  boost::asio::io_context& io_;
  PeerClientOptions options_;
  ClientPool pool_;
  std::unordered_map<std::string, Link> links_;  // by address
  std::uint64_t messages_ = 0;
  std::uint64_t payload_bytes_ = 0;
  // Posted handlers run after this object is gone; they find here that it is.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PEER_CLIENT_H_
