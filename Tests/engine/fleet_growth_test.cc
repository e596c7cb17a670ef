// Bounds by how much the work of one instance grows with the fleet, where each
// instance has as many workers and jobs as in a small one.
#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <variant>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/teams/key_digest.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSmall = 30;
constexpr std::size_t kLarge = 150;
constexpr std::size_t kWorkersEach = 7;
// Two intervals of the digests of the large fleet.
constexpr Duration kMeasured = seconds(9);
constexpr Duration kJobInterval = seconds(2);  // of one instance
constexpr std::uint32_t kTasks = 13;
constexpr const char* kKey = "key";
constexpr double kMostGrowth = 1.25;

// Of one instance in a second.
struct Work {
  double requests = 0;  // to other members; messages of one step go together
  double busiest = 0;   // the same of the instance that sends most
  double relayed = 0;   // messages with relayed digests
  double whole = 0;     // whole digests that were sent
  double drives = 0;    // runs of all work that is due
};

FleetOptions OptionsFor(std::size_t instances) {
  return {.domains = {"a", "b", "c", "d", "e"},
          .instances = instances,
          .workers = kWorkersEach * instances,
          .processors_milli = 32'000,
          .timers = true,
          .teams = true};
}

// Each instance gets its jobs at another time.
void SendJobs(Fleet& fleet, std::size_t instances) {
  const auto step = kJobInterval / static_cast<Duration::rep>(instances);
  const auto jobs = kMeasured / step;
  for (Duration::rep it = 0; it < jobs; ++it) {
    fleet.RunLater(step * it, [&fleet, it, instances] {
      fleet.SubmitWithKey(
          fmt::format("n{}", static_cast<std::size_t>(it) % instances),
          fmt::format("j{}", it), OneStep(kTasks, 7000), kKey);
    });
  }
}

void CountMessage(const PeerMessage& message, Work& work) {
  const auto* digest = std::get_if<RoomDigest>(&message);
  work.whole += digest != nullptr && digest->whole ? 1 : 0;
  work.relayed += std::holds_alternative<RelayedDigests>(message) ? 1 : 0;
}

Work Measure(std::size_t instances) {
  Fleet fleet(OptionsFor(instances));
  fleet.Settle();
  fleet.SetTeams({{.name = "team",
                   .keys = {DigestOf(kKey)},
                   .weight = static_cast<double>(instances)}});
  PlanAll(fleet, {.takes = milliseconds(640)});
  Work work;
  std::map<std::string, double> requests;
  fleet.step = [&](const std::string& node, State& state, const Event& event) {
    const Time driven_at = state.drive.driven_at;
    Effects effects = Step(state, event);
    work.drives += state.drive.driven_at == driven_at ? 0 : 1;
    std::set<std::string> receivers;
    for (const Effect& it : effects) {
      if (const auto* send = std::get_if<SendPeer>(&it)) {
        receivers.insert(send->to);
        CountMessage(send->message, work);
      }
    }
    work.requests += static_cast<double>(receivers.size());
    requests[node] += static_cast<double>(receivers.size());
    return effects;
  };
  SendJobs(fleet, instances);
  fleet.Run(kMeasured);
  CHECK(fleet.seen.size() >= instances * kTasks);
  for (const auto& [node, count] : requests) {
    work.busiest = std::max(work.busiest, count);
  }
  const double span = std::chrono::duration<double>(kMeasured).count();
  const double each = static_cast<double>(instances) * span;
  return {.requests = work.requests / each,
          .busiest = work.busiest / span,
          .relayed = work.relayed / each,
          .whole = work.whole / each,
          .drives = work.drives / each};
}

}  // namespace

// Guards against instances that spend their processors on the digests of a
// large fleet, as each of its many relays passes on few of them at a time.
TEST_CASE("Requests between members do not grow with the fleet") {
  const Work small = Measure(kSmall);
  const Work large = Measure(kLarge);
  for (const Work& it : {small, large}) {
    MESSAGE(fmt::format(
        "requests {:.1f}, of the busiest {:.1f}, relayed {:.1f}, whole digests "
        "{:.2f}, drives {:.1f}",
        it.requests, it.busiest, it.relayed, it.whole, it.drives));
  }
  CHECK(large.requests <= kMostGrowth * small.requests);
}

}  // namespace burdockrock::engine
