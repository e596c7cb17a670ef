// Settings files and policy values as JSON, with faults of form as errors.
#ifndef BURDOCKROCK_CONFIG_JSON_TEXT_H_
#define BURDOCKROCK_CONFIG_JSON_TEXT_H_

#include <string>
#include <string_view>
#include <variant>

#include <json/value.h>

#include "config/setting_error.h"

namespace burdockrock {

// The object that `text` holds. Comments, duplicate keys, trailing text and
// anything but an object are errors. `file` goes into the errors.
std::variant<Json::Value, SettingErrors> ParseSettings(std::string_view text,
                                                       const std::string& file);

// The same for the file at `path`.
std::variant<Json::Value, SettingErrors> ReadSettingsFile(
    const std::string& path);

// One line for people: 0.1 stays "0.1", where WriteJson of the net library
// keeps each bit of a number.
std::string ShowJson(const Json::Value& value);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_JSON_TEXT_H_
