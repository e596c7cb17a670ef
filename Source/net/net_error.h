// Why an operation of the net library failed.
#ifndef BURDOCKROCK_NET_NET_ERROR_H_
#define BURDOCKROCK_NET_NET_ERROR_H_

#include <compare>
#include <string>

namespace burdockrock {

// `message` names the address or file, the fault and the next step.
struct NetError {
  std::string message{};
  auto operator<=>(const NetError&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_NET_ERROR_H_
