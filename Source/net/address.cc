#include "net/address.h"

#include <charconv>
#include <cstdint>
#include <string>

#include <fmt/format.h>
#include <boost/asio/ip/address.hpp>

namespace burdockrock {

namespace {

NetError BadAddress(std::string_view text, std::string_view problem) {
  return NetError{fmt::format(
      "address \"{}\": {}; give it as IP:PORT, for example 127.0.0.1:8080 "
      "or [::1]:8080",
      text, problem)};
}

}  // namespace

std::variant<TcpEndpoint, NetError> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddress(text, "the port is missing");
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);

  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [stop, error] = std::from_chars(port_text.data(), end, port);
  if (error != std::errc() || stop != end || port_text.empty()) {
    return BadAddress(text, "the port is not a number from 0 to 65535");
  }

  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(std::string(host), ec);
  if (ec || ip.is_v6() != bracketed) {
    return BadAddress(text, "the part before the port is not an IP address");
  }
  return TcpEndpoint(ip, port);
}

}  // namespace burdockrock
