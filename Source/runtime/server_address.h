// Options of a server that listens at an address of the settings.
#ifndef BURDOCKROCK_RUNTIME_SERVER_ADDRESS_H_
#define BURDOCKROCK_RUNTIME_SERVER_ADDRESS_H_

#include <string>
#include <variant>

#include "net/http_server_options.h"
#include "net/net_error.h"

namespace burdockrock {

// `options` with the host and port of `address`, "IP:PORT".
std::variant<HttpServerOptions, NetError> WithAddress(
    HttpServerOptions options,
    const std::string& address);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_SERVER_ADDRESS_H_
