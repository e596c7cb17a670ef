// Addresses as settings spell them.
#ifndef BURDOCKROCK_CONFIG_ADDRESS_H_
#define BURDOCKROCK_CONFIG_ADDRESS_H_

#include <string_view>

namespace burdockrock {

// True for "IPV4:PORT" and "[IPV6]:PORT" with a port from 1 to 65535. Names of
// hosts are not addresses: no process here resolves names.
bool IsAddress(std::string_view text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_ADDRESS_H_
