#include "cli/json_text.h"

#include "net/json.h"
#include "net/json_read.h"

namespace burdockrock {

namespace {

constexpr std::size_t kIndent = 2;

void AppendPretty(const Json::Value& value,
                  std::size_t depth,
                  std::string& text);

void AppendLineStart(bool is_first, std::size_t depth, std::string& text) {
  text += is_first ? "\n" : ",\n";
  text.append(depth * kIndent, ' ');
}

void AppendMembers(const Json::Value& object,
                   std::size_t depth,
                   std::string& text) {
  bool is_first = true;
  for (const std::string& name : object.getMemberNames()) {
    AppendLineStart(is_first, depth, text);
    text += WriteJson(name) + ": ";
    AppendPretty(object[name], depth, text);
    is_first = false;
  }
}

void AppendElements(const Json::Value& array,
                    std::size_t depth,
                    std::string& text) {
  bool is_first = true;
  for (const Json::Value& element : array) {
    AppendLineStart(is_first, depth, text);
    AppendPretty(element, depth, text);
    is_first = false;
  }
}

void AppendPretty(const Json::Value& value,
                  std::size_t depth,
                  std::string& text) {
  const bool is_nested = value.isObject() || value.isArray();
  if (!is_nested || value.empty()) {
    text += WriteJson(value);
    return;
  }
  text += value.isObject() ? "{" : "[";
  if (value.isObject()) {
    AppendMembers(value, depth + 1, text);
  } else {
    AppendElements(value, depth + 1, text);
  }
  AppendLineStart(true, depth, text);
  text += value.isObject() ? "}" : "]";
}

}  // namespace

std::string PrettyJson(const Json::Value& value) {
  std::string text;
  AppendPretty(value, 0, text);
  return text;
}

std::string StringMember(const Json::Value& object, const char* name) {
  return ReadText(MemberOf(object, name)).value_or(std::string());
}

std::optional<std::int64_t> IntegerMember(const Json::Value& object,
                                          const char* name) {
  return ReadInteger(MemberOf(object, name));
}

}  // namespace burdockrock
