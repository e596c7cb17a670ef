#include "config/policy_document.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "config/json_text.h"
#include "config/merge_patch.h"
#include "config/policy_fields.h"
#include "config/schema.h"
#include "net/json.h"

namespace burdockrock {
namespace {

constexpr double kMaxSites = 1'000;

Schema DocumentSchema() {
  const Schema name{SettingType::kName, 0, 0, {}, {}, {}};
  const Schema settings{SettingType::kAnyObject, 0, 0, {}, {}, {}};
  const Schema overlays{SettingType::kMap, 0, kMaxSites, {}, {}, {settings}};
  return {SettingType::kObject,
          0,
          0,
          {},
          {{"author", true, name},
           {"base", true, settings},
           {"overlays", true, overlays}},
          {}};
}

std::string OverlayName(const PolicyFileNames& names, const std::string& site) {
  const auto it = names.overlays.find(site);
  return it != names.overlays.end() ? it->second : "overlay " + site;
}

SettingErrors CheckSettings(const Json::Value& json, const std::string& file) {
  SettingErrors errors = CheckAgainstSchema(PolicySchema(), json, file);
  if (errors.empty()) {
    errors = CheckPolicyRules(ReadPolicy(json), file);
  }
  return errors;
}

void Append(SettingErrors& errors, const SettingErrors& more) {
  errors.insert(errors.end(), more.begin(), more.end());
}

// The faults of the merged settings that the base doesn't have on its own:
// those come from the overlay.
SettingErrors CheckMerged(const Json::Value& merged,
                          const SettingErrors& base_errors,
                          const std::string& file) {
  SettingErrors errors = CheckSettings(merged, file);
  const auto is_of_base = [&](const SettingError& error) {
    const auto is_same = [&](const SettingError& other) {
      return other.path == error.path && other.problem == error.problem;
    };
    return std::any_of(base_errors.begin(), base_errors.end(), is_same);
  };
  std::erase_if(errors, is_of_base);
  return errors;
}

SettingErrors CheckOverlay(const Json::Value& base,
                           const SettingErrors& base_errors,
                           const Json::Value& overlay,
                           const std::string& file) {
  SettingErrors errors;
  for (const std::string& path : FindIdlePatchMembers(base, overlay)) {
    errors.push_back({file, path, "states no difference from the base",
                      "only members that differ; leave this one out"});
  }
  const Json::Value merged = ApplyMergePatch(base, overlay);
  Append(errors, CheckMerged(merged, base_errors, file));
  if (!merged.isMember("domains")) {
    errors.push_back(
        {file, "$.domains", "is missing", "the site's failure domains"});
  }
  return errors;
}

}  // namespace

std::string SerializePolicyDocument(const PolicyDocument& document) {
  Json::Value value(Json::objectValue);
  value["author"] = document.author;
  value["base"] = document.base;
  value["overlays"] = Json::Value(Json::objectValue);
  for (const auto& [site, overlay] : document.overlays) {
    value["overlays"][site] = overlay;
  }
  return WriteJson(value);
}

std::variant<PolicyDocument, SettingErrors> ParsePolicyDocument(
    std::string_view text,
    Revision revision) {
  auto content = ParseSettings(text, kPolicyKey);
  if (auto* errors = std::get_if<SettingErrors>(&content)) {
    return std::move(*errors);
  }
  const Json::Value& value = std::get<Json::Value>(content);
  SettingErrors errors =
      CheckAgainstSchema(DocumentSchema(), value, kPolicyKey);
  if (!errors.empty()) {
    return errors;
  }
  PolicyDocument document{.revision = revision,
                          .author = value["author"].asString(),
                          .base = value["base"],
                          .overlays = {}};
  for (const std::string& site : value["overlays"].getMemberNames()) {
    document.overlays[site] = value["overlays"][site];
  }
  return document;
}

SettingErrors CheckPolicyDocument(const PolicyDocument& document,
                                  const PolicyFileNames& names) {
  const SettingErrors base_errors = CheckSettings(document.base, names.base);
  SettingErrors errors = base_errors;
  for (const auto& [site, overlay] : document.overlays) {
    Append(errors, CheckOverlay(document.base, base_errors, overlay,
                                OverlayName(names, site)));
  }
  const std::size_t size = SerializePolicyDocument(document).size();
  if (size > kMaxPlatformValueBytes) {
    errors.push_back(
        {names.base, "$",
         fmt::format("base and overlays take {} bytes together", size),
         fmt::format("at most {} bytes", kMaxPlatformValueBytes)});
  }
  return errors;
}

std::variant<Policy, SettingErrors> ResolvePolicy(
    const PolicyDocument& document,
    const std::string& site,
    const PolicyFileNames& names) {
  SettingErrors errors = CheckSettings(document.base, names.base);
  const auto it = document.overlays.find(site);
  const Json::Value overlay = it != document.overlays.end()
                                  ? it->second
                                  : Json::Value(Json::objectValue);
  Append(errors, CheckOverlay(document.base, errors, overlay,
                              OverlayName(names, site)));
  if (!errors.empty()) {
    return errors;
  }
  return ReadPolicy(ApplyMergePatch(document.base, overlay));
}

}  // namespace burdockrock
