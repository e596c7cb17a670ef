#include "net/json_dom.h"

#include <algorithm>

#include <boost/container/static_vector.hpp>

namespace burdockrock {

namespace {

// Each key is compared with all others of its object.
constexpr std::size_t kMaxKeys = 32;
constexpr int kMaxDepth = 16;  // below that of ParseJson()

bool IsStrict(const JsonElement& value, int depth);

bool IsStrictArray(const simdjson::dom::array& array, int depth) {
  return std::all_of(
      array.begin(), array.end(),
      [depth](const JsonElement& it) { return IsStrict(it, depth); });
}

bool IsStrictObject(const simdjson::dom::object& object, int depth) {
  boost::container::static_vector<std::string_view, kMaxKeys> keys;
  for (const auto& [key, value] : object) {
    const bool repeated =
        std::find(keys.begin(), keys.end(), key) != keys.end();
    if (repeated || keys.size() == kMaxKeys || !IsStrict(value, depth)) {
      return false;
    }
    keys.push_back(key);
  }
  return true;
}

bool IsStrict(const JsonElement& value, int depth) {
  if (depth > kMaxDepth) {
    return false;
  }
  switch (value.type()) {
    case simdjson::dom::element_type::ARRAY:
      return IsStrictArray(value, depth + 1);
    case simdjson::dom::element_type::OBJECT:
      return IsStrictObject(value, depth + 1);
    default:
      return true;
  }
}

}  // namespace

std::optional<JsonElement> ParseDom(std::string_view text) {
  thread_local simdjson::dom::parser parser;
  JsonElement root;
  if (parser.parse(text.data(), text.size()).get(root) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  return root;
}

std::optional<JsonElement> ParseStrictDom(std::string_view text) {
  const auto root = ParseDom(text);
  const bool is_strict =
      root && (root->is_object() || root->is_array()) && IsStrict(*root, 0);
  return is_strict ? root : std::nullopt;
}

}  // namespace burdockrock
