// Holds docs/settings.md against the schemas: the page of a setting that was
// added or changed would otherwise mislead operators without a sign.
#include <fstream>
#include <map>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "config/json_text.h"
#include "config/policy_fields.h"
#include "config/process_settings.h"
#include "test_json.h"

namespace burdockrock {
namespace {

// The rows "| `key` | ..." of the page by key.
std::map<std::string, std::string> ReadRows() {
  std::ifstream page(SourcePath("docs/settings.md"));
  REQUIRE(page.good());
  std::map<std::string, std::string> rows;
  std::string line;
  while (std::getline(page, line)) {
    if (line.starts_with("| `")) {
      const std::string key = line.substr(3, line.find('`', 3) - 3);
      CAPTURE(key);
      CHECK(rows.emplace(key, line).second);
    }
  }
  return rows;
}

std::string Range(const Schema& schema) {
  switch (schema.type) {
    case SettingType::kInteger:
    case SettingType::kNumber:
    case SettingType::kList:
    case SettingType::kMap:
      return fmt::format(" {} to {} ", schema.minimum, schema.maximum);
    case SettingType::kBoolean:
      return " true or false ";
    case SettingType::kChoice:
      return schema.choices.front();
    default:
      return "";
  }
}

// Every place of a schema that the page must have a row for. Rows that were
// found are removed from `rows`.
void CheckRows(const Schema& schema,
               const std::string& path,
               std::map<std::string, std::string>& rows) {
  for (const SchemaMember& member : schema.members) {
    const std::string key = path + member.name;
    const Schema& inner = member.schema;
    if (inner.type == SettingType::kObject) {
      CheckRows(inner, key + ".", rows);
      continue;
    }
    CAPTURE(key);
    CHECK(rows[key].find(Range(inner)) != std::string::npos);
    CHECK(rows.erase(key) == 1);
    if (inner.type == SettingType::kMap) {
      CheckRows(inner.element.front(), key + ".NAME.", rows);
    }
    if (inner.type == SettingType::kList) {
      CheckRows(inner.element.front(), key + "[].", rows);
    }
  }
}

// The page's column of defaults for each number that the base states.
void CheckDefaults(const Json::Value& json,
                   const std::string& path,
                   const std::map<std::string, std::string>& rows) {
  for (const std::string& name : json.getMemberNames()) {
    const std::string key = path + name;
    const Json::Value& value = json[name];
    if (value.isObject() && name != "teams") {
      CheckDefaults(value, key + ".", rows);
    } else if (value.isNumeric()) {
      const std::string text = fmt::format("| {} |", value.asDouble());
      CAPTURE(key);
      CHECK(rows.at(key).find(text) != std::string::npos);
    }
  }
}

TEST_CASE("The page has a row with the range for each setting and no other") {
  std::map<std::string, std::string> rows = ReadRows();
  CheckRows(ProcessSettingsSchema(), "", rows);
  CheckRows(PolicySchema(), "", rows);
  for (const auto& [key, row] : rows) {
    FAIL_CHECK("no such setting: " << key);
  }
}

TEST_CASE("The example base and the page state the defaults") {
  const auto read = ReadSettingsFile(SourcePath("examples/base.json"));
  REQUIRE(std::holds_alternative<Json::Value>(read));
  Json::Value base = std::get<Json::Value>(read);
  base.removeMember("kind");
  CHECK((ReadPolicy(base) == Policy{}));
  CheckDefaults(base, "", ReadRows());
}

}  // namespace
}  // namespace burdockrock
