#include "net/http_session.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <fmt/format.h>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include "net/http_error_response.h"
#include "net/http_target.h"

namespace burdockrock {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 16384;
// Bounds what a client that sends ahead can have waiting at a stop.
constexpr std::size_t kMaxArrivedBytes = 1'048'576;
constexpr Duration kMaxLinger = std::chrono::seconds(1);
// Long enough for a busy client to send once more and learn from the answer
// that the connection ends, instead of losing a request to a close.
constexpr Duration kStopGrace = std::chrono::milliseconds(500);

std::string RemoteText(const TcpSocket& socket) {
  boost::system::error_code ec;
  const TcpEndpoint remote = socket.remote_endpoint(ec);
  if (ec) {
    return "unknown";
  }
  return fmt::format("{}:{}", remote.address().to_string(), remote.port());
}

std::map<std::string, std::string> HeadersOf(const http::fields& fields) {
  std::map<std::string, std::string> headers;
  for (const auto& it : fields) {
    std::string name(it.name_string().data(), it.name_string().size());
    boost::algorithm::to_lower(name);
    headers.emplace(std::move(name),
                    std::string(it.value().data(), it.value().size()));
  }
  return headers;
}

std::uint32_t ClampTo32(std::size_t bytes) {
  constexpr std::size_t kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(bytes, kMax));
}

}  // namespace

HttpSession::HttpSession(TcpSocket socket, HttpSessionOwner* owner)
    : socket_(std::move(socket)), owner_(owner) {
  remote_ = RemoteText(socket_);
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
}

void HttpSession::Start() {
  BeginRequest();
  Read();
}

void HttpSession::Refuse() {
  Report(HttpServerProblemKind::kTooManyConnections,
         fmt::format("refused, {} connections are open; raise the limit or "
                     "send to another instance",
                     owner_->options().max_connections));
  if (phase_ == Phase::kClosed) {
    return;  // the hook closed the server
  }
  keep_alive_ = false;
  Write(OverloadedResponse());
}

void HttpSession::CheckDeadline(Clock::time_point now) {
  if (now < deadline_) {
    return;
  }
  if (phase_ == Phase::kReading) {
    socket_.cancel();
    Fail(HttpServerProblemKind::kSlowRequest, 408,
         "the request was not whole in time");
    return;
  }
  if (phase_ == Phase::kWriting) {
    Report(HttpServerProblemKind::kSlowReader,
           "the answer was not taken in time");
  }
  if (phase_ == Phase::kIdle && HasMore()) {
    return;  // the read that is about to end brings a request
  }
  Close();
}

void HttpSession::StopIdling() {
  if (phase_ == Phase::kIdle) {
    deadline_ = std::min(deadline_, Clock::now() + kStopGrace);
  }
}

bool HttpSession::is_unanswered() const {
  return phase_ == Phase::kRunning || phase_ == Phase::kWriting;
}

void HttpSession::AnswerNow(HttpResponse response) {
  Respond(request_number_, std::move(response));
}

void HttpSession::Abandon() {
  owner_ = nullptr;
  phase_ = Phase::kClosed;
  boost::system::error_code ec;
  socket_.close(ec);
}

bool HttpSession::HasMore() const {
  boost::system::error_code ec;
  return buffer_.size() > 0 || socket_.available(ec) > 0;
}

// After a stop has begun, requests that had been sent ahead are still answered,
// but not those of a client that goes on sending ahead.
bool HttpSession::StaysOpen() {
  if (!owner_->stopping()) {
    return true;
  }
  if (!std::exchange(took_arrived_, true)) {
    TakeArrived();
  }
  return buffer_.size() > 0 && !read_since_;
}

void HttpSession::TakeArrived() {
  boost::system::error_code ec;
  const std::size_t size = std::min(socket_.available(ec), kMaxArrivedBytes);
  if (ec || size == 0) {
    return;
  }
  buffer_.commit(socket_.read_some(buffer_.prepare(size), ec));
}

void HttpSession::Read() {
  read_since_ = read_since_ || took_arrived_;
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](
                              boost::system::error_code ec, std::size_t size) {
                            self->OnRead(ec, size);
                          });
}

void HttpSession::OnRead(boost::system::error_code ec, std::size_t size) {
  if (phase_ == Phase::kLingering) {
    return ec ? Close() : Linger();
  }
  // A read that was cancelled for its deadline ends while the 408 goes out.
  if (phase_ != Phase::kIdle && phase_ != Phase::kReading) {
    return;
  }
  if (ec) {
    return OnEnd();
  }
  buffer_.commit(size);
  Parse();
}

void HttpSession::OnEnd() {
  if (phase_ == Phase::kReading) {
    Report(HttpServerProblemKind::kCutOff,
           "the connection ended within a request");
  }
  Close();
}

