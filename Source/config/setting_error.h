// One fault in a settings file, as operators read it.
#ifndef BURDOCKROCK_CONFIG_SETTING_ERROR_H_
#define BURDOCKROCK_CONFIG_SETTING_ERROR_H_

#include <compare>
#include <string>
#include <vector>

namespace burdockrock {

struct SettingError {
  std::string file;     // or "base" and "overlay SITE" for accepted policy
  std::string path;     // "$.lease.renew_ms"; "$" for the whole file
  std::string problem;  // what is wrong, with the value found
  std::string allowed;  // what may stand there; empty when nothing may

  auto operator<=>(const SettingError&) const = default;
};

// "FILE: $.path: problem; allowed: ..."
std::string ToString(const SettingError& error);

using SettingErrors = std::vector<SettingError>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_SETTING_ERROR_H_
