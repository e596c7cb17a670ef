// What taking jobs over costs in messages.
#include <variant>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// All of 33 instances lost power at once. Each then asked all others each 120
// ms about all the jobs that it had taken over, also those who had told all
// that they knew, until lists had settled and dead workers were gone: a third
// of the requests failed, and hundreds of jobs had nothing running at the end
// of the day.
TEST_CASE("Who takes jobs over asks only those who have more to tell") {
  Fleet fleet({.instances = 9, .workers = 18});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(4)});
  for (const std::string& it : fleet.nodes()) {
    fleet.Submit(it, "j" + it, OneStep(8));
  }
  fleet.Run(seconds(1));
  std::size_t queries = 0;
  fleet.on_peer = [&](const std::string&, const SendPeer& send) {
    queries += std::holds_alternative<AdoptQuery>(send.message) ? 1 : 0;
  };
  for (const std::string& it : fleet.nodes()) {
    fleet.Kill(it);
  }
  fleet.Run(seconds(3));
  for (const std::string& it : fleet.nodes()) {
    fleet.Start(it);
  }
  fleet.Run(seconds(12));
  for (const std::string& it : fleet.nodes()) {
    CHECK(fleet.StateOf("n0", "j" + it) == JobState::kCompleted);
  }
  CHECK(queries <= 9 * 8 * 3);
  CheckInvariants(fleet);
}

// A failure domain with a third of the workers was cut off, and for 6 s nothing
// could be known of them. Each instance asked those that were to claim them,
// which knew nothing of them yet, each 120 ms, and described all of the workers
// each time. With 30 instances and 350 workers that were 4,500 questions a
// second with 540,000 descriptions. In a fleet of that size ten instances lost
// their registration after the cut had healed; from then on its logs had 126
// times that the store can't be reached.
TEST_CASE("Of a domain that is cut off little is asked until more is known") {
  Fleet fleet({.instances = 9, .workers = 36});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(3)});
  for (const std::string& it : fleet.nodes()) {
    fleet.Submit(it, "j" + it, OneStep(8));
  }
  fleet.Run(seconds(1));
  const auto is_apart = [](const std::string& name) {
    return std::stoi(name.substr(1)) % 3 == 1;
  };
  std::size_t queries = 0;
  std::size_t descriptions = 0;
  fleet.on_peer = [&](const std::string&, const SendPeer& send) {
    if (const auto* query = std::get_if<AdoptQuery>(&send.message)) {
      ++queries;
      descriptions += query->remembered.size();
    }
  };
  fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return is_apart(from) != is_apart(to);
  };
  fleet.store_fault = [&](const std::string& node, const StoreRequest&) {
    return is_apart(node) ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.command_fault = [&](const std::string& node, const std::string& worker,
                            const WorkerRequest&) {
    return is_apart(node) != is_apart(worker) ? CommandFault::kUnreached
                                              : CommandFault::kNone;
  };
  fleet.Run(seconds(3));
  for (const std::string& it : fleet.worker_names()) {
    if (is_apart(it)) {
      fleet.store.Remove("worker/" + it + "-1");
    }
  }
  fleet.Run(seconds(5));
  // Three adopters ask five others and themselves once a second, and twice at
  // the adoption.
  CHECK(queries > 0);
  CHECK(queries <= 3 * 6 * 9);
  // Twelve workers, told to all every 5 s and to who is to claim them each
  // second.
  CHECK(descriptions <= 3 * 12 * (6 * 2 + 6));
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(8));
  for (const std::string& it : fleet.nodes()) {
    CHECK(fleet.StateOf("n0", "j" + it) == JobState::kCompleted);
  }
  CheckInvariants(fleet);
}

}  // namespace

}  // namespace burdockrock::engine
