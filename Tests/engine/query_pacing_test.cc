// Bounds the number of queries that members send again and again while they get
// no reply.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Counts the messages of one type from one instance to another.
template <typename Message>
struct Counter {
  Counter(Fleet& fleet, const std::string& from, const std::string& to) {
    fleet.on_peer = [this, from, to](const std::string& sender,
                                     const SendPeer& send) {
      const bool counts = sender == from && send.address == to;
      n += counts && std::holds_alternative<Message>(send.message) ? 1 : 0;
    };
  }
  std::size_t n = 0;
};

void Cut(Fleet& fleet, const std::string& a, const std::string& b) {
  fleet.is_cut = [a, b](const std::string& from, const std::string& to) {
    return (from == a && to == b) || (from == b && to == a);
  };
}

void EndCut(Fleet& fleet) {
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
}

// Kills n2, whose jobs n0 adopts in part, while n0 and n1 don't hear each
// other.
void LoseOwnerBehindCut(Fleet& fleet) {
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(30)});
  for (int n = 0; n < 8; ++n) {
    fleet.Submit("n2", fmt::format("j{}", n), OneStep(1));
  }
  fleet.Run(seconds(1));
  Cut(fleet, "n0", "n1");
  fleet.Kill("n2");
  fleet.Run(seconds(4));
}

std::size_t CountRecovering(const Fleet& fleet, const std::string& node) {
  const auto& jobs = fleet.state(node).jobs;
  return static_cast<std::size_t>(
      std::count_if(jobs.begin(), jobs.end(),
                    [](const auto& it) { return it.second.recovering; }));
}

}  // namespace

// Guards against members that are short of processor time and get the queries
// that they have not answered yet eight times a second.
TEST_CASE("A member that does not answer is queried less and less often") {
  Fleet fleet;
  LoseOwnerBehindCut(fleet);
  REQUIRE(CountRecovering(fleet, "n0") > 0);
  const Counter<AdoptQuery> queries(fleet, "n0", "n1");
  fleet.Run(seconds(6));
  CHECK(queries.n >= 2);
  CHECK(queries.n <= 4);
}

// Guards against recoveries that go on waiting, for as long as the pauses have
// grown, when a cut has ended.
TEST_CASE("A member that is heard again is queried at once") {
  Fleet fleet;
  LoseOwnerBehindCut(fleet);
  const Counter<AdoptQuery> queries(fleet, "n0", "n1");
  REQUIRE(fleet.RunUntil([&] { return queries.n > 0; }, seconds(4)));
  REQUIRE(CountRecovering(fleet, "n0") > 0);
  fleet.Run(milliseconds(100));
  EndCut(fleet);
  fleet.DeliverPeerMessage("n0", fleet.state("n1").options.self.incarnation,
                           RunReports());
  fleet.Run(milliseconds(300));
  CHECK(CountRecovering(fleet, "n0") == 0);
}

// Guards against one query for each caller of a job, which the job's owner has
// to answer one by one while it is slow.
TEST_CASE("Callers of one job share a query to its owner") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(30)});
  fleet.Submit("n0", "j1", OneStep(1));
  fleet.Run(seconds(1));
  // The record is read for the first caller.
  fleet.StateOf("n1", "j1");
  const Counter<JobQuery> queries(fleet, "n1", "n0");
  std::vector<std::uint64_t> calls;
  const auto call_ten_times = [&] {
    for (int n = 0; n < 10; ++n) {
      calls.push_back(fleet.QueryState("n1", "j1"));
    }
  };
  call_ten_times();
  fleet.Run(milliseconds(300));
  CHECK(queries.n == 1);
  // Without a reply only one of them repeats the query.
  Cut(fleet, "n0", "n1");
  call_ten_times();
  fleet.Run(milliseconds(1000));
  CHECK(queries.n == 3);
  EndCut(fleet);
  fleet.Run(milliseconds(400));
  CHECK(queries.n == 4);
  for (const std::uint64_t it : calls) {
    REQUIRE(fleet.answers.contains(it));
    CHECK(std::holds_alternative<JobStateFound>(fleet.answers.at(it)));
  }
}

// Guards against crashes that are told with each query answered, to members
// that know them all.
TEST_CASE("A member is not told the same crashes with each reply") {
  Fleet fleet({.workers_tell_born = true});
  fleet.Settle();
  fleet.CrashWorker("w0", milliseconds(500));
  fleet.Run(seconds(6));
  const std::string owner = [&] {
    for (const std::string& it : fleet.nodes()) {
      if (!fleet.state(it).crashed_workers.empty()) {
        return it;
      }
    }
    return std::string();
  }();
  REQUIRE_FALSE(owner.empty());
  const std::string other = owner == "n0" ? "n1" : "n0";
  const Counter<WorkersCrashed> told(fleet, owner, other);
  const auto ask = [&] {
    fleet.DeliverPeerMessage(owner, fleet.state(other).options.self.incarnation,
                             AdoptQuery{.wants_workers = true});
    fleet.Run(milliseconds(100));
  };
  for (int n = 0; n < 5; ++n) {
    ask();
  }
  CHECK(told.n == 1);
  // The message may have been lost.
  fleet.Run(seconds(1));
  ask();
  CHECK(told.n == 2);
}

}  // namespace burdockrock::engine
