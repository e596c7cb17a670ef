#include "runtime/peer_client.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "net/json.h"
#include "runtime/payload_bytes.h"

namespace burdockrock {

namespace {

// A paused peer takes no bytes; what waits behind the request is as late.
constexpr Duration kRequestTimeout = std::chrono::seconds(2);

}  // namespace

PeerClient::PeerClient(boost::asio::io_context& io, PeerClientOptions options)
    : io_(io),
      options_(std::move(options)),
      pool_(io, {.max_connections = 1}) {}

void PeerClient::Send(const SendPeer& send) {
  Link& link = links_[send.address];
  link.peer = send.peer;
  const Json::Value json =
      EncodePeerNotification(options_.sender, send.message);
  auto refused =
      link.outbox.Add({.message = send.message, .text = WriteJson(json)});
  if (refused) {
    ReportLater(send.peer, std::move(refused->message));
  }
  if (!link.in_flight) {
    link.in_flight = true;
    FlushSoon(send.address);
  }
}

// Deferred, so that all messages of one step of the reducer go together.
void PeerClient::FlushSoon(const std::string& address) {
  boost::asio::post(io_, [this, address, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      Flush(address);
    }
  });
}

void PeerClient::Flush(const std::string& address) {
  Link& link = links_[address];
  link.batch = link.outbox.TakeBatch();
  link.in_flight = !link.batch.empty();
  if (!link.in_flight) {
    return;
  }
  messages_ += link.batch.size();
  for (const QueuedMessage& it : link.batch) {
    payload_bytes_ += PayloadBytes(it.message);
  }
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.body = JoinBatch(link.batch);
  pool_.Get(address).Send(
      std::move(request), kRequestTimeout,
      [this, address](const HttpResult& result) { OnResult(address, result); });
}

void PeerClient::OnResult(const std::string& address,
                          const HttpResult& result) {
  Link& link = links_[address];
  const std::vector<QueuedMessage> batch = std::exchange(link.batch, {});
  const std::string peer = link.peer;
  const auto* failure = std::get_if<HttpFailure>(&result);
  const bool lost = failure != nullptr && !failure->may_have_been_received;
  Flush(address);
  if (!lost) {
    return;
  }
  for (const QueuedMessage& it : batch) {
    options_.on_not_reached({.peer = peer, .message = it.message});
  }
}

void PeerClient::ReportLater(const std::string& peer, PeerMessage message) {
  boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), peer,
                          message = std::move(message)] {
    if (!alive.expired()) {
      options_.on_not_reached({.peer = peer, .message = message});
    }
  });
}

void PeerClient::Sweep() {
  pool_.Sweep();
  std::erase_if(links_, [](const auto& it) {
    return !it.second.in_flight && it.second.outbox.empty();
  });
}

bool PeerClient::idle() const {
  for (const auto& [address, link] : links_) {
    if (link.in_flight) {
      return false;
    }
  }
  return true;
}

EdgeTraffic PeerClient::traffic() const {
  const std::uint64_t bytes = pool_.bytes();
  return {.messages = messages_,
          .bytes = bytes - std::min(payload_bytes_, bytes)};
}

}  // namespace burdockrock
