// The settings of an HTTP server and what it tells about its clients.
#ifndef BURDOCKROCK_NET_HTTP_SERVER_OPTIONS_H_
#define BURDOCKROCK_NET_HTTP_SERVER_OPTIONS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "model/time.h"
#include "net/http_message.h"

namespace burdockrock {

enum class HttpServerProblemKind {
  kMalformed,           // not HTTP/1.x
  kCutOff,              // the connection ended within a request
  kHeaderTooLarge,      // above max_header_bytes
  kBodyTooLarge,        // above max_body_bytes
  kSlowRequest,         // not whole after read_timeout
  kSlowReader,          // answer not taken after write_timeout
  kTooManyConnections,  // above max_connections
  kAcceptFailed,        // most often no file descriptor is left
};

struct HttpServerProblem {
  HttpServerProblemKind kind = HttpServerProblemKind::kMalformed;
  std::string remote{};  // "IP:PORT"
  std::string detail{};
  auto operator<=>(const HttpServerProblem&) const = default;
};

// Bounds of one request that may change while the server runs.
struct HttpRequestLimits {
  std::size_t max_header_bytes = 8192;
  std::size_t max_body_bytes = 256U << 10U;  // 256 KiB
  Duration read_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(120);

  auto operator<=>(const HttpRequestLimits&) const = default;
};

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;                    // 0: the system chooses
  std::size_t max_body_bytes = 256U << 10U;  // 256 KiB
  std::size_t max_header_bytes = 8192;
  std::size_t max_connections = 1024;
  // For a whole request, from its first byte on. All three are kept to within
  // an eighth of the shortest, 100 ms at most.
  Duration read_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(120);
  Duration write_timeout = std::chrono::seconds(10);
  std::function<void(const HttpServerProblem&)> on_problem{};
};

// Gives the answer to one request: once, then or later, on the io_context's
// thread. Further calls, and calls after the connection or the server is gone,
// are ignored. A request that never gets its answer keeps its connection until
// the server closes.
using HttpResponder = std::function<void(HttpResponse)>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_SERVER_OPTIONS_H_
