// Fast reading of JSON texts that are expected to be valid.
#ifndef BURDOCKROCK_NET_JSON_DOM_H_
#define BURDOCKROCK_NET_JSON_DOM_H_

#include <optional>
#include <string_view>

#include <simdjson.h>

namespace burdockrock {

using JsonElement = simdjson::dom::element;

// The root of the text; none if it is not valid JSON. All threads have a parser
// of their own, so that a root is valid until the thread's next call.
std::optional<JsonElement> ParseDom(std::string_view text);

// As ParseDom(), but also none for whatever ParseJson() refuses, such as keys
// that occur twice, and for some unusual texts that it accepts.
std::optional<JsonElement> ParseStrictDom(std::string_view text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_JSON_DOM_H_
