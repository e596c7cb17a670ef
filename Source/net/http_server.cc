#include "net/http_server.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/asio/ip/address.hpp>

#include "net/handshake_filter.h"

namespace burdockrock {

namespace {

constexpr int kBacklog = 1024;
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
// From the last handshake that begins to the close of the listener.
constexpr Duration kHandshakeGrace = std::chrono::milliseconds(100);
constexpr Duration kMinCheckInterval = std::chrono::milliseconds(1);
// Connections above the limit that are told so; further ones are just closed.
constexpr std::size_t kMaxRefused = 64;

NetError ListenError(const HttpServerOptions& options,
                     const std::string& problem) {
  return NetError{fmt::format(
      "listen on {}:{}: {}; give an address of this machine and a free port",
      options.address, options.port, problem)};
}

}  // namespace

HttpServer::HttpServer(boost::asio::io_context& io,
                       HttpServerOptions options,
                       Handler handler)
    : options_(std::move(options)),
      handler_(std::move(handler)),
      acceptor_(io),
      accept_timer_(io),
      listener_timer_(io),
      deadline_timer_(io) {}

HttpServer::~HttpServer() {
  HttpServer::Close();
}

std::variant<std::uint16_t, NetError> HttpServer::Listen() {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(options_.address, ec);
  if (ec) {
    return ListenError(options_, "not an IP address");
  }
  ec = Open(TcpEndpoint(address, options_.port));
  if (ec) {
    acceptor_.close();
    return ListenError(options_, ec.message());
  }
  const TcpEndpoint bound = acceptor_.local_endpoint(ec);
  if (ec) {
    return ListenError(options_, ec.message());
  }
  Accept();
  return bound.port();
}

void HttpServer::SetLimits(const HttpRequestLimits& limits) {
  options_.max_header_bytes = limits.max_header_bytes;
  options_.max_body_bytes = limits.max_body_bytes;
  options_.read_timeout = limits.read_timeout;
  options_.idle_timeout = limits.idle_timeout;
  deadline_timer_.cancel();  // sets it anew
}

void HttpServer::AnnounceStop() {
  stopping_ = true;
}

void HttpServer::StopAccepting() {
  if (std::exchange(closing_, true)) {
    return;
  }
  AnnounceStop();
  if (acceptor_.is_open() && DropNewHandshakes(acceptor_.native_handle())) {
    listener_timer_.expires_after(kHandshakeGrace);
    listener_timer_.async_wait(
        [this, alive = std::weak_ptr(alive_)](boost::system::error_code ec) {
          if (!alive.expired() && !ec) {
            CloseListener();
          }
        });
  } else {
    CloseListener();
  }
  for (const auto& session : sessions_) {
    session->StopIdling();
  }
  deadline_timer_.cancel();  // sets it anew
}

void HttpServer::Close() {
  closed_ = true;
  StopAccepting();
  CloseListener();
  deadline_timer_.cancel();
  for (const auto& session : std::exchange(sessions_, {})) {
    session->Abandon();
  }
  for (const auto& session : std::exchange(refused_, {})) {
    session->Abandon();
  }
}

bool HttpServer::is_accepting() const {
  return acceptor_.is_open();
}

std::size_t HttpServer::connection_count() const {
  return sessions_.size();
}

std::size_t HttpServer::unanswered_count() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& it) { return it->is_unanswered(); }));
}

const HttpServerOptions& HttpServer::options() const {
  return options_;
}

bool HttpServer::stopping() const {
  return stopping_;
}

bool HttpServer::closing() const {
  return closing_;
}

void HttpServer::AnswerAll(const HttpResponse& response) {
  const auto sessions = sessions_;  // one whose answer fails leaves the set
  for (const auto& session : sessions) {
    session->AnswerNow(response);
  }
}

void HttpServer::OnRequest(HttpRequest request, HttpResponder responder) {
  handler_(std::move(request), std::move(responder));
}

void HttpServer::OnProblem(const HttpServerProblem& problem) {
  if (options_.on_problem) {
    options_.on_problem(problem);
  }
}

void HttpServer::OnClosed(const std::shared_ptr<HttpSession>& session) {
  sessions_.erase(session);
  refused_.erase(session);
}

