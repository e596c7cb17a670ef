// JSON values and lines of errors for the tests of settings.
#ifndef BURDOCKROCK_TESTS_CONFIG_TEST_JSON_H_
#define BURDOCKROCK_TESTS_CONFIG_TEST_JSON_H_

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <json/reader.h>
#include <json/value.h>

#include "config/setting_error.h"

// Shows lines in a failed check.
template <>
struct doctest::StringMaker<std::vector<std::string>> {
  static doctest::String convert(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) {
      text += "\n  " + line;
    }
    return text.c_str();
  }
};

namespace burdockrock {

// Any JSON value, written with single quotes for double ones.
inline Json::Value Json(std::string text) {
  for (char& c : text) {
    c = c == '\'' ? '"' : c;
  }
  std::istringstream stream(text);
  Json::Value value;
  std::string report;
  const bool parsed =
      Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &report);
  REQUIRE_MESSAGE(parsed, report);
  return value;
}

inline std::vector<std::string> Lines(const SettingErrors& errors) {
  std::vector<std::string> lines;
  for (const SettingError& error : errors) {
    lines.push_back(ToString(error));
  }
  return lines;
}

// Paths below the root of the source tree.
inline std::string SourcePath(const std::string& path) {
  return std::string(BURDOCKROCK_SOURCE_DIR) + "/" + path;
}

using TextLines = std::vector<std::string>;

// The lines of a file in this folder.
inline TextLines ReadLines(const std::string& path) {
  std::ifstream stream(SourcePath("Tests/config/" + path));
  REQUIRE(stream.good());
  TextLines lines;
  std::string line;
  while (std::getline(stream, line)) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_CONFIG_TEST_JSON_H_
