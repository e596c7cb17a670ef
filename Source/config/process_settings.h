// The settings of one entry instance: who it is, where it listens, where the
// platform and its peers are.
#ifndef BURDOCKROCK_CONFIG_PROCESS_SETTINGS_H_
#define BURDOCKROCK_CONFIG_PROCESS_SETTINGS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <json/value.h>

#include "config/policy.h"
#include "config/schema.h"
#include "config/setting_error.h"
#include "model/time.h"
#include "observe/event_number.h"
#include "observe/log_format.h"

namespace burdockrock {

// Addresses are "IP:PORT".
struct ListenSettings {
  std::string callers;
  std::string peers;

  auto operator<=>(const ListenSettings&) const = default;
};

// Another entry instance of the site.
struct PeerSettings {
  std::string id;
  std::string domain;
  std::string address;  // where it listens for peers
  std::string callers;  // where it listens for callers; may be empty

  auto operator<=>(const PeerSettings&) const = default;
};

struct LogSettings {
  LogFormat format = LogFormat::kKeyValue;
  Level level = Level::kInfo;

  auto operator<=>(const LogSettings&) const = default;
};

// Bounds that keep one process's memory and sockets finite.
struct LimitSettings {
  std::int64_t max_body_bytes = 1'048'576;
  std::int64_t max_connections = 4'096;
  std::int64_t max_queued_requests = 20'000;
  // A caller has so long to send a whole request, or to take an answer.
  Duration transfer_timeout = std::chrono::milliseconds(10'000);
  // A connection without a request is closed after so long.
  Duration idle_timeout = std::chrono::milliseconds(60'000);

  auto operator<=>(const LimitSettings&) const = default;
};

// Jobs of steps; off without a store.
struct StepsSettings {
  std::string store;     // transactions, watches and leases
  std::string advice;    // the advice service; may be empty
  std::string machines;  // the service of machines; may be empty
  std::string peers;     // where this process listens for its peers' messages
  std::string metrics;   // where it serves their metrics and state

  auto operator<=>(const StepsSettings&) const = default;
};

struct ProcessSettings {
  std::string instance;
  std::string domain;  // failure domain
  std::string site;
  std::string rack;
  ListenSettings listen;
  std::string platform;
  StepsSettings steps;
  std::vector<PeerSettings> peers;
  LogSettings log;
  LimitSettings limits;

  auto operator<=>(const ProcessSettings&) const = default;
};

const Schema& ProcessSettingsSchema();

// All faults of the file at `path` at once, or the settings.
std::variant<ProcessSettings, SettingErrors> LoadProcessSettings(
    const std::string& path);

// The same for a file's content; `file` goes into the errors.
std::variant<ProcessSettings, SettingErrors> ReadProcessSettings(
    const Json::Value& json,
    const std::string& file);

// Faults between one process's settings and its site's policy: failure domains
// that the policy doesn't know.
SettingErrors CheckProcessAgainstPolicy(const ProcessSettings& settings,
                                        const Policy& policy,
                                        const std::string& file);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_PROCESS_SETTINGS_H_
