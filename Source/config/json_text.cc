#include "config/json_text.h"

#include <fstream>
#include <iterator>
#include <memory>

#include <json/reader.h>

namespace burdockrock {
namespace {

constexpr int kMaxDepth = 64;
constexpr char kAllowedText[] = "one JSON object without duplicate keys";

// jsoncpp's report spans lines: "* Line 1, Column 2\n  Duplicate key: 'a'\n".
std::string OnOneLine(const std::string& report) {
  std::string line;
  for (const char c : report) {
    const bool space = c == '\n' || c == ' ' || c == '*';
    if (!space) {
      line += c;
    } else if (!line.empty() && line.back() != ' ') {
      line += ' ';
    }
  }
  while (!line.empty() && line.back() == ' ') {
    line.pop_back();
  }
  return line;
}

// Empty when `text` was read into `value`.
std::string ParseStrictly(std::string_view text, Json::Value& value) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string report;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value,
                      &report)) {
      return "";
    }
  } catch (const Json::Exception& error) {
    // Past the depth limit jsoncpp throws instead of reporting.
    return error.what();
  }
  return report.empty() ? "is not JSON" : OnOneLine(report);
}

}  // namespace

std::variant<Json::Value, SettingErrors> ParseSettings(
    std::string_view text,
    const std::string& file) {
  Json::Value value;
  const std::string problem = ParseStrictly(text, value);
  if (!problem.empty()) {
    return SettingErrors{{file, "$", problem, kAllowedText}};
  }
  if (!value.isObject()) {
    return SettingErrors{{file, "$", "is not an object", kAllowedText}};
  }
  return value;
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

}  // namespace burdockrock
