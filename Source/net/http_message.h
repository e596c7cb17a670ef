// HTTP requests and answers as values, the same for both sides.
#ifndef BURDOCKROCK_NET_HTTP_MESSAGE_H_
#define BURDOCKROCK_NET_HTTP_MESSAGE_H_

#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <string>

namespace burdockrock {

// The empty initialisers let designated ones leave members out without a
// warning.

// `path` and `query` are decoded: they hold no percent escapes. Names of
// headers are in lower case; the client sets Host, Content-Type and
// Content-Length itself, unless they are given.
struct HttpRequest {
  std::string method = "GET";
  std::string path{};
  std::map<std::string, std::string> query{};
  std::map<std::string, std::string> headers{};
  std::string body{};
  auto operator<=>(const HttpRequest&) const = default;
};

struct HttpResponse {
  int status = 200;
  std::string body{};
  std::string content_type = "application/json";
  // The Retry-After header; its form with a date is not read.
  std::optional<std::chrono::seconds> retry_after{};
  auto operator<=>(const HttpResponse&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_MESSAGE_H_
