// Reads the addresses of the settings and of the platform's instance list.
#ifndef BURDOCKROCK_NET_ADDRESS_H_
#define BURDOCKROCK_NET_ADDRESS_H_

#include <string_view>
#include <variant>

#include "net/net_error.h"
#include "net/tcp.h"

namespace burdockrock {

// `text` is "IP:PORT", for IPv6 "[IP]:PORT". Names are not looked up.
std::variant<TcpEndpoint, NetError> ParseAddress(std::string_view text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_ADDRESS_H_
