#include "cli/split.h"

namespace burdockrock {

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  if (text.empty()) {
    return parts;
  }
  std::size_t start = 0;
  std::size_t end = text.find(separator);
  while (end != std::string_view::npos) {
    parts.emplace_back(text.substr(start, end - start));
    start = end + 1;
    end = text.find(separator, start);
  }
  parts.emplace_back(text.substr(start));
  return parts;
}

}  // namespace burdockrock