boost::system::error_code HttpServer::Open(const TcpEndpoint& endpoint) {
  boost::system::error_code ec;
  acceptor_.open(endpoint.protocol(), ec);
  if (ec) {
    return ec;
  }
  acceptor_.set_option(TcpAcceptor::reuse_address(true), ec);
  if (ec) {
    return ec;
  }
  acceptor_.bind(endpoint, ec);
  if (ec) {
    return ec;
  }
  acceptor_.listen(kBacklog, ec);
  return ec;
}

void HttpServer::Accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr(alive_)](
                             boost::system::error_code ec, TcpSocket socket) {
    if (!alive.expired()) {
      OnAccept(ec, std::move(socket));
    }
  });
}

void HttpServer::OnAccept(boost::system::error_code ec, TcpSocket socket) {
  if (closed_) {
    return;
  }
  // Also one that was accepted just before the acceptor closed.
  if (!ec) {
    Admit(std::move(socket));
  }
  if (!acceptor_.is_open()) {
    return;
  }
  if (ec && ec != boost::asio::error::connection_aborted) {
    return PauseAccepting(ec);
  }
  Accept();
}

void HttpServer::CloseListener() {
  AcceptWaiting();
  boost::system::error_code ec;
  acceptor_.close(ec);
  accept_timer_.cancel();
  listener_timer_.cancel();
}

// Closing the acceptor resets the connections in its backlog, whose clients may
// have sent a request already.
void HttpServer::AcceptWaiting() {
  if (closed_) {
    return;
  }
  boost::system::error_code ec;
  acceptor_.non_blocking(true, ec);
  while (!ec) {
    TcpSocket socket(acceptor_.get_executor());
    acceptor_.accept(socket, ec);
    if (!ec) {
      Admit(std::move(socket));
    }
  }
}

void HttpServer::Admit(TcpSocket socket) {
  const bool full = sessions_.size() >= options_.max_connections;
  if (full && refused_.size() >= kMaxRefused) {
    return;
  }
  auto session = std::make_shared<HttpSession>(
      std::move(socket), static_cast<HttpSessionOwner*>(this));
  if (full) {
    refused_.insert(session);
    session->Refuse();
  } else {
    sessions_.insert(session);
    session->Start();
  }
  ArmDeadlineTimer();
}

// With no file descriptor left the connection stays in the backlog and accept
// fails again at once: without a pause that takes the whole thread.
void HttpServer::PauseAccepting(boost::system::error_code ec) {
  OnProblem(HttpServerProblem{
      .kind = HttpServerProblemKind::kAcceptFailed,
      .remote = "unknown",
      .detail = fmt::format("accept: {}; raise the limit of open files or "
                            "lower max_connections",
                            ec.message())});
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code wait_ec) {
        if (!alive.expired() && !wait_ec && acceptor_.is_open()) {
          Accept();
        }
      });
}

// One timer for all connections: a timer each would be set and cancelled three
// times a request. What a connection does from now on is not due before the
// shortest timeout has passed.
void HttpServer::ArmDeadlineTimer() {
  if (deadline_timer_armed_ || (sessions_.empty() && refused_.empty())) {
    return;
  }
  deadline_timer_armed_ = true;
  const auto now = HttpSession::Clock::now();
  auto next = now + std::min({options_.read_timeout, options_.idle_timeout,
                              options_.write_timeout});
  for (const auto* sessions : {&sessions_, &refused_}) {
    for (const auto& session : *sessions) {
      next = std::min(next, session->deadline());
    }
  }
  deadline_timer_.expires_at(std::max(next, now + kMinCheckInterval));
  deadline_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](boost::system::error_code) {
        if (!alive.expired()) {
          deadline_timer_armed_ = false;
          CheckDeadlines();
          ArmDeadlineTimer();
        }
      });
}

void HttpServer::CheckDeadlines() {
  const auto now = HttpSession::Clock::now();
  // A copy: a session that ends leaves the set.
  std::vector<std::shared_ptr<HttpSession>> due;
  for (const auto* sessions : {&sessions_, &refused_}) {
    std::ranges::copy_if(
        *sessions, std::back_inserter(due),
        [now](const auto& it) { return it->deadline() <= now; });
  }
  for (const auto& session : due) {
    session->CheckDeadline(now);
  }
}

}  // namespace burdockrock
