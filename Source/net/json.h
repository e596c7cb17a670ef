// Strict JSON text to values and back, over jsoncpp.
#ifndef BURDOCKROCK_NET_JSON_H_
#define BURDOCKROCK_NET_JSON_H_

#include <compare>
#include <string>
#include <string_view>
#include <variant>

#include <json/value.h>

namespace burdockrock {

// `line` and `column` count from 1; both are 0 where the place is not known.
struct JsonError {
  std::string message{};
  int line = 0;
  int column = 0;
  auto operator<=>(const JsonError&) const = default;
};

// Refuses comments, duplicate keys, anything after the value, a root that is
// neither object nor array, nesting deeper than 64, and what json_text.h
// names.
std::variant<Json::Value, JsonError> ParseJson(std::string_view text);

// One line without spaces; UTF-8 is kept as it is.
std::string WriteJson(const Json::Value& value);

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_JSON_H_
