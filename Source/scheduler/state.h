// The state of one entry instance. Only the reducer modifies it.
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
  std::string address;  // "IP:PORT" of the peer port

  auto operator<=>(const PeerAddress&) const = default;
};

// What a process is started with; constant over its lifetime.
struct StateOptions {
  std::string instance;
  std::string incarnation;  // unique for each start of a process
  std::string domain;
  std::string site;
  std::vector<PeerAddress> peers;
  std::uint64_t seed = 1;
  // Wall clock at Time{0}, in milliseconds since 1970; used only for the
  // retention of idempotency keys.
  std::int64_t wall_start_ms = 0;

  bool operator==(const StateOptions&) const = default;
};

// Totals since the start of the process, exported as metrics.
struct Counters {
  std::uint64_t answers[4] = {0, 0, 0, 0};  // by index of Verdict
  std::uint64_t starts = 0;
  std::uint64_t retries = 0;
  std::uint64_t crashes = 0;  // of workers, counted against tasks
  std::uint64_t forwards = 0;
  std::uint64_t forwards_refused = 0;
  std::uint64_t claims = 0;
  std::uint64_t platform_calls = 0;
};

struct State {
  StateOptions self;
  std::mt19937_64 random;
  Time started{0};
  Time platform_last_answer{0};  // when the platform last answered
  bool platform_ok = false;
  bool platform_ever_answered = false;
  // Wall clock in milliseconds since 1970; the callbacks of the logs read it.
  std::shared_ptr<std::int64_t> wall_ms = std::make_shared<std::int64_t>(0);
  std::unique_ptr<WriteBudget> write_budget;
  double writes_per_second = 0;  // the rate that `write_budget` was built for
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
  std::vector<std::string> logs_to_drop;  // erased at the end of the step
  Searches searches;
  SearchesSeen searches_seen;
  DrainState drain;
  Counters counters;
};

State MakeState(StateOptions options);

// Sets the budget of journal writes to the rate of the current policy.
void SetWriteBudget(State& state);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_STATE_H_
