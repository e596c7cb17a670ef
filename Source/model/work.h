// Work as callers ask for it, and the instances that it may run on.
#ifndef BURDOCKROCK_MODEL_WORK_H_
#define BURDOCKROCK_MODEL_WORK_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/resources.h"
#include "model/time.h"

namespace burdockrock {

// Lower values go first.
enum class Urgency { kUrgent, kNormal, kBatch };
inline constexpr std::size_t kUrgencyCount = 3;

const char* UrgencyName(Urgency urgency);
std::optional<Urgency> ParseUrgency(std::string_view text);

// An interactive request to a service's minions.
struct Request {
  std::string id;  // unique in the deployment; made by the entry instance
  std::string service;
  std::string team;
  Urgency urgency = Urgency::kNormal;
  Duration deadline{0};  // from arrival
  bool idempotent = true;
  std::string key;  // required when not idempotent
  std::string payload;

  auto operator<=>(const Request&) const = default;
};

enum class JobKind { kService, kBatch, kGang };

const char* JobKindName(JobKind kind);
std::optional<JobKind> ParseJobKind(std::string_view text);

// Durable work: a long-running service, a batch or a gang.
struct JobSpec {
  JobKind kind = JobKind::kBatch;
  std::uint32_t count = 1;
  Resources resources;  // of one task
  std::string team;
  Urgency urgency = Urgency::kNormal;
  Duration run_time{0};  // declared; 0: not declared
  Duration deadline{0};  // to the start of the last task; 0: none
  bool idempotent = true;
  std::string key;  // required when not idempotent
  std::string payload;

  auto operator<=>(const JobSpec&) const = default;
};

inline constexpr std::uint32_t kMaxTasks = 100'000;
inline constexpr std::size_t kMaxPayloadBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxNameBytes = 128;

enum class InstanceRole { kEntry, kWorker, kMinion };

const char* InstanceRoleName(InstanceRole role);
std::optional<InstanceRole> ParseInstanceRole(std::string_view text);

// One row of the platform's list of instances.
struct InstanceInfo {
  std::string id;
  InstanceRole role = InstanceRole::kWorker;
  std::string service;  // of a minion
  std::string domain;   // failure domain
  std::string rack;
  std::string address;  // "IP:PORT"
  bool leaving = false;
  Resources capacity;
  // When its process started, in Unix milliseconds; 0: not told.
  std::int64_t born = 0;

  auto operator<=>(const InstanceInfo&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_WORK_H_
