// What an instance that has just started knows of the workers, and which tasks
// of adopted jobs it starts.
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "engine/fleet.h"
#include "engine/lasting_job.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Cuts off domain b: its instances and workers reach only each other.
void CutOffDomain(Fleet& fleet) {
  const auto is_cut_off = [](const std::string& name) {
    return std::stoi(name.substr(1)) % 3 == 1;
  };
  fleet.is_cut = [=](const std::string& from, const std::string& to) {
    return is_cut_off(from) != is_cut_off(to);
  };
  fleet.store_fault = [=](const std::string& node, const StoreRequest&) {
    return is_cut_off(node) ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.command_fault = [=](const std::string& node, const std::string& worker,
                            const WorkerRequest&) {
    return is_cut_off(node) != is_cut_off(worker) ? CommandFault::kUnreached
                                                  : CommandFault::kNone;
  };
}

// Guards against tasks of adopted jobs that are started while they still run.
// An instance that starts while a failure domain is cut off finds none of the
// domain's workers in the list, and took the list for complete 2.3 s after
// reading it. Runs there continue, renewed by an owner that keeps renewing for
// 12 s without the store. The other members remember those workers and reported
// them, but too late to count for jobs that were already adopted.
TEST_CASE("An instance started during a cut waits for workers unknown to it") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(30)});
  const std::string job = JobAdoptedBy(fleet, "n0");
  fleet.Submit("n0", job, OneStep(36));
  fleet.Run(seconds(1));
  REQUIRE(CountRuns(fleet, job) == 36);
  CutOffDomain(fleet);
  fleet.Run(seconds(3));
  fleet.store.Remove("worker/w1-1");
  fleet.store.Remove("worker/w4-1");
  fleet.Run(milliseconds(700));
  fleet.Kill("n0");
  fleet.Run(milliseconds(300));
  fleet.Start("n0");
  fleet.Run(seconds(4));
  REQUIRE(fleet.state("n0").jobs.contains(job));
  CHECK(fleet.state("n0").jobs.at(job).recovering);
  fleet.Run(seconds(3));
  CheckInvariants(fleet);
}

// Guards against recovery that waits without need. 18 of 30 instances lost
// power and restarted within 0.6 s. 99 jobs that they adopted started nothing
// until 2.3 s after the registration, although the reports of all workers and
// members had arrived: `job_recovering` had unheard=0 and members=0. The other
// members had followed the list all day and knew every worker that could be
// missing.
TEST_CASE("A restarted instance relies on a member that followed the list") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(60)});
  const std::string job = JobAdoptedBy(fleet, "n0");
  fleet.Submit("n0", job, OneStep(36));
  fleet.Run(seconds(26));
  REQUIRE(CountRuns(fleet, job) == 36);
  fleet.Kill("n0");
  fleet.Run(milliseconds(300));
  fleet.Start("n0");
  REQUIRE(fleet.RunUntil([&] { return fleet.state("n0").jobs.contains(job); },
                         seconds(2)));
  fleet.Run(seconds(1));
  CHECK_FALSE(fleet.state("n0").jobs.at(job).recovering);
  fleet.Run(seconds(3));
  CHECK(CountRuns(fleet, job) == 36);
  CheckInvariants(fleet);
}

// The failure domain of n0 is cut off while 12 tasks end there, until its
// workers have left the list; all instances restart meanwhile.
struct CutVariant {
  bool finder_stays_down = false;  // the member that is to find the workers
  Duration listed_after = milliseconds(1400);  // after the cut
};

