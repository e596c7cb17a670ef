// One connection of the HTTP server: reads a request, hands it out, writes the
// answer, and begins again while both sides keep the connection.
#ifndef BURDOCKROCK_NET_HTTP_SESSION_H_
#define BURDOCKROCK_NET_HTTP_SESSION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/http_message.h"
#include "net/http_server_options.h"
#include "net/tcp.h"

namespace burdockrock {

class HttpSession;

// What a session needs of its server.
class HttpSessionOwner {
 public:
  virtual ~HttpSessionOwner() = default;
  virtual const HttpServerOptions& options() const = 0;
  // After AnnounceStop: each answer is its connection's last.
  virtual bool stopping() const = 0;
  // After StopAccepting: idle connections end soon.
  virtual bool closing() const = 0;
  virtual void OnRequest(HttpRequest request, HttpResponder responder) = 0;
  virtual void OnProblem(const HttpServerProblem& problem) = 0;
  // The session's socket is closed; the owner forgets it.
  virtual void OnClosed(const std::shared_ptr<HttpSession>& session) = 0;
};

class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  using Clock = std::chrono::steady_clock;

  HttpSession(TcpSocket socket, HttpSessionOwner* owner);

  void Start();
  // Answers 503 and closes; for a connection above the server's limit.
  void Refuse();
  // Cuts the connection if its phase has lasted too long.
  void CheckDeadline(Clock::time_point now);
  Clock::time_point deadline() const { return deadline_; }
  // Closes the connection soon if it waits for a request.
  void StopIdling();
  // A request was read whole and its answer has not left.
  bool is_unanswered() const;
  // Answers the request that the handler has, if there is one.
  void AnswerNow(HttpResponse response);
  // Closes at once without a word to the owner.
  void Abandon();

 private:
  enum class Phase {
    kIdle,       // no byte of the next request came
    kReading,    // a request came in part
    kRunning,    // the handler has the request
    kWriting,    // the answer is going out
    kLingering,  // the last answer is out, what still comes is thrown away
    kClosed,
  };
  using Body = boost::beast::http::string_body;

  bool HasMore() const;
  // Whether the connection stays open after the answer that is due.
  bool StaysOpen();
  // Takes what has arrived, at the first answer after a stop has begun.
  void TakeArrived();
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t size);
  void OnEnd();
  void BeginRequest();
  void Parse();
  void OnParseError(boost::system::error_code ec);
  void Dispatch();
  void Respond(std::uint64_t number, HttpResponse response);
  void Fail(HttpServerProblemKind kind, int status, const std::string& detail);
  void Write(HttpResponse response);
  void OnWritten(boost::system::error_code ec);
  void Linger();
  void Close();
  void Enter(Phase phase, Duration limit);
  void Report(HttpServerProblemKind kind, const std::string& detail);

  TcpSocket socket_;
  HttpSessionOwner* owner_;  // null once abandoned
  Phase phase_ = Phase::kIdle;
  Clock::time_point deadline_ = Clock::time_point::max();
  std::string remote_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<Body>> parser_;
  std::optional<boost::beast::http::response<Body>> response_;
  std::uint64_t request_number_ = 0;
  bool keep_alive_ = true;
  bool head_only_ = false;
  // After AnnounceStop: what had arrived by then is in the buffer; and more
  // was read since, for the end of a request.
  bool took_arrived_ = false;
  bool read_since_ = false;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_SESSION_H_
