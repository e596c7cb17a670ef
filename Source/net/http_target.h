// The target of an HTTP request line, "/path?key=value&key=value".
#ifndef BURDOCKROCK_NET_HTTP_TARGET_H_
#define BURDOCKROCK_NET_HTTP_TARGET_H_

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockrock {

// Both members are decoded.
struct HttpTarget {
  std::string path{};
  std::map<std::string, std::string> query{};
  auto operator<=>(const HttpTarget&) const = default;
};

// Nothing if it does not begin with '/', has a broken percent escape or gives a
// query key twice. '+' stands for itself (RFC 3986).
std::optional<HttpTarget> DecodeTarget(std::string_view text);

std::string EncodeTarget(std::string_view path,
                         const std::map<std::string, std::string>& query);

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_TARGET_H_
