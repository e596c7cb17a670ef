#include "cli/policy_files.h"

#include <optional>
#include <string>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/split.h"
#include "config/check.h"

DEFINE_string(base, "", "The base file, the policy that all sites share");
DEFINE_string(overlay,
              "",
              "The overlay of a site, what differs there; once for each site");

namespace burdockrock {

namespace {

struct SiteFile {
  std::string site;
  std::string file;
};

std::optional<SiteFile> ParseSiteFile(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == text.size()) {
    return std::nullopt;
  }
  return SiteFile{.site = text.substr(0, equals),
                  .file = text.substr(equals + 1)};
}

std::optional<std::string> CheckOverlays(const std::string& value) {
  for (const std::string& part : Split(value, ',')) {
    if (!ParseSiteFile(part)) {
      return fmt::format("'{}' does not name a site and its file", part);
    }
  }
  return std::nullopt;
}

std::vector<SiteFile> SiteFilesFromFlag() {
  std::vector<SiteFile> files;
  for (const std::string& part : Split(FLAGS_overlay, ',')) {
    if (auto file = ParseSiteFile(part)) {
      files.push_back(*file);
    }
  }
  return files;
}

// An overlay under the wrong site would put one site's sizes into force at
// another; the file says itself which site it is for.
SettingErrors CheckSites(const PolicyDocument& document,
                         const std::vector<SiteFile>& files) {
  SettingErrors errors;
  for (const SiteFile& file : files) {
    if (!document.overlays.contains(file.site)) {
      errors.push_back({file.file, "$.site",
                        "is another site than --overlay says",
                        fmt::format("\"{}\"", file.site)});
    }
  }
  return errors;
}

}  // namespace

std::vector<FlagRule> PolicyFileFlags() {
  return {{.name = "base", .value = "FILE", .required = true},
          {.name = "overlay",
           .value = "SITE=FILE[,SITE=FILE...]",
           .repeatable = true,
           .check = CheckOverlays}};
}

std::variant<PolicyDocument, SettingErrors> LoadPolicyFromFlags() {
  const std::vector<SiteFile> overlays = SiteFilesFromFlag();
  std::vector<std::string> files = {FLAGS_base};
  for (const SiteFile& overlay : overlays) {
    files.push_back(overlay.file);
  }
  auto loaded = LoadPolicyDocument(files);
  if (const auto* document = std::get_if<PolicyDocument>(&loaded)) {
    SettingErrors errors = CheckSites(*document, overlays);
    if (!errors.empty()) {
      return errors;
    }
  }
  return loaded;
}

Json::Value OverlaysJson(const PolicyDocument& document) {
  Json::Value json(Json::objectValue);
  for (const auto& [site, overlay] : document.overlays) {
    json[site] = overlay;
  }
  return json;
}

}  // namespace burdockrock
