// One connection of the HTTP client: one request and its answer at a time.
#ifndef BURDOCKROCK_NET_HTTP_CLIENT_CONNECTION_H_
#define BURDOCKROCK_NET_HTTP_CLIENT_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "model/time.h"
#include "net/http_message.h"
#include "net/http_result.h"
#include "net/tcp.h"

namespace burdockrock {

class HttpClientConnection;

// What a connection tells its client.
class HttpClientConnectionOwner {
 public:
  virtual ~HttpClientConnectionOwner() = default;
  virtual void OnConnected(HttpClientConnection* connection) = 0;
  virtual void OnConnectFailed(HttpClientConnection* connection,
                               const std::string& message) = 0;
  // The call ended; usable() says whether the connection takes another.
  virtual void OnDone(HttpClientConnection* connection, HttpResult result) = 0;
  // The other side closed it while it had no call.
  virtual void OnIdleClosed(HttpClientConnection* connection) = 0;
  virtual void OnSent(std::size_t bytes) = 0;
  virtual void OnReceived(std::size_t bytes) = 0;
};

class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  HttpClientConnection(boost::asio::io_context& io,
                       TcpEndpoint endpoint,
                       std::size_t max_response_bytes,
                       HttpClientConnectionOwner* owner);

  void Connect(Duration timeout);
  // Only when connected and without a call.
  void Start(HttpRequest request);
  // Closes at once without a notice to the owner.
  void Abandon();

  // False once the other side closed it or sent what nobody asked for, also
  // if the io_context has not told so yet. A connection that had no call yet
  // passes: what the server said on it already, most often that it is full, is
  // then the answer of its first call. Dropping it would have the client
  // connect again without end.
  bool CheckOpen();
  bool usable() const;

  // The newest call that was waiting when this connection was begun.
  std::uint64_t begun_for() const { return begun_for_; }
  void set_begun_for(std::uint64_t sequence) { begun_for_ = sequence; }

 private:
  enum class Phase { kConnecting, kIdle, kBusy, kClosed };
  using Body = boost::beast::http::string_body;

  void OnConnect(boost::system::error_code ec);
  void FailConnect(const std::string& problem);
  void OnWritten(boost::system::error_code ec, std::size_t size);
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t size);
  void OnIdleRead();
  void OnReadError(boost::system::error_code ec);
  void BeginResponse();
  void Parse();
  void Complete();
  void Fail(bool may_have_been_received, const std::string& problem);
  std::string Describe(const std::string& problem) const;

  TcpSocket socket_;
  SteadyTimer connect_timer_;
  TcpEndpoint endpoint_;
  std::string host_;  // of the header: "IP:PORT"
  std::size_t max_response_bytes_;
  HttpClientConnectionOwner* owner_;  // null once abandoned
  Phase phase_ = Phase::kConnecting;
  std::uint64_t begun_for_ = 0;
  bool used_ = false;
  bool writing_ = false;
  bool head_only_ = false;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request<Body>> request_;
  std::optional<boost::beast::http::response_parser<Body>> parser_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_CLIENT_CONNECTION_H_
