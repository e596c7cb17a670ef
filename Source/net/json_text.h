// What JSON forbids in a text and jsoncpp lets pass.
#ifndef BURDOCKROCK_NET_JSON_TEXT_H_
#define BURDOCKROCK_NET_JSON_TEXT_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string_view>

namespace burdockrock {

struct JsonTextFault {
  std::size_t offset = 0;  // in bytes
  std::string_view problem;
  auto operator<=>(const JsonTextFault&) const = default;
};

// The first broken number, control character or byte that is not UTF-8. jsoncpp
// reads "-" as 0, takes the byte 0 for the end of the text, so that anything
// may follow it, and keeps broken UTF-8, which the next reader then refuses.
// Everything else is left to jsoncpp.
std::optional<JsonTextFault> FindJsonTextFault(std::string_view text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_JSON_TEXT_H_
