#include "config/json_text.h"

#include <fstream>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <json/writer.h>

#include "net/json.h"

namespace burdockrock {
namespace {

constexpr char kAllowedText[] = "one JSON object without duplicate keys";
// As many digits as each double keeps of what was typed.
constexpr int kShownDigits = 15;

std::string Describe(const JsonError& error) {
  if (error.line == 0) {
    return error.message;
  }
  return fmt::format("line {}, column {}: {}", error.line, error.column,
                     error.message);
}

}  // namespace

std::variant<Json::Value, SettingErrors> ParseSettings(
    std::string_view text,
    const std::string& file) {
  auto parsed = ParseJson(text);
  if (const auto* error = std::get_if<JsonError>(&parsed)) {
    return SettingErrors{{file, "$", Describe(*error), kAllowedText}};
  }
  auto& value = std::get<Json::Value>(parsed);
  if (!value.isObject()) {
    return SettingErrors{{file, "$", "is not an object", kAllowedText}};
  }
  return std::move(value);
}

std::variant<Json::Value, SettingErrors> ReadSettingsFile(
    const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return SettingErrors{
        {path, "$", "can't be opened", "the path of a readable file"}};
  }
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  return ParseSettings(text, path);
}

std::string ShowJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = kShownDigits;
  return Json::writeString(builder, value);
}

}  // namespace burdockrock
