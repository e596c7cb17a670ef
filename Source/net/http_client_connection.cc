#include "net/http_client_connection.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/lexical_cast.hpp>

#include "net/http_target.h"

namespace burdockrock {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 16384;
constexpr unsigned kInterimStatusClass = 1;

std::optional<std::chrono::seconds> ParseRetryAfter(std::string_view text) {
  std::uint32_t seconds = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, seconds);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

HttpClientConnection::HttpClientConnection(boost::asio::io_context& io,
                                           TcpEndpoint endpoint,
                                           std::size_t max_response_bytes,
                                           HttpClientConnectionOwner* owner)
    : socket_(io),
      connect_timer_(io),
      endpoint_(std::move(endpoint)),
      host_(boost::lexical_cast<std::string>(endpoint_)),
      max_response_bytes_(max_response_bytes),
      owner_(owner) {}

void HttpClientConnection::Connect(Duration timeout) {
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && self->phase_ == Phase::kConnecting) {
          self->FailConnect("no connection in time");
        }
      });
  socket_.async_connect(
      endpoint_, [self = shared_from_this()](boost::system::error_code ec) {
        self->OnConnect(ec);
      });
}

void HttpClientConnection::Start(HttpRequest request) {
  phase_ = Phase::kBusy;
  used_ = true;
  auto& message = request_.emplace();
  message.method_string(request.method);
  message.target(EncodeTarget(request.path, request.query));
  message.set(http::field::host, host_);
  if (!request.body.empty()) {
    message.set(http::field::content_type, "application/json");
  }
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  head_only_ = request.method == "HEAD";
  BeginResponse();
  writing_ = true;
  http::async_write(socket_, message,
                    [self = shared_from_this()](boost::system::error_code ec,
                                                std::size_t size) {
                      self->OnWritten(ec, size);
                    });
}

void HttpClientConnection::Abandon() {
  owner_ = nullptr;
  phase_ = Phase::kClosed;
  connect_timer_.cancel();
  boost::system::error_code ec;
  socket_.close(ec);
}

bool HttpClientConnection::CheckOpen() {
  if (!used_) {
    return true;
  }
  char byte = 0;
  boost::system::error_code ec;
  socket_.receive(boost::asio::buffer(&byte, 1), TcpSocket::message_peek, ec);
  return ec == boost::asio::error::would_block;
}

bool HttpClientConnection::usable() const {
  return phase_ == Phase::kIdle;
}

void HttpClientConnection::OnConnect(boost::system::error_code ec) {
  if (phase_ != Phase::kConnecting) {
    return;
  }
  connect_timer_.cancel();
  if (ec) {
    return FailConnect(ec.message());
  }
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  socket_.non_blocking(true, ec);
  if (ec) {
    return FailConnect(ec.message());
  }
  phase_ = Phase::kIdle;
  Read();
  owner_->OnConnected(this);
}

void HttpClientConnection::FailConnect(const std::string& problem) {
  HttpClientConnectionOwner* owner = owner_;
  const auto self = shared_from_this();
  Abandon();
  owner->OnConnectFailed(
      this, Describe(fmt::format("connect: {}; see whether it runs", problem)));
}

void HttpClientConnection::OnWritten(boost::system::error_code ec,
                                     std::size_t size) {
  writing_ = false;
  if (owner_ != nullptr) {
    owner_->OnSent(size);
  }
  if (phase_ != Phase::kBusy || !ec) {
    return;
  }
  if (size == 0) {
    return Fail(false, fmt::format("send: {}", ec.message()));
  }
  // The server may have answered before it closed; the pending read tells.
}

// One read is always pending, also without a call: so the end of an idle
// connection is known at once, and no request is put on it and lost.
void HttpClientConnection::Read() {
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](
                              boost::system::error_code ec, std::size_t size) {
                            self->OnRead(ec, size);
                          });
}

void HttpClientConnection::OnRead(boost::system::error_code ec,
                                  std::size_t size) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  owner_->OnReceived(size);
  if (phase_ == Phase::kIdle) {
    return OnIdleRead();
  }
  if (ec) {
    return OnReadError(ec);
  }
  buffer_.commit(size);
  Parse();
}

// Bytes that nobody asked for end the connection like its close: they would be
// taken for the answer of the next request.
void HttpClientConnection::OnIdleRead() {
  HttpClientConnectionOwner* owner = owner_;
  Abandon();
  owner->OnIdleClosed(this);
}

void HttpClientConnection::OnReadError(boost::system::error_code ec) {
  if (ec == boost::asio::error::eof && parser_->got_some()) {
    boost::system::error_code parse_ec;
    parser_->put_eof(parse_ec);
    if (!parse_ec && parser_->is_done()) {
      return Complete();
    }
  }
  Fail(true, fmt::format("receive: {}", ec.message()));
}

void HttpClientConnection::BeginResponse() {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(max_response_bytes_);
  parser_->skip(head_only_);
}

void HttpClientConnection::Parse() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    boost::system::error_code ec;
    const std::size_t used = parser_->put(buffer_.data(), ec);
    buffer_.consume(used);
    if (ec == http::error::need_more) {
      break;
    }
    if (ec) {
      return Fail(true, fmt::format("answer: {}", ec.message()));
    }
    const bool interim =
        parser_->is_done() &&
        parser_->get().result_int() / 100 == kInterimStatusClass;
    if (interim) {
      BeginResponse();
    }
  }
  if (parser_->is_done()) {
    Complete();
  } else {
    Read();
  }
}

void HttpClientConnection::Complete() {
  const bool keep = parser_->keep_alive() && !writing_ && buffer_.size() == 0;
  auto message = parser_->release();
  HttpResponse response{
      .status = static_cast<int>(message.result_int()),
      .body = std::move(message.body()),
      .content_type = std::string(View(message[http::field::content_type])),
      .retry_after = ParseRetryAfter(View(message[http::field::retry_after])),
  };
  HttpClientConnectionOwner* owner = owner_;
  const auto self = shared_from_this();
  if (keep) {
    phase_ = Phase::kIdle;
    Read();
  } else {
    Abandon();
  }
  owner->OnDone(this, std::move(response));
}

void HttpClientConnection::Fail(bool may_have_been_received,
                                const std::string& problem) {
  HttpClientConnectionOwner* owner = owner_;
  const auto self = shared_from_this();
  Abandon();
  owner->OnDone(this,
                HttpFailure{.may_have_been_received = may_have_been_received,
                            .message = Describe(problem)});
}

std::string HttpClientConnection::Describe(const std::string& problem) const {
  return fmt::format("{}: {}", host_, problem);
}

}  // namespace burdockrock
