#include "config/check.h"

#include <map>
#include <optional>
#include <utility>

#include "config/json_text.h"
#include "config/process_settings.h"

namespace burdockrock {
namespace {

constexpr char kAllowedKinds[] = "\"process\" or \"base\" or \"overlay\"";

// The files sorted by kind, and the faults found while sorting.
struct SortedFiles {
  std::optional<Json::Value> base;
  std::map<std::string, Json::Value> overlays;
  PolicyFileNames names;
  std::map<std::string, Json::Value> processes;  // by file
  SettingErrors errors;
};

void Append(SettingErrors& errors, SettingErrors more) {
  errors.insert(errors.end(), std::make_move_iterator(more.begin()),
                std::make_move_iterator(more.end()));
}

void AddBase(Json::Value content,
             const std::string& file,
             SortedFiles& sorted) {
  if (sorted.base) {
    sorted.errors.push_back({file, "$.kind",
                             "is a second base beside " + sorted.names.base,
                             "one base among the files"});
    return;
  }
  content.removeMember("kind");
  sorted.base = std::move(content);
  sorted.names.base = file;
}

void AddOverlay(Json::Value content,
                const std::string& file,
                SortedFiles& sorted) {
  if (!content["site"].isString()) {
    sorted.errors.push_back(
        {file, "$.site", "is missing or no text", "the name of a site"});
    return;
  }
  const std::string site = content["site"].asString();
  const auto [it, is_new] = sorted.names.overlays.emplace(site, file);
  if (!is_new) {
    sorted.errors.push_back(
        {file, "$.site",
         "\"" + site + "\" has an overlay already, in " + it->second,
         "one overlay for each site"});
    return;
  }
  content.removeMember("kind");
  content.removeMember("site");
  sorted.overlays[site] = std::move(content);
}

void AddFile(const std::string& file, SortedFiles& sorted) {
  auto read = ReadSettingsFile(file);
  if (auto* errors = std::get_if<SettingErrors>(&read)) {
    return Append(sorted.errors, std::move(*errors));
  }
  Json::Value content = std::get<Json::Value>(std::move(read));
  const Json::Value kind = content["kind"];
  if (kind == "base") {
    AddBase(std::move(content), file, sorted);
  } else if (kind == "overlay") {
    AddOverlay(std::move(content), file, sorted);
  } else if (kind == "process") {
    sorted.processes[file] = std::move(content);
  } else {
    sorted.errors.push_back(
        {file, "$.kind", "doesn't say what file this is", kAllowedKinds});
  }
}

SortedFiles SortFiles(std::span<const std::string> files) {
  SortedFiles sorted;
  for (const std::string& file : files) {
    AddFile(file, sorted);
  }
  return sorted;
}

PolicyDocument MakeDocument(const SortedFiles& sorted) {
  return {.revision = 0,
          .author = "",
          .base = *sorted.base,
          .overlays = sorted.overlays};
}

void CheckPolicy(SortedFiles& sorted) {
  if (sorted.base) {
    return Append(sorted.errors,
                  CheckPolicyDocument(MakeDocument(sorted), sorted.names));
  }
  for (const auto& [site, file] : sorted.names.overlays) {
    sorted.errors.push_back({file, "$", "can't be checked without the base",
                             "the base's file among the files"});
  }
}

void CheckProcess(const SortedFiles& sorted,
                  const std::string& file,
                  const Json::Value& content,
                  SettingErrors& errors) {
  auto read = ReadProcessSettings(content, file);
  if (auto* faults = std::get_if<SettingErrors>(&read)) {
    return Append(errors, std::move(*faults));
  }
  const auto& settings = std::get<ProcessSettings>(read);
  if (!sorted.base || !sorted.overlays.contains(settings.site)) {
    return;
  }
  const auto policy =
      ResolvePolicy(MakeDocument(sorted), settings.site, sorted.names);
  if (std::holds_alternative<Policy>(policy)) {
    Append(errors,
           CheckProcessAgainstPolicy(settings, std::get<Policy>(policy), file));
  }
}

}  // namespace

SettingErrors CheckFiles(std::span<const std::string> files) {
  SortedFiles sorted = SortFiles(files);
  CheckPolicy(sorted);
  SettingErrors errors = std::move(sorted.errors);
  for (const auto& [file, content] : sorted.processes) {
    CheckProcess(sorted, file, content, errors);
  }
  return errors;
}

std::variant<PolicyDocument, SettingErrors> LoadPolicyDocument(
    std::span<const std::string> files) {
  SortedFiles sorted = SortFiles(files);
  CheckPolicy(sorted);
  for (const auto& [file, content] : sorted.processes) {
    sorted.errors.push_back(
        {file, "$.kind", "is a process's settings", "\"base\" or \"overlay\""});
  }
  if (!sorted.base && sorted.errors.empty()) {
    sorted.errors.push_back({"(files)", "$", "no base is among the files",
                             "one file of kind \"base\""});
  }
  if (!sorted.errors.empty()) {
    return std::move(sorted.errors);
  }
  return MakeDocument(sorted);
}

}  // namespace burdockrock
