// The operators' configuration, the platform's list of workers and the waves of
// upkeep, as the engine uses them.
#ifndef BURDOCKROCK_ENGINE_CONFIGURATION_H_
#define BURDOCKROCK_ENGINE_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine/teams/team_policy.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// The placement advice that tasks of a queue need before they start.
struct AdvicePolicy {
  Duration decision{0};  // fixed part of the time of a call
  Duration each{0};      // added for each worker that the call names
  Duration valid{0};     // lifetime of a ticket

  auto operator<=>(const AdvicePolicy&) const = default;
};

inline constexpr double kMaxStretch = 1000;

// A queue of jobs: the service that runs them and their scheduling policy.
struct QueuePolicy {
  std::string name{};
  std::string host{};    // of the requests for this queue
  std::string prefix{};  // of their paths; ends with '/'
  std::string service{};
  std::uint32_t priority = 0;  // 0 is the highest
  std::uint32_t max_attempts = 1;
  // The objective of a job's duration is its longest chain of steps times
  // `stretch`, plus `latency`.
  double stretch = 1;
  Duration latency{0};
  std::optional<AdvicePolicy> advice{};
  bool open = false;  // its callers need no key

  auto operator<=>(const QueuePolicy&) const = default;
};

// A service: a pool of workers that runs the tasks of its queues.
struct ServicePolicy {
  std::string name{};
  bool guards_room = false;  // its workers refuse tasks that exceed their room
  bool standby = false;      // its machines are powered off

  auto operator<=>(const ServicePolicy&) const = default;
};

// Limits of callers' requests.
struct CallerLimits {
  std::uint64_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  Duration read_timeout{0};  // for a complete request
  Duration idle_timeout{0};  // for a connection without a request

  auto operator<=>(const CallerLimits&) const = default;
};

struct Configuration {
  std::uint64_t version = 0;  // 0: not read yet
  std::vector<QueuePolicy> queues{};
  std::vector<ServicePolicy> services{};
  // Unset: no caller needs a key, and no team has a cap.
  std::optional<std::vector<TeamPolicy>> teams{};
  // Unset: the limits of the settings apply.
  std::optional<CallerLimits> limits{};

  auto operator<=>(const Configuration&) const = default;
};

// The queue of `host` with the longest prefix of `path`, or null.
const QueuePolicy* FindQueue(const Configuration& configuration,
                             std::string_view host,
                             std::string_view path);

const QueuePolicy* FindQueueByName(const Configuration& configuration,
                                   std::string_view name);

// The cap of the team; nothing if it has none.
Resources CapOf(const Configuration& configuration, std::string_view team);

// One incarnation of a worker as the platform lists it.
struct WorkerInfo {
  std::string id{};       // IncarnationName(): of the worker's id and `born`
  std::int64_t born = 0;  // its start in Unix ms; 0: not told
  std::string address{};
  std::string domain{};  // failure domain
  std::string service{};
  Resources capacity{};
  std::vector<std::string> labels{};  // the last one is its rack
  bool draining = false;

  auto operator<=>(const WorkerInfo&) const = default;

  const std::string& rack() const;
};

// Upkeep that operators request: each machine is taken down once, at most `cap`
// at a time.
struct Wave {
  std::uint64_t number = 0;
  std::vector<std::string> machines{};
  Duration time{0};  // in which the whole wave is to be completed
  std::uint32_t cap = 1;

  auto operator<=>(const Wave&) const = default;
};

bool HasLabel(const WorkerInfo& worker, std::string_view label);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_CONFIGURATION_H_
