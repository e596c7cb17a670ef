// Loopback peers for the tests: all on one io_context, which runs until a
// condition holds.
#ifndef BURDOCKROCK_TESTS_NET_LOOPBACK_H_
#define BURDOCKROCK_TESTS_NET_LOOPBACK_H_

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/tcp.h"

namespace burdockrock::testing {

constexpr Duration kPatience = std::chrono::seconds(10);

// False if `condition` does not hold within kPatience.
inline bool RunUntil(boost::asio::io_context& io,
                     const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return true;
}

inline TcpEndpoint Loopback(std::uint16_t port) {
  return {boost::asio::ip::address_v4::loopback(), port};
}

inline std::string AddressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A TCP peer that writes what it is told and keeps what it reads.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
 public:
  explicit RawPeer(TcpSocket with) : socket(std::move(with)) {}

  static std::shared_ptr<RawPeer> Connect(boost::asio::io_context& io,
                                          std::uint16_t port) {
    auto peer = std::make_shared<RawPeer>(TcpSocket(io));
    peer->socket.connect(Loopback(port));
    return peer;
  }

  void Read() {
    socket.async_read_some(boost::asio::buffer(bytes),
                           [self = shared_from_this()](
                               boost::system::error_code ec, std::size_t size) {
                             self->received.append(self->bytes.data(), size);
                             self->ended = static_cast<bool>(ec);
                             if (!ec) {
                               self->Read();
                             }
                           });
  }

  void Write(std::string text) {
    auto kept = std::make_shared<std::string>(std::move(text));
    boost::asio::async_write(socket, boost::asio::buffer(*kept),
                             [self = shared_from_this(), kept](
                                 boost::system::error_code, std::size_t) {});
  }

  TcpSocket socket;
  std::string received;
  bool ended = false;
  std::array<char, 4096> bytes{};
};

// Accepts raw peers and begins to read from each.
class RawServer {
 public:
  explicit RawServer(boost::asio::io_context& io) : acceptor_(io, Loopback(0)) {
    Accept();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  std::vector<std::shared_ptr<RawPeer>> peers;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code ec, TcpSocket socket) {
          if (ec) {
            return;
          }
          peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
          peers.back()->Read();
          Accept();
        });
  }

  TcpAcceptor acceptor_;
};

// A server whose handler answers with the request's method, path and body, and
// holds back the answers to "/held".
class EchoServer {
 public:
  EchoServer(boost::asio::io_context& io, HttpServerOptions options)
      : server(
            io,
            WithHook(std::move(options)),
            [this](const HttpRequest& request, HttpServer::Responder respond) {
              Handle(request, std::move(respond));
            }) {
    port = std::get<std::uint16_t>(server.Listen());
  }

  bool Reported(HttpServerProblemKind kind) const {
    return !problems.empty() && problems.back().kind == kind;
  }

  std::vector<HttpServerProblem> problems;
  std::vector<HttpRequest> requests;
  std::vector<HttpServer::Responder> held;
  std::string large;  // the answer to "/large"
  HttpServer server;
  std::uint16_t port = 0;

 private:
  HttpServerOptions WithHook(HttpServerOptions options) {
    options.on_problem = [this](const HttpServerProblem& problem) {
      problems.push_back(problem);
    };
    return options;
  }

  void Handle(const HttpRequest& request, HttpServer::Responder respond) {
    requests.push_back(request);
    if (request.path == "/held") {
      held.push_back(std::move(respond));
    } else if (request.path == "/large") {
      respond(HttpResponse{.body = large});
    } else {
      respond(HttpResponse{.body = request.method + " " + request.path + " " +
                                   request.body});
    }
  }
};

// Sends and keeps the results in the order in which they come.
class Caller {
 public:
  Caller(boost::asio::io_context& io, HttpClientOptions options)
      : client(io, std::move(options)) {}

  void Send(HttpRequest request, Duration timeout = kPatience) {
    client.Send(std::move(request), timeout, [this](HttpResult result) {
      results.push_back(std::move(result));
    });
  }

  const HttpResponse& response(std::size_t index) const {
    return std::get<HttpResponse>(results.at(index));
  }

  const HttpFailure& failure(std::size_t index) const {
    return std::get<HttpFailure>(results.at(index));
  }

  std::vector<HttpResult> results;
  HttpClient client;
};

}  // namespace burdockrock::testing

#endif  // BURDOCKROCK_TESTS_NET_LOOPBACK_H_
