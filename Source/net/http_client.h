// An HTTP/1.1 client: a pool of keep-alive connections to one endpoint.
#ifndef BURDOCKROCK_NET_HTTP_CLIENT_H_
#define BURDOCKROCK_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "model/time.h"
#include "net/http_client_connection.h"
#include "net/http_message.h"
#include "net/http_result.h"
#include "net/net_error.h"
#include "net/tcp.h"

namespace burdockrock {

struct HttpClientOptions {
  std::string address{};  // "IP:PORT"
  std::size_t max_connections = 8;
  std::size_t max_queued = 1024;  // calls that wait for a connection
  std::size_t max_response_bytes = 4U << 20U;  // 4 MiB
  Duration connect_timeout = std::chrono::seconds(1);
};

// A request that is meant for one of the processes which may listen at the
// endpoint one after the other.
struct HttpPeerRequest {
  HttpRequest request{};
  std::string peer{};  // the process that it is meant for
  // Sent in place of `request` over a connection on which the peer has not
  // answered: its other end may be another process.
  HttpRequest to_unknown{};
  // The process that sent the response; empty if the response does not tell.
  std::function<std::string(const HttpResponse&)> identify{};
};

// All calls are on the thread that runs the io_context. No request is ever sent
// twice.
class HttpClient : private HttpClientConnectionOwner {
 public:
  using Done = std::function<void(HttpResult)>;

  HttpClient(boost::asio::io_context& io, HttpClientOptions options);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  // Drops what is outstanding without calling any `done`.
  ~HttpClient() override;

  // `timeout` is for the whole call: queue, connect, request and answer. `done`
  // is called once, never within Send.
  void Send(HttpRequest request, Duration timeout, Done done);
  // The same, over a connection on which the peer has answered if one is free.
  // A connection ends with the process at its other end, so that `request`
  // never reaches another one.
  void SendToPeer(HttpPeerRequest request, Duration timeout, Done done);

  // Fails all outstanding calls before it returns, and each later one.
  void Close();

  std::size_t outstanding() const;
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;
  std::uint64_t calls() const;  // to Send, since the start

 private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  struct Slot {
    std::shared_ptr<HttpClientConnection> connection;
    CallPointer call;  // null while idle or connecting
    std::string peer;  // the process that has answered on it; empty: not known
  };

  void OnConnected(HttpClientConnection* connection) override;
  void OnConnectFailed(HttpClientConnection* connection,
                       const std::string& message) override;
  void OnDone(HttpClientConnection* connection, HttpResult result) override;
  void OnIdleClosed(HttpClientConnection* connection) override;
  void OnSent(std::size_t bytes) override;
  void OnReceived(std::size_t bytes) override;

  void Enqueue(const CallPointer& call, Duration timeout);
  void StartCall(const CallPointer& call, HttpClientConnection* connection);
  void FailLater(const CallPointer& call, std::string message);
  void StartTimer(const CallPointer& call, Duration timeout);
  void OnTimeout(const CallPointer& call);
  void Assign();
  // Prefers a connection on which `peer` has answered, then the last used one.
  HttpClientConnection* TakeIdle(const std::string& peer);
  void OpenConnections();
  void Unqueue(const CallPointer& call);
  void FailQueuedUpTo(std::uint64_t sequence, const std::string& message);
  void Finish(const CallPointer& call, HttpResult result);
  void AbandonConnections();

  boost::asio::io_context& io_;
  HttpClientOptions options_;
  std::variant<TcpEndpoint, NetError> endpoint_;
  bool closed_ = false;
  std::unordered_set<CallPointer> outstanding_;
  std::list<CallPointer> queue_;
  std::unordered_map<HttpClientConnection*, Slot> connections_;
  std::vector<HttpClientConnection*> idle_;  // the last used one is last
  std::size_t connecting_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t calls_ = 0;
  // Asio runs the handlers of cancelled operations after the client is gone;
  // they find here that it is.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_CLIENT_H_