void CheckNoneRunsAgain(const CutVariant& variant) {
  Fleet fleet({.instances = 9, .workers = 36, .teams = true});
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(1500)});
  const std::string domain = fleet.worker("w0").info().domain;
  const auto is_inside = [&](const std::string& name) {
    return (std::stoul(name.substr(1)) % 3) == 0;
  };
  REQUIRE(fleet.state("n0").options.self.domain == domain);
  fleet.Submit("n0", "job", OneStep(12));
  fleet.Run(milliseconds(300));
  REQUIRE(CountRuns(fleet, "job") == 12);
  for (const SeenRun& it : fleet.seen) {
    REQUIRE(is_inside(it.worker));
  }
  const std::string finder = ChooseMember(fleet.state("n1"), "machines", {});
  fleet.is_cut = [=](const std::string& from, const std::string& to) {
    return is_inside(from) != is_inside(to);
  };
  fleet.store_fault = [=](const std::string& node, const StoreRequest&) {
    return is_inside(node) ? StoreFault::kNoReply : StoreFault::kNone;
  };
  fleet.command_fault = [=](const std::string& node, const std::string& worker,
                            const WorkerRequest&) {
    return is_inside(node) != is_inside(worker) ? CommandFault::kUnreached
                                                : CommandFault::kNone;
  };
  fleet.Run(milliseconds(4500));
  for (const std::string& it : fleet.worker_names()) {
    if (is_inside(it)) {
      fleet.store.Remove("worker/" + fleet.worker(it).info().id);
    }
  }
  for (const std::string& it : fleet.nodes()) {
    fleet.Kill(it);
  }
  fleet.Run(milliseconds(900));
  for (const std::string& it : fleet.nodes()) {
    if (!variant.finder_stays_down || !finder.starts_with(it + "-")) {
      fleet.Start(it);
    }
  }
  fleet.Run(milliseconds(1500));
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
  fleet.store_fault = [](const std::string&, const StoreRequest&) {
    return StoreFault::kNone;
  };
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(variant.listed_after);
  for (const std::string& it : fleet.worker_names()) {
    if (is_inside(it)) {
      fleet.ListAgain(it);
    }
  }
  fleet.Run(seconds(20));
  CHECK(CountRuns(fleet, "job") == 12);
  CHECK(fleet.StateOf(finder.starts_with("n1-") ? "n2" : "n1", "job") ==
        JobState::kCompleted);
  CheckInvariants(fleet);
}

}  // namespace

// Guards against tasks that run again after they have ended: no member has ever
// seen the workers where they did.
TEST_CASE("Tasks that ended behind a cut do not run again after a restart") {
  for (const bool finder_stays_down : {false, true}) {
    CAPTURE(finder_stays_down);
    CheckNoneRunsAgain({.finder_stays_down = finder_stays_down});
  }
}

// Guards against the same while the workers are listed again: the member that
// looks for missing ones finds them listed, and adopters read the list later.
TEST_CASE("Tasks that ended behind a cut do not run again as workers return") {
  constexpr Duration kStep = milliseconds(100);
  for (Duration it = milliseconds(100); it < milliseconds(1500); it += kStep) {
    CAPTURE(ToMilliseconds(it));
    CheckNoneRunsAgain({.listed_after = it});
  }
}

// Guards against adopters that never learn of a worker, as the report that
// named it was lost.
TEST_CASE("A worker is told again if the report that named it was lost") {
  Fleet fleet;
  fleet.Settle();
  fleet.Run(seconds(6));  // queries that serve no recovery are over
  std::vector<AdoptReport> reports;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    const auto* report = std::get_if<AdoptReport>(&send.message);
    if (from == "n0" && send.address == "n1" && report != nullptr) {
      reports.push_back(*report);
    }
  };
  const auto ask = [&](std::uint64_t known) {
    reports.clear();
    fleet.DeliverPeerMessage(
        "n0", fleet.state("n1").options.self.incarnation,
        AdoptQuery{.wants_workers = true, .known_workers = known});
    fleet.Run(milliseconds(50));
    REQUIRE(reports.size() == 1);
    return reports.front();
  };
  const auto unlist = [&](const std::string& worker) {
    fleet.store.Remove("worker/" + worker);
    fleet.Run(seconds(2));
  };
  unlist("w1-1");
  const AdoptReport first = ask(0);
  REQUIRE(first.remembered.size() == 1);
  CHECK(ask(first.workers_digest).remembered.empty());
  CHECK(ask(0).remembered == first.remembered);
  unlist("w4-1");
  const AdoptReport second = ask(first.workers_digest);
  REQUIRE(second.remembered.size() == 1);
  CHECK(second.remembered != first.remembered);
  CHECK(ask(first.workers_digest).remembered.size() == 2);
}

// Guards against tasks that run twice, as a report to an adopter lacks a worker
// that has left the list since the sender scanned its workers for reports.
TEST_CASE("A worker that leaves the list is in the next report") {
  Fleet fleet;
  fleet.Settle();
  fleet.Run(seconds(6));  // queries that serve no recovery are over
  std::size_t remembered = 0;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    const auto* report = std::get_if<AdoptReport>(&send.message);
    if (from == "n0" && send.address == "n1" && report != nullptr) {
      remembered = report->remembered.size();
    }
  };
  const auto ask = [&] {
    fleet.DeliverPeerMessage("n0", fleet.state("n1").options.self.incarnation,
                             AdoptQuery{.wants_workers = true});
    fleet.Run(milliseconds(20));
    return remembered;
  };
  const auto is_listed = [&] {
    return fleet.state("n0").workers.at("w1-1").listed;
  };
  CHECK(ask() == 0);
  fleet.store.Remove("worker/w1-1");
  bool was_listed = true;
  while (was_listed) {
    was_listed = is_listed();
    const std::size_t reported = ask();
    CHECK((was_listed || reported == 1));
  }
}

}  // namespace burdockrock::engine
