// JSON as the commands print it.
#ifndef BURDOCKROCK_CLI_JSON_TEXT_H_
#define BURDOCKROCK_CLI_JSON_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>

#include <json/value.h>

namespace burdockrock {

// Indented by two spaces, without a last newline.
std::string PrettyJson(const Json::Value& value);

// The member `name` of an object where it is a string, else empty.
std::string StringMember(const Json::Value& object, const char* name);

// The member `name` of an object where it is a whole number.
std::optional<std::int64_t> IntegerMember(const Json::Value& object,
                                          const char* name);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_JSON_TEXT_H_
