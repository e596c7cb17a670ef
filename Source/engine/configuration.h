// The operators' configuration as the engine uses it, and the list of workers.
#ifndef BURDOCKROCK_ENGINE_CONFIGURATION_H_
#define BURDOCKROCK_ENGINE_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::engine {

// The placement advice that a queue's tasks need before they start.
struct AdvicePolicy {
  Duration decision{0};  // fixed time of one call
  Duration each{0};      // more for each worker that the call names
  Duration valid{0};     // how long a ticket can be used

  auto operator<=>(const AdvicePolicy&) const = default;
};

// One queue of jobs: who may run them and how they are served.
struct QueuePolicy {
  std::string name{};
  std::string host{};    // of the requests that are for this queue
  std::string prefix{};  // their path's beginning, ends with '/'
  std::string service{};
  std::uint32_t priority = 0;  // 0 goes first
  std::uint32_t max_attempts = 1;
  double stretch = 1;   // objective, as a multiple of the longest chain
  Duration latency{0};  // added to the objective
  std::optional<AdvicePolicy> advice{};

  auto operator<=>(const QueuePolicy&) const = default;
};

struct ServicePolicy {
  std::string name{};
  bool guards_room = false;  // its workers refuse what they have no room for
  bool standby = false;      // its machines are off

  auto operator<=>(const ServicePolicy&) const = default;
};

// Bounds of callers' requests.
struct CallerLimits {
  std::uint64_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  Duration read_timeout{0};  // for a whole request
  Duration idle_timeout{0};  // of a connection without one

  auto operator<=>(const CallerLimits&) const = default;
};

struct Configuration {
  std::uint64_t version = 0;  // 0: none was read yet
  std::vector<QueuePolicy> queues{};
  std::vector<ServicePolicy> services{};
  std::optional<CallerLimits> limits{};  // nothing: those of the settings

  auto operator<=>(const Configuration&) const = default;
};

// The queue with the longest prefix of `path` at `host`; null when there is
// none.
const QueuePolicy* FindQueue(const Configuration& configuration,
                             std::string_view host,
                             std::string_view path);

const QueuePolicy* FindQueueByName(const Configuration& configuration,
                                   std::string_view name);

// One life of a worker as the platform lists it.
struct WorkerInfo {
  std::string id{};  // of this life
  std::string address{};
  std::string domain{};  // failure domain
  std::string service{};
  Resources capacity{};
  std::vector<std::string> labels{};  // the last one is its rack
  bool draining = false;

  auto operator<=>(const WorkerInfo&) const = default;

  const std::string& rack() const;
};

// Upkeep that operators ask for: each machine goes down once, at most `cap` of
// them at a time.
struct Wave {
  std::uint64_t number = 0;
  std::vector<std::string> machines{};
  Duration time{0};  // in which all of it is to be done
  std::uint32_t cap = 1;

  auto operator<=>(const Wave&) const = default;
};

bool HasLabel(const WorkerInfo& worker, std::string_view label);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_CONFIGURATION_H_
