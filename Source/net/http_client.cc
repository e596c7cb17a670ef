#include "net/http_client.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/post.hpp>

#include "net/address.h"

namespace burdockrock {

namespace {

// Adding kForever to the clock would overflow into the past.
constexpr Duration kMaxTimeout = std::chrono::hours(24 * 365);

HttpFailure NotSent(std::string message) {
  return HttpFailure{.may_have_been_received = false,
                     .message = std::move(message)};
}

}  // namespace

struct HttpClient::Call {
  Call(boost::asio::io_context& io, HttpRequest with, Done then)
      : request(std::move(with)), done(std::move(then)), timer(io) {}

  HttpRequest request;
  std::optional<HttpPeerRequest> to_peer;  // in place of `request`
  Done done;
  SteadyTimer timer;
  Duration timeout{0};
  std::uint64_t sequence = 0;
  bool queued = false;
  std::list<CallPointer>::iterator place;  // in the queue, while queued
  HttpClientConnection* connection = nullptr;
};

HttpClient::HttpClient(boost::asio::io_context& io, HttpClientOptions options)
    : io_(io),
      options_(std::move(options)),
      endpoint_(ParseAddress(options_.address)) {}

HttpClient::~HttpClient() {
  AbandonConnections();
}

void HttpClient::Send(HttpRequest request, Duration timeout, Done done) {
  Enqueue(std::make_shared<Call>(io_, std::move(request), std::move(done)),
          timeout);
}

void HttpClient::SendToPeer(HttpPeerRequest request,
                            Duration timeout,
                            Done done) {
  auto call = std::make_shared<Call>(io_, HttpRequest(), std::move(done));
  call->to_peer = std::move(request);
  Enqueue(call, timeout);
}

void HttpClient::Enqueue(const CallPointer& call, Duration timeout) {
  call->sequence = ++calls_;
  outstanding_.insert(call);
  if (closed_) {
    return FailLater(call, options_.address + ": the client is closed");
  }
  if (const auto* error = std::get_if<NetError>(&endpoint_)) {
    return FailLater(call, error->message);
  }
  call->place = queue_.insert(queue_.end(), call);
  call->queued = true;
  Assign();
  if (call->queued && queue_.size() > options_.max_queued) {
    Unqueue(call);
    return FailLater(
        call, fmt::format("{}: {} calls wait for a connection already; send "
                          "less or raise max_queued",
                          options_.address, options_.max_queued));
  }
  StartTimer(call, timeout);
}

void HttpClient::Close() {
  closed_ = true;
  queue_.clear();
  AbandonConnections();
  const std::weak_ptr<bool> alive = alive_;
  for (const auto& call : std::exchange(outstanding_, {})) {
    const bool sent = call->connection != nullptr;
    call->queued = false;
    Finish(call, HttpFailure{
                     .may_have_been_received = sent,
                     .message = options_.address + ": the client was closed"});
    if (alive.expired()) {
      return;
    }
  }
}

std::size_t HttpClient::outstanding() const {
  return outstanding_.size();
}

std::uint64_t HttpClient::bytes_sent() const {
  return bytes_sent_;
}

std::uint64_t HttpClient::bytes_received() const {
  return bytes_received_;
}

std::uint64_t HttpClient::calls() const {
  return calls_;
}

void HttpClient::OnConnected(HttpClientConnection* connection) {
  --connecting_;
  idle_.push_back(connection);
  Assign();
}

void HttpClient::OnConnectFailed(HttpClientConnection* connection,
                                 const std::string& message) {
  --connecting_;
  const std::uint64_t last = connection->begun_for();
  connections_.erase(connection);
  FailQueuedUpTo(last, message);
}

void HttpClient::OnDone(HttpClientConnection* connection, HttpResult result) {
  const auto it = connections_.find(connection);
  const CallPointer call = std::exchange(it->second.call, nullptr);
  const auto* response = std::get_if<HttpResponse>(&result);
  if (call->to_peer && response != nullptr) {
    it->second.peer = call->to_peer->identify(*response);
  }
  if (connection->usable()) {
    idle_.push_back(connection);
  } else {
    connections_.erase(it);
  }
  Assign();
  Finish(call, std::move(result));
}

void HttpClient::OnIdleClosed(HttpClientConnection* connection) {
  std::erase(idle_, connection);
  connections_.erase(connection);
}

void HttpClient::OnSent(std::size_t bytes) {
  bytes_sent_ += bytes;
}

void HttpClient::OnReceived(std::size_t bytes) {
  bytes_received_ += bytes;
}

void HttpClient::FailLater(const CallPointer& call, std::string message) {
  boost::asio::post(io_, [this, alive = std::weak_ptr(alive_), call,
                          message = std::move(message)]() mutable {
    if (!alive.expired() && outstanding_.contains(call)) {
      Finish(call, NotSent(std::move(message)));
    }
  });
}

void HttpClient::StartTimer(const CallPointer& call, Duration timeout) {
  call->timeout = std::min(timeout, kMaxTimeout);
  call->timer.expires_after(call->timeout);
  call->timer.async_wait(
      [this, alive = std::weak_ptr(alive_),
       weak = std::weak_ptr(call)](boost::system::error_code ec) {
        const CallPointer it = weak.lock();
        if (!ec && it && !alive.expired() && outstanding_.contains(it)) {
          OnTimeout(it);
        }
      });
}

void HttpClient::OnTimeout(const CallPointer& call) {
  const bool sent = call->connection != nullptr;
  if (sent) {
    call->connection->Abandon();
    connections_.erase(call->connection);
  } else {
    Unqueue(call);
  }
  Assign();
  Finish(call, HttpFailure{.may_have_been_received = sent,
                           .message = fmt::format(
                               "{}: no {} after {} ms", options_.address,
                               sent ? "whole answer" : "free connection",
                               ToMilliseconds(call->timeout))});
}

void HttpClient::Assign() {
  while (!queue_.empty()) {
    const CallPointer call = queue_.front();
    HttpClientConnection* connection =
        TakeIdle(call->to_peer ? call->to_peer->peer : std::string());
    if (connection == nullptr) {
      break;
    }
    Unqueue(call);
    StartCall(call, connection);
  }
  OpenConnections();
}

void HttpClient::StartCall(const CallPointer& call,
                           HttpClientConnection* connection) {
  Slot& slot = connections_[connection];
  call->connection = connection;
  slot.call = call;
  if (!call->to_peer) {
    return connection->Start(std::move(call->request));
  }
  HttpPeerRequest& it = *call->to_peer;
  const bool known = !it.peer.empty() && slot.peer == it.peer;
  connection->Start(std::move(known ? it.request : it.to_unknown));
}

HttpClientConnection* HttpClient::TakeIdle(const std::string& peer) {
  while (!idle_.empty()) {
    const auto known =
        peer.empty() ? idle_.rend()
                     : std::find_if(idle_.rbegin(), idle_.rend(),
                                    [&](HttpClientConnection* it) {
                                      return connections_[it].peer == peer;
                                    });
    const auto taken = known == idle_.rend() ? idle_.rbegin() : known;
    HttpClientConnection* connection = *taken;
    idle_.erase(std::next(taken).base());
    if (connection->CheckOpen()) {
      return connection;
    }
    connection->Abandon();
    connections_.erase(connection);
  }
  return nullptr;
}

void HttpClient::OpenConnections() {
  while (connecting_ < queue_.size() &&
         connections_.size() < options_.max_connections) {
    const auto connection = std::make_shared<HttpClientConnection>(
        io_, std::get<TcpEndpoint>(endpoint_), options_.max_response_bytes,
        static_cast<HttpClientConnectionOwner*>(this));
    connection->set_begun_for(queue_.back()->sequence);
    connections_[connection.get()].connection = connection;
    ++connecting_;
    connection->Connect(options_.connect_timeout);
  }
}

void HttpClient::Unqueue(const CallPointer& call) {
  queue_.erase(call->place);
  call->queued = false;
}

// Without this a queue in front of a dead endpoint would empty by one call a
// connect timeout. Calls that came after the attempt began get one of their
// own.
void HttpClient::FailQueuedUpTo(std::uint64_t sequence,
                                const std::string& message) {
  std::vector<CallPointer> failed;
  while (!queue_.empty() && queue_.front()->sequence <= sequence) {
    failed.push_back(queue_.front());
    Unqueue(failed.back());
  }
  Assign();
  const std::weak_ptr<bool> alive = alive_;
  for (const auto& call : failed) {
    if (alive.expired()) {
      return;
    }
    if (outstanding_.contains(call)) {
      Finish(call, NotSent(message));
    }
  }
}

// Last in each caller: `done` may destroy the client.
void HttpClient::Finish(const CallPointer& call, HttpResult result) {
  call->timer.cancel();
  outstanding_.erase(call);
  const Done done = std::move(call->done);
  done(std::move(result));
}

void HttpClient::AbandonConnections() {
  for (const auto& [key, slot] : connections_) {
    slot.connection->Abandon();
  }
  connections_.clear();
  idle_.clear();
  connecting_ = 0;
}

}  // namespace burdockrock
