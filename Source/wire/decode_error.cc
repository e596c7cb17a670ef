#include "wire/decode_error.h"

#include <fmt/format.h>

namespace burdockrock {

std::string ToString(const DecodeError& error) {
  if (error.allowed.empty()) {
    return fmt::format("{}: {}", error.path, error.problem);
  }
  return fmt::format("{}: {}; allowed: {}", error.path, error.problem,
                     error.allowed);
}

}  // namespace burdockrock
