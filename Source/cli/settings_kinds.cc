#include "cli/settings_kinds.h"

#include <utility>

#include "config/json_text.h"
#include "engine/records/documents.h"
#include "net/json.h"
#include "platform/settings.h"

namespace burdockrock {

namespace {

constexpr const char* kQueuesKind = "queues";

std::variant<engine::Configuration, SettingErrors> ReadQueues(
    Json::Value content,
    const std::string& file) {
  if (content["kind"] != kQueuesKind) {
    return SettingErrors{{file, "$.kind", "is not \"queues\"", "\"queues\""}};
  }
  content.removeMember("kind");
  auto read = engine::ReadConfiguration(WriteJson(content));
  if (const auto* error = std::get_if<DecodeError>(&read)) {
    return SettingErrors{{file, error->path, error->problem, error->allowed}};
  }
  return std::get<engine::Configuration>(std::move(read));
}

}  // namespace

std::variant<engine::Configuration, SettingErrors> LoadQueuesFile(
    const std::string& file) {
  auto content = ReadSettingsFile(file);
  if (auto* errors = std::get_if<SettingErrors>(&content)) {
    return std::move(*errors);
  }
  return ReadQueues(std::get<Json::Value>(std::move(content)), file);
}

std::optional<SettingErrors> CheckOtherKind(const std::string& file) {
  const auto content = ReadSettingsFile(file);
  const auto* json = std::get_if<Json::Value>(&content);
  if (json == nullptr || !json->isObject()) {
    return std::nullopt;
  }
  if ((*json)["kind"] == kQueuesKind) {
    const auto read = ReadQueues(*json, file);
    const auto* errors = std::get_if<SettingErrors>(&read);
    return errors == nullptr ? SettingErrors() : *errors;
  }
  if (json->isMember("kind") || !platform::IsSettings(*json)) {
    return std::nullopt;
  }
  const auto read = platform::ReadSettings(WriteJson(*json), file);
  const auto* error = std::get_if<SettingError>(&read);
  return error == nullptr ? SettingErrors() : SettingErrors{*error};
}

}  // namespace burdockrock
