#include "config/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace burdockrock {
namespace {

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, port);
  return ec == std::errc() && rest == end && port > 0;
}

bool IsIp(int family, std::string_view text) {
  in6_addr buf{};
  return inet_pton(family, std::string(text).c_str(), &buf) == 1;
}

}  // namespace

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsIp(AF_INET6, host.substr(1, host.size() - 2));
  }
  return IsIp(AF_INET, host);
}

}  // namespace burdockrock