void HttpSession::BeginRequest() {
  const HttpServerOptions& options = owner_->options();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(ClampTo32(options.max_header_bytes));
  parser_->body_limit(options.max_body_bytes);
  Enter(Phase::kIdle, options.idle_timeout);
  if (owner_->closing()) {
    StopIdling();
  }
}

void HttpSession::Parse() {
  if (phase_ == Phase::kIdle) {
    Enter(Phase::kReading, owner_->options().read_timeout);
  }
  while (buffer_.size() > 0 && !parser_->is_done()) {
    boost::system::error_code ec;
    const std::size_t used = parser_->put(buffer_.data(), ec);
    buffer_.consume(used);
    if (ec == http::error::need_more) {
      break;
    }
    if (ec) {
      return OnParseError(ec);
    }
  }
  if (parser_->is_done()) {
    Dispatch();
  } else {
    Read();
  }
}

void HttpSession::OnParseError(boost::system::error_code ec) {
  const HttpServerOptions& options = owner_->options();
  if (ec == http::error::body_limit) {
    Fail(HttpServerProblemKind::kBodyTooLarge, 413,
         fmt::format("the body is above {} bytes", options.max_body_bytes));
  } else if (ec == http::error::header_limit) {
    Fail(HttpServerProblemKind::kHeaderTooLarge, 431,
         fmt::format("the header is above {} bytes", options.max_header_bytes));
  } else {
    Fail(HttpServerProblemKind::kMalformed, 400, ec.message());
  }
}

void HttpSession::Dispatch() {
  keep_alive_ = parser_->keep_alive();
  auto message = parser_->release();
  auto target = DecodeTarget(
      std::string_view(message.target().data(), message.target().size()));
  if (!target) {
    return Fail(HttpServerProblemKind::kMalformed, 400,
                "the request's target is not a path with distinct query keys");
  }
  head_only_ = message.method() == http::verb::head;
  HttpRequest request{
      .method = std::string(message.method_string()),
      .path = std::move(target->path),
      .query = std::move(target->query),
      .headers = HeadersOf(message),
      .body = std::move(message.body()),
  };
  phase_ = Phase::kRunning;
  deadline_ = Clock::time_point::max();
  const std::uint64_t number = ++request_number_;
  owner_->OnRequest(std::move(request),
                    [weak = weak_from_this(), number](HttpResponse response) {
                      if (const auto self = weak.lock()) {
                        self->Respond(number, std::move(response));
                      }
                    });
}

void HttpSession::Respond(std::uint64_t number, HttpResponse response) {
  if (phase_ == Phase::kRunning && number == request_number_) {
    Write(std::move(response));
  }
}

void HttpSession::Fail(HttpServerProblemKind kind,
                       int status,
                       const std::string& detail) {
  Report(kind, detail);
  if (phase_ == Phase::kClosed) {
    return;  // the hook closed the server
  }
  keep_alive_ = false;
  Write(InvalidRequestResponse(status, detail));
}

void HttpSession::Write(HttpResponse response) {
  keep_alive_ = keep_alive_ && StaysOpen();
  auto& message = response_.emplace();
  message.result(static_cast<unsigned>(response.status));
  message.set(http::field::content_type, response.content_type);
  if (response.retry_after) {
    message.set(http::field::retry_after,
                std::to_string(response.retry_after->count()));
  }
  message.body() = std::move(response.body);
  message.prepare_payload();
  message.keep_alive(keep_alive_);
  if (std::exchange(head_only_, false)) {
    // Content-Length stays as for GET, and no byte of the body may follow.
    message.body().clear();
  }
  Enter(Phase::kWriting, owner_->options().write_timeout);
  http::async_write(
      socket_, message,
      [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->OnWritten(ec);
      });
}

void HttpSession::OnWritten(boost::system::error_code ec) {
  if (phase_ != Phase::kWriting) {
    return;
  }
  response_.reset();
  if (ec) {
    return Close();
  }
  if (!keep_alive_) {
    // Closing with unread bytes makes TCP send a reset, on which the client's
    // system may throw away the answer before the client has read it. So the
    // sending side ends first and what still comes is read for a while.
    socket_.shutdown(TcpSocket::shutdown_send, ec);
    Enter(Phase::kLingering,
          std::min(kMaxLinger, owner_->options().write_timeout));
    return Linger();
  }
  BeginRequest();
  if (buffer_.size() > 0) {
    Parse();
  } else {
    Read();
  }
}

void HttpSession::Linger() {
  buffer_.clear();
  Read();
}

void HttpSession::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  HttpSessionOwner* owner = owner_;
  Abandon();
  owner->OnClosed(shared_from_this());
}

void HttpSession::Enter(Phase phase, Duration limit) {
  phase_ = phase;
  deadline_ = Clock::now() + limit;
}

void HttpSession::Report(HttpServerProblemKind kind,
                         const std::string& detail) {
  owner_->OnProblem(
      HttpServerProblem{.kind = kind, .remote = remote_, .detail = detail});
}

}  // namespace burdockrock
