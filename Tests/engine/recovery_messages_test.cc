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
  CheckPromises(fleet);
}

}  // namespace

}  // namespace burdockrock::engine
