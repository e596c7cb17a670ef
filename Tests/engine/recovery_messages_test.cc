// Bounds the number of messages that the recovery of adopted jobs takes.
#include <variant>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a flood of queries after 33 instances lose power at once. Each
// one queried all others every 120 ms about all of its adopted jobs, even
// members that had reported everything, until the lists had settled and the
// dead workers were declared lost: a third of the requests failed, and hundreds
// of jobs still had nothing running at the end of the day.
TEST_CASE("An adopter queries only members whose reports are missing") {
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

// Guards against queries that can't be answered yet. A failure domain with a
// third of the workers is cut off, and for 6 s nothing can be known of them.
// Each instance queried the members that were to claim the workers, which knew
// nothing of them yet, every 120 ms, and described all of the workers each
// time: with 30 instances and 350 workers 4,500 queries a second with 540,000
// descriptions. In a fleet of that size ten instances lost their registration
// after the cut had healed, and from then on the logs reported 126 times that
// the store can't be reached.
TEST_CASE("Few queries are sent about workers of a domain that is cut off") {
  Fleet fleet({.instances = 9, .workers = 36});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(3)});
  for (const std::string& it : fleet.nodes()) {
    fleet.Submit(it, "j" + it, OneStep(8));
  }
  fleet.Run(seconds(1));
  const auto is_cut_off = [](const std::string& name) {
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
    return is_cut_off(from) != is_cut_off(to);
  };
  fleet.store_fault = [&](const std::string& node, const StoreRequest&) {
    return is_cut_off(node) ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.command_fault = [&](const std::string& node, const std::string& worker,
                            const WorkerRequest&) {
    return is_cut_off(node) != is_cut_off(worker) ? CommandFault::kUnreached
                                                  : CommandFault::kNone;
  };
  fleet.Run(seconds(3));
  for (const std::string& it : fleet.worker_names()) {
    if (is_cut_off(it)) {
      fleet.store.Remove("worker/" + it + "-1");
    }
  }
  fleet.Run(seconds(5));
  // Three adopters query five others and themselves once a second, and twice at
  // the adoption.
  CHECK(queries > 0);
  CHECK(queries <= 3 * 6 * 9);
  // Twelve workers, sent to all members every 5 s and every second to those
  // that are to claim them.
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
