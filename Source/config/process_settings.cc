#include "config/process_settings.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "config/field.h"
#include "config/json_text.h"

namespace burdockrock {
namespace {

constexpr double kHour = 3'600'000;  // milliseconds
constexpr double kMaxPeers = 1'000;

const Fields<ListenSettings>& ListenFields() {
  static const Fields<ListenSettings> kFields = {
      Required(TextField("callers", SettingType::kAddress,
                         &ListenSettings::callers)),
      Required(
          TextField("peers", SettingType::kAddress, &ListenSettings::peers)),
  };
  return kFields;
}

const Fields<PeerSettings>& PeerFields() {
  static const Fields<PeerSettings> kFields = {
      Required(TextField("id", SettingType::kName, &PeerSettings::id)),
      Required(TextField("domain", SettingType::kName, &PeerSettings::domain)),
      Required(
          TextField("address", SettingType::kAddress, &PeerSettings::address)),
      TextField("callers", SettingType::kAddress, &PeerSettings::callers),
  };
  return kFields;
}

const Fields<LogSettings>& LogFields() {
  static const Fields<LogSettings> kFields = {
      ChoiceField("format", &LogSettings::format, {"key_value", "json_lines"}),
      ChoiceField("level", &LogSettings::level,
                  {"debug", "info", "warning", "error"}),
  };
  return kFields;
}

const Fields<StepsSettings>& StepsFields() {
  static const Fields<StepsSettings> kFields = {
      Required(
          TextField("store", SettingType::kAddress, &StepsSettings::store)),
      TextField("advice", SettingType::kAddress, &StepsSettings::advice),
      TextField("machines", SettingType::kAddress, &StepsSettings::machines),
      Required(
          TextField("peers", SettingType::kAddress, &StepsSettings::peers)),
      Required(
          TextField("metrics", SettingType::kAddress, &StepsSettings::metrics)),
  };
  return kFields;
}

const Fields<LimitSettings>& LimitFields() {
  static const Fields<LimitSettings> kFields = {
      IntegerField("max_body_bytes", &LimitSettings::max_body_bytes, 1'024,
                   16'777'216),
      IntegerField("max_connections", &LimitSettings::max_connections, 1,
                   1'000'000),
      IntegerField("max_queued_requests", &LimitSettings::max_queued_requests,
                   1, 10'000'000),
      MillisecondsField("transfer_timeout_ms", &LimitSettings::transfer_timeout,
                        100, kHour),
      MillisecondsField("idle_timeout_ms", &LimitSettings::idle_timeout, 100,
                        kHour),
  };
  return kFields;
}

const Fields<ProcessSettings>& ProcessFields() {
  static const Fields<ProcessSettings> kFields = {
      // The kind only tells the files apart; nothing reads it from here.
      Required<ProcessSettings>(
          {{"kind", true, {SettingType::kChoice, 0, 0, {"process"}, {}, {}}},
           [](const Json::Value&, ProcessSettings&) {}}),
      Required(TextField("instance", SettingType::kName,
                         &ProcessSettings::instance)),
      Required(
          TextField("domain", SettingType::kName, &ProcessSettings::domain)),
      Required(TextField("site", SettingType::kName, &ProcessSettings::site)),
      TextField("rack", SettingType::kName, &ProcessSettings::rack),
      Required(
          SectionField("listen", &ProcessSettings::listen, ListenFields())),
      Required(TextField("platform", SettingType::kAddress,
                         &ProcessSettings::platform)),
      SectionField("steps", &ProcessSettings::steps, StepsFields()),
      ListField("peers", &ProcessSettings::peers, PeerFields(), kMaxPeers),
      SectionField("log", &ProcessSettings::log, LogFields()),
      SectionField("limits", &ProcessSettings::limits, LimitFields()),
  };
  return kFields;
}

std::string PeerPath(std::size_t index, const char* member) {
  return fmt::format("$.peers[{}].{}", index, member);
}

SettingErrors CheckRules(const ProcessSettings& settings,
                         const std::string& file) {
  SettingErrors errors;
  std::set<std::string> ids = {settings.instance};
  std::set<std::string> addresses = {settings.listen.callers};
  if (!addresses.insert(settings.listen.peers).second) {
    errors.push_back({file, "$.listen.peers",
                      settings.listen.peers + " is also $.listen.callers",
                      "an address of its own"});
  }
  const StepsSettings& steps = settings.steps;
  if (!steps.peers.empty() && !addresses.insert(steps.peers).second) {
    errors.push_back({file, "$.steps.peers", steps.peers + " stands twice",
                      "an address of its own"});
  }
  if (!steps.metrics.empty() && !addresses.insert(steps.metrics).second) {
    errors.push_back({file, "$.steps.metrics", steps.metrics + " stands twice",
                      "an address of its own"});
  }
  for (std::size_t it = 0; it < settings.peers.size(); ++it) {
    const PeerSettings& peer = settings.peers[it];
    if (!ids.insert(peer.id).second) {
      errors.push_back({file, PeerPath(it, "id"),
                        fmt::format("\"{}\" stands twice", peer.id),
                        "an id that neither this instance nor another peer "
                        "has"});
    }
    if (!addresses.insert(peer.address).second) {
      errors.push_back({file, PeerPath(it, "address"),
                        peer.address + " stands twice",
                        "an address of its own"});
    }
    if (!peer.callers.empty() && !addresses.insert(peer.callers).second) {
      errors.push_back({file, PeerPath(it, "callers"),
                        peer.callers + " stands twice",
                        "an address of its own"});
    }
  }
  return errors;
}

}  // namespace

const Schema& ProcessSettingsSchema() {
  static const Schema kSchema = ObjectSchema(ProcessFields());
  return kSchema;
}

std::variant<ProcessSettings, SettingErrors> ReadProcessSettings(
    const Json::Value& json,
    const std::string& file) {
  SettingErrors errors =
      CheckAgainstSchema(ProcessSettingsSchema(), json, file);
  if (!errors.empty()) {
    return errors;
  }
  ProcessSettings settings;
  AssignFields(ProcessFields(), json, settings);
  errors = CheckRules(settings, file);
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

std::variant<ProcessSettings, SettingErrors> LoadProcessSettings(
    const std::string& path) {
  auto content = ReadSettingsFile(path);
  if (auto* errors = std::get_if<SettingErrors>(&content)) {
    return std::move(*errors);
  }
  return ReadProcessSettings(std::get<Json::Value>(content), path);
}

SettingErrors CheckProcessAgainstPolicy(const ProcessSettings& settings,
                                        const Policy& policy,
                                        const std::string& file) {
  SettingErrors errors;
  const auto check = [&](const std::string& domain, const std::string& path) {
    const auto& known = policy.domains;
    if (std::find(known.begin(), known.end(), domain) == known.end()) {
      errors.push_back(
          {file, path,
           fmt::format("\"{}\" is no failure domain of site \"{}\"", domain,
                       settings.site),
           fmt::format("{}", fmt::join(known, ", "))});
    }
  };
  check(settings.domain, "$.domain");
  for (std::size_t it = 0; it < settings.peers.size(); ++it) {
    check(settings.peers[it].domain, PeerPath(it, "domain"));
  }
  return errors;
}

}  // namespace burdockrock
