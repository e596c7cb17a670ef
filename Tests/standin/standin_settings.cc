#include "standin/standin_settings.h"

#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "standin/field_reader.h"

namespace burdockrock::standin {

namespace {

constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(20);
constexpr std::int64_t kDefaultSlots = 8;

Resources DefaultCapacity(InstanceRole role) {
  Resources capacity;
  if (role == InstanceRole::kMinion) {
    capacity.slots = kDefaultSlots;
  }
  return capacity;
}

// Reads what single and generated instances have in common.
InstanceSettings ReadCommon(FieldReader& reader, InstanceRole role) {
  InstanceSettings instance;
  instance.info.role = role;
  instance.info.domain = reader.Text("domain");
  if (role == InstanceRole::kEntry) {
    return instance;
  }
  instance.info.capacity =
      reader.ResourcesOf("capacity", DefaultCapacity(role));
  if (role == InstanceRole::kMinion) {
    instance.info.service = reader.Text("service");
    instance.default_run =
        reader.Milliseconds("service_ms", kDefaultServiceTime);
  }
  return instance;
}

class SettingsReader {
 public:
  explicit SettingsReader(const Json::Value& root) : reader_(root, "$") {}

  std::variant<StandinSettings, SettingsError> Read() {
    ReadPlatform();
    settings_.control = reader_.Text("control");
    ReadInstances("entries", InstanceRole::kEntry);
    ReadInstances("workers", InstanceRole::kWorker);
    ReadInstances("minions", InstanceRole::kMinion);
    ReadGenerated();
    CheckIds();
    std::string faults = reader_.Faults();
    if (!faults.empty()) {
      return SettingsError{std::move(faults)};
    }
    return std::move(settings_);
  }

 private:
  void ReadPlatform() {
    FieldReader reader(reader_.Child("platform"), "platform");
    if (reader.Child("listen").isString()) {
      settings_.platform_listen.push_back(reader.Text("listen"));
    } else {
      settings_.platform_listen = reader.Texts("listen");
    }
    settings_.platform_latency = reader.Milliseconds("latency_ms", Duration(0));
    settings_.instances_lag = reader.Milliseconds("lag_ms", Duration(0));
    if (settings_.platform_listen.empty()) {
      reader.AddFault("listen", "names no address");
    }
    Collect(reader);
  }

  void ReadInstances(const char* name, InstanceRole role) {
    const Json::Value& list = reader_.Child(name);
    if (!list.isNull() && !list.isArray()) {
      reader_.AddFault(name, "is not an array");
      return;
    }
    for (const Json::Value& it : list) {
      FieldReader reader(it, name);
      InstanceSettings instance = ReadCommon(reader, role);
      instance.info.id = reader.Text("id");
      instance.info.rack = reader.Text("rack");
      instance.info.address = reader.Text("address");
      settings_.instances.push_back(std::move(instance));
      Collect(reader);
    }
  }

  void ReadGenerated() {
    const Json::Value& generate = reader_.Child("generate");
    if (generate.isArray()) {
      for (const Json::Value& it : generate) {
        Generate(it);
      }
    } else if (!generate.isNull()) {
      Generate(generate);
    }
  }

  void Generate(const Json::Value& group) {
    constexpr std::uint64_t kMaxCount = 10'000;
    constexpr std::uint64_t kMaxPort = 65'535;
    FieldReader reader(group, "generate");
    const auto role = ParseInstanceRole(reader.Text("role"));
    if (!role) {
      reader.AddFault("role", "is not entry, worker or minion");
    }
    const InstanceSettings common =
        ReadCommon(reader, role.value_or(InstanceRole::kWorker));
    const std::uint64_t count = reader.Count("count", std::nullopt, kMaxCount);
    const std::string prefix = reader.Text("prefix");
    const std::string ip = reader.Text("ip", "127.0.0.1");
    const std::uint64_t port =
        reader.Count("first_port", std::nullopt, kMaxPort);
    const std::uint64_t per_rack = reader.Count("per_rack", 8, kMaxCount);
    if (per_rack == 0 || port + count > kMaxPort + 1) {
      reader.AddFault("per_rack or first_port", "is out of range");
    }
    Collect(reader);
    if (!failed_) {
      for (std::uint64_t it = 0; it < count; ++it) {
        InstanceSettings instance = common;
        instance.info.id = fmt::format("{}{}", prefix, it + 1);
        instance.info.rack =
            fmt::format("{}-r{}", common.info.domain, it / per_rack + 1);
        instance.info.address = fmt::format("{}:{}", ip, port + it);
        settings_.instances.push_back(std::move(instance));
      }
    }
  }

  void CheckIds() {
    std::set<std::string> ids{"platform"};
    for (const InstanceSettings& it : settings_.instances) {
      if (!ids.insert(it.info.id).second) {
        reader_.AddFault("id", it.info.id + " stands twice");
      }
    }
  }

  void Collect(FieldReader& part) {
    const std::string faults = part.Faults();
    if (!faults.empty()) {
      failed_ = true;
      reader_.AddFault("", faults);
    }
  }

  FieldReader reader_;
  StandinSettings settings_;
  bool failed_ = false;
};

}  // namespace

std::variant<StandinSettings, SettingsError> ReadStandinSettings(
    const Json::Value& root) {
  return SettingsReader(root).Read();
}

}  // namespace burdockrock::standin
