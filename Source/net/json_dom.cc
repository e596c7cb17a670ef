#include "net/json_dom.h"

namespace burdockrock {

std::optional<JsonElement> ParseDom(std::string_view text) {
  thread_local simdjson::dom::parser parser;
  JsonElement root;
  if (parser.parse(text.data(), text.size()).get(root) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  return root;
}

}  // namespace burdockrock
