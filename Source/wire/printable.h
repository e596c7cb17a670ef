// Which text may be shown in lines of logs and metrics.
#ifndef BURDOCKROCK_WIRE_PRINTABLE_H_
#define BURDOCKROCK_WIRE_PRINTABLE_H_

#include <algorithm>
#include <string_view>

namespace burdockrock {

// Whether the text has no control characters, which would break a line.
inline bool IsPrintable(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::ranges::all_of(text, [](char it) {
    const auto byte = static_cast<unsigned char>(it);
    return byte >= kFirstPrintable && byte != kDelete;
  });
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_PRINTABLE_H_
