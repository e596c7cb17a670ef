// An HTTP/1.1 server on the thread of one io_context.
#ifndef BURDOCKROCK_NET_HTTP_SERVER_H_
#define BURDOCKROCK_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_set>
#include <variant>

#include "net/http_message.h"
#include "net/http_server_options.h"
#include "net/http_session.h"
#include "net/net_error.h"
#include "net/tcp.h"

namespace burdockrock {

// All calls and hooks are on the thread that runs the io_context. The server
// answers malformed, oversized and slow requests itself, without the handler.
class HttpServer : private HttpSessionOwner {
 public:
  using Responder = HttpResponder;
  // Must not destroy the server.
  using Handler = std::function<void(HttpRequest, Responder)>;

  HttpServer(boost::asio::io_context& io,
             HttpServerOptions options,
             Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer() override;

  // Gives the bound port.
  std::variant<std::uint16_t, NetError> Listen();

  // For requests that begin from now on.
  void SetLimits(const HttpRequestLimits& limits);

  // From now on each answer is its connection's last. Connections are still
  // accepted, and idle ones stay open for one more request.
  void AnnounceStop();

  // Takes no new connections, beside those that clients have made or begun to
  // make already; the listener closes shortly after. Open ones end after their
  // running request, idle ones after a short grace; a request that comes within
  // it still reaches the handler.
  void StopAccepting();

  // Closes everything at once; running requests get no answer.
  void Close();

  // Until the listener is closed.
  bool is_accepting() const;

  std::size_t connection_count() const;

  // Requests that were read whole and whose answer has not left.
  std::size_t unanswered_count() const;

  // Answers all requests that the handler still has; its own answers to them
  // are ignored from then on.
  void AnswerAll(const HttpResponse& response);

 private:
  const HttpServerOptions& options() const override;
  bool stopping() const override;
  bool closing() const override;
  void OnRequest(HttpRequest request, HttpResponder responder) override;
  void OnProblem(const HttpServerProblem& problem) override;
  void OnClosed(const std::shared_ptr<HttpSession>& session) override;

  boost::system::error_code Open(const TcpEndpoint& endpoint);
  void Accept();
  void OnAccept(boost::system::error_code ec, TcpSocket socket);
  void CloseListener();
  // Takes the connections that wait to be accepted.
  void AcceptWaiting();
  void Admit(TcpSocket socket);
  void PauseAccepting(boost::system::error_code ec);
  void ArmDeadlineTimer();
  void CheckDeadlines();

  HttpServerOptions options_;
  Handler handler_;
  TcpAcceptor acceptor_;
  SteadyTimer accept_timer_;
  SteadyTimer listener_timer_;
  SteadyTimer deadline_timer_;
  bool deadline_timer_armed_ = false;
  bool stopping_ = false;
  bool closing_ = false;
  bool closed_ = false;
  std::unordered_set<std::shared_ptr<HttpSession>> sessions_;
  // Above the limit, being told so; not counted as connections.
  std::unordered_set<std::shared_ptr<HttpSession>> refused_;
  // Asio runs the handlers of cancelled operations after the server is gone;
  // they find here that it is.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_SERVER_H_
