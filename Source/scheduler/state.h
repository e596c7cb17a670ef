// All that one entry instance knows. Only the reducer changes it.
#ifndef BURDOCKROCK_SCHEDULER_STATE_H_
#define BURDOCKROCK_SCHEDULER_STATE_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "ledger/write_budget.h"
#include "placement/placement_index.h"
#include "scheduler/calls.h"
#include "scheduler/claims.h"
#include "scheduler/config_state.h"
#include "scheduler/drain.h"
#include "scheduler/jobs.h"
#include "scheduler/journal.h"
#include "scheduler/membership.h"
#include "scheduler/ownership.h"
#include "scheduler/requests.h"
#include "scheduler/search.h"
#include "scheduler/tasks.h"
#include "scheduler/timers.h"

namespace burdockrock {

struct PeerAddress {
  std::string id;
  std::string domain;
  std::string address;  // "IP:PORT" of its peer port

  auto operator<=>(const PeerAddress&) const = default;
};

struct StateOptions {
  std::string instance;
  std::string incarnation;  // unique for each start of a process
  std::string domain;
  std::string site;
  std::vector<PeerAddress> peers;
  std::uint64_t seed = 1;
  // Wall clock at Time{0}, milliseconds since 1970; only for the retention of
  // idempotency keys.
  std::int64_t wall_start_ms = 0;

  bool operator==(const StateOptions&) const = default;
};

// Counted since the start; metrics are read from here.
struct Counters {
  std::uint64_t answers[4] = {0, 0, 0, 0};  // by Verdict's index
  std::uint64_t starts = 0;
  std::uint64_t retries = 0;
  std::uint64_t forwards = 0;
  std::uint64_t forwards_refused = 0;
  std::uint64_t claims = 0;
  std::uint64_t platform_calls = 0;
};

struct State {
  StateOptions self;
  std::mt19937_64 random;
  Time started{0};
  Time platform_seen{0};  // the platform's last answer
  bool platform_ok = false;
  bool platform_ever = false;
  // Shared with the hooks of the logs.
  std::shared_ptr<std::int64_t> wall_ms = std::make_shared<std::int64_t>(0);
  std::unique_ptr<WriteBudget> write_budget;
  double writes_per_second = 0;  // that the budget was made for
  Timers timers;
  Calls calls;
  Membership membership;
  ConfigState config;
  Ownership ownership;
  PlacementIndex placement;
  Requests requests;
  Claims claims;
  Jobs jobs;
  TaskQueue tasks;
  OpenLogs logs;
  std::vector<std::string> dead_logs;  // dropped at the end of the step
  Searches searches;
  SearchesSeen searches_seen;
  DrainState drain;
  Counters counters;
};

State MakeState(StateOptions options);

// Brings the budget of journal writes in line with the policy in force.
void SetWriteBudget(State& state);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_STATE_H_
