#include "config/setting_error.h"

#include <fmt/format.h>

namespace burdockrock {

std::string ToString(const SettingError& error) {
  std::string text =
      fmt::format("{}: {}: {}", error.file, error.path, error.problem);
  if (!error.allowed.empty()) {
    text += "; allowed: " + error.allowed;
  }
  return text;
}

}  // namespace burdockrock
