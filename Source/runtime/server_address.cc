#include "runtime/server_address.h"

#include "net/address.h"

namespace burdockrock {

std::variant<HttpServerOptions, NetError> WithAddress(
    HttpServerOptions options,
    const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (const auto* error = std::get_if<NetError>(&parsed)) {
    return *error;
  }
  const auto& endpoint = std::get<TcpEndpoint>(parsed);
  options.address = endpoint.address().to_string();
  options.port = endpoint.port();
  return options;
}

}  // namespace burdockrock
