// Workers that change hands while members know different things: what runs at a
// worker must not be taken for ended, and what has ended must run again soon.
#include <algorithm>
#include <optional>
#include <set>
#include <string>

#include <doctest/doctest.h>

#include "engine/lasting_job.h"
#include "engine/members/membership.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool WatchesMembers(const StoreRequest& request) {
  const auto* watch = std::get_if<StoreWatch>(&request);
  return watch != nullptr && watch->prefix == kMemberPrefix;
}

std::size_t CountGone(const Fleet& fleet, const std::string& worker) {
  return static_cast<std::size_t>(std::count_if(
      fleet.log.begin(), fleet.log.end(), [&](const LogLine& line) {
        return line.number == EventNumber::kWorkerGone &&
               line.fields.front().value == worker;
      }));
}

// Who owns w0 when n0, the only member of its domain, is gone.
std::string Heir() {
  Fleet fleet;
  fleet.Settle();
  fleet.Kill("n0");
  fleet.Run(seconds(5));
  return fleet.state("n1").owned.contains("w0-1") ? "n1" : "n2";
}

std::string Other(const std::string& heir) {
  return heir == "n1" ? "n2" : "n1";
}

// What `node` calls at w0 does not arrive, others' calls do.
auto UnreachedFor(const std::set<std::string>& nodes) {
  return [nodes](const std::string& node, const std::string& worker,
                 const WorkerRequest&) {
    return worker == "w0" && nodes.contains(node) ? CommandFault::kUnreached
                                                  : CommandFault::kNone;
  };
}

// n0 is turned away by the store and goes on renewing what runs at w0. Another
// instance is started when n0's registration has just ended: it has never seen
// n0. The third one has not heard of the end, as its watch is silent, and
// counts n0 among the present ones. It says that nobody whom it remembers can
// renew leases, and the young one, which has read of n0's machine, takes that
// for the whole truth.
TEST_CASE("What a member says that has not heard of an end counts for less") {
  const std::string heir = Heir();
  const std::string other = Other(heir);
  Fleet fleet;
  const std::string job = BeginLasting(fleet, other, other);
  fleet.Kill(heir);
  fleet.Run(seconds(20));  // nobody may take it for one that renews leases
  bool silent = false;
  fleet.store_fault = [&](const std::string& node, const StoreRequest& it) {
    if (node == "n0") {
      return StoreFault::kRefuse;
    }
    return node == other && silent && WatchesMembers(it) ? StoreFault::kNoReply
                                                         : StoreFault::kNone;
  };
  fleet.command_fault = UnreachedFor({"n1", "n2"});
  fleet.Run(milliseconds(1300));
  silent = true;
  const auto has_left = [&] {
    return fleet.store.Keys(std::string(kMemberPrefix) + "n0").empty();
  };
  REQUIRE(fleet.RunUntil(has_left, seconds(5)));
  fleet.Start(heir);
  fleet.Run(seconds(2));
  silent = false;
  fleet.Run(seconds(5));
  CHECK(CountGone(fleet, "w0-1") == 0);
  CHECK(CountRuns(fleet, job) == kLastingTasks);
  CheckInvariants(fleet);
}

// n0 loses its registration and its answers from w0. Asked by the next owner it
// gives the worker up and says until when its leases last. Before that time it
// registers again, is the worker's owner again and renews the leases; the other
// one, which has claimed nothing yet, holds on to what it was told while its
// call is under way or its watch is late.
void PlayReturn(Duration back, Duration late, Duration frozen) {
  const std::string heir = Heir();
  Fleet fleet;
  const std::string job = BeginLasting(fleet, heir, heir);
  const Time begin = fleet.now();
  bool silent = false;
  fleet.store_fault = [&](const std::string& node, const StoreRequest& it) {
    if (node == "n0" && fleet.now() < begin + back) {
      return StoreFault::kRefuse;
    }
    return node == heir && silent && WatchesMembers(it) ? StoreFault::kNoReply
                                                        : StoreFault::kNone;
  };
  fleet.command_fault = [&](const std::string& node, const std::string& worker,
                            const WorkerRequest&) {
    if (worker != "w0") {
      return CommandFault::kNone;
    }
    if (node != "n0") {
      return CommandFault::kUnreached;
    }
    return fleet.now() < begin + back ? CommandFault::kLoseAnswer
                                      : CommandFault::kNone;
  };
  if (late > Duration(0)) {
    fleet.Run(back - milliseconds(1300));
    silent = true;
    fleet.Run(milliseconds(1300) + late);
    silent = false;
  } else {
    fleet.Run(back);
  }
  if (frozen > Duration(0)) {
    fleet.Freeze(heir, frozen);
  }
  fleet.Run(seconds(8));
  INFO("back after " << ToMilliseconds(back) << " ms");
  CheckInvariants(fleet);
}

TEST_CASE("A member that has given a worker up and owns it again is seen") {
  for (int it = 0; it < 24; ++it) {
    PlayReturn(milliseconds(5400 + 100 * it), Duration(0), Duration(0));
  }
}

TEST_CASE("A member that owns a worker again is heard of late") {
  for (int it = 0; it < 12; ++it) {
    PlayReturn(milliseconds(6000 + 100 * it), milliseconds(300), Duration(0));
  }
}

// What came meanwhile waits in the queue of a process that stood still, or that
// is short of processor time; a timer is served before it.
TEST_CASE("A member that owns a worker again is heard of after a pause") {
  for (int it = 0; it < 12; ++it) {
    PlayReturn(milliseconds(6000 + 100 * it), Duration(0), milliseconds(1600));
  }
}

// An owner that has claimed a worker of another domain loses sight of it and of
// that whole domain, where an instance starts, registers and takes the worker
// over. The store tells all of them of each other. The former owner declares
// the worker gone when its own leases are over, though the list of members says
// that the worker is another's by now.
TEST_CASE("A worker that has another owner by now is not taken for gone") {
  const std::string heir = Heir();
  Fleet fleet;
  const std::string job = BeginLasting(fleet, heir, heir);
  fleet.Kill("n0");
  fleet.Run(seconds(5));
  REQUIRE(fleet.state(heir).owned.at("w0-1").claimed);
  fleet.command_fault = UnreachedFor({"n1", "n2"});
  fleet.is_cut = [](const std::string& from, const std::string& to) {
    return from != to && (from == "n0" || to == "n0");
  };
  fleet.Run(milliseconds(2200));  // a call that is under way is still answered
  fleet.Start("n0");
  fleet.Run(seconds(12));
  CHECK(fleet.state("n0").owned.at("w0-1").claimed);
  CHECK(CountGone(fleet, "w0-1") == 0);
  CHECK(CountRuns(fleet, job) == kLastingTasks);
  CheckInvariants(fleet);
}

// A worker is lost together with its owner, and its entry has left the store's
// list before that owner is back: the new life never learns of the worker, and
// the one that had claimed it meanwhile gives the claim up. The owner of the
// job is alive all the while, so nobody adopts anything; it asks the new life
// for the run and gets no answer.
TEST_CASE("A lost worker that its new owner has never seen is found gone") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n1", "n1");
  fleet.command_fault = UnreachedFor({"n0", "n1", "n2"});
  fleet.Kill("n0");
  fleet.worker("w0").Crash(fleet.now(), "w0-2");
  fleet.Run(milliseconds(4500));
  fleet.store.Remove("worker/w0-1");
  fleet.Run(milliseconds(500));
  fleet.Start("n0");
  fleet.Run(seconds(9));
  CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
  fleet.Run(seconds(20));
  CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
  CheckInvariants(fleet);
}

// The machine of a worker is lost while the worker's owner is in its planned
// stop, after which that owner's machine leaves for good. Nobody registers
// there again, so the leases count as renewed for as long as those of a process
// that is cut off.
TEST_CASE("A worker that dies during its owner's last stop is gone in time") {
  for (int it = 0; it < 8; ++it) {
    Fleet fleet;
    const std::string job = BeginLasting(fleet, "n1", "n1");
    fleet.Run(milliseconds(250 * it));
    fleet.command_fault = UnreachedFor({"n0", "n1", "n2"});
    fleet.StopPlanned("n0");
    fleet.Run(
        milliseconds(1900));  // a call that is under way is still answered
    fleet.worker("w0").Crash(fleet.now(), "w0-2");
    fleet.Run(milliseconds(2600));
    fleet.store.Remove("worker/w0-1");
    fleet.Run(kRestartBound - milliseconds(2600));
    INFO("stopped " << 250 * it << " ms later");
    CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
    CheckInvariants(fleet);
  }
}

// The domain of a worker and its owner loses power for good. The owner counts
// as one that may be cut off and renew leases for 12 s more.
TEST_CASE("A worker that is lost for good with its owner is gone in time") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n1", "n1");
  fleet.command_fault = UnreachedFor({"n0", "n1", "n2"});
  fleet.Kill("n0");
  fleet.worker("w0").Crash(fleet.now(), "w0-2");
  fleet.Run(milliseconds(4500));
  fleet.store.Remove("worker/w0-1");
  fleet.Run(kRestartBound - milliseconds(4500));
  CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
  CheckInvariants(fleet);
}

// An instance is restarted and reads the list of members while the process
// before it still stands there; that entry ends before the store lets the new
// one register. It can't tell of itself that it has replaced the other process,
// asks it, at its own address, and gets no answer.
TEST_CASE("A process knows that the one before it on its machine has ended") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n1", "n1");
  const Time begin = fleet.now();
  fleet.command_fault = UnreachedFor({"n0", "n1", "n2"});
  fleet.store_fault = [&](const std::string& node, const StoreRequest& it) {
    const bool grant = std::holds_alternative<StoreLeaseGrant>(it);
    return node == "n0" && grant && fleet.now() < begin + milliseconds(3500)
               ? StoreFault::kRefuse
               : StoreFault::kNone;
  };
  fleet.Kill("n0");
  fleet.worker("w0").Crash(fleet.now(), "w0-2");
  fleet.Run(milliseconds(300));
  fleet.Start("n0");
  fleet.Run(milliseconds(4200));
  fleet.store.Remove("worker/w0-1");
  // A lease after it has registered, and what claiming and asking takes.
  fleet.Run(milliseconds(3500 + 6420 + 1500 - 4500));
  CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
  CheckInvariants(fleet);
}

// A machine is suspended for a while, and is turned away by the store. By a
// clock that stood still meanwhile its process went on renewing for 12 s after
// it had woken up, so longer than the others think: 8 tasks ran twice for a
// second. The clock of the events counts a suspension, see the runtime's tests.
TEST_CASE("A suspended member renews no longer than the others count on") {
  const std::string heir = Heir();
  constexpr Duration kSuspended = milliseconds(4500);
  for (int it = 0; it < 8; ++it) {
    Fleet fleet;
    const std::string job = BeginLasting(fleet, heir, heir);
    fleet.store_fault = [&](const std::string& node, const StoreRequest&) {
      return node == "n0" ? StoreFault::kRefuse : StoreFault::kNone;
    };
    fleet.command_fault = UnreachedFor({"n1", "n2"});
    fleet.Run(milliseconds(250 * it));
    fleet.Freeze("n0", kSuspended);
    fleet.Run(seconds(26));
    INFO("suspended after " << 250 * it << " ms");
    CheckInvariants(fleet);
  }
}

// All instances lose power at once with a worker, and one of them does not come
// back: it counts as one that may be cut off and renew leases.
TEST_CASE("A worker that died in a loss of power of all is gone in time") {
  for (const bool all_back : {true, false}) {
    Fleet fleet;
    const std::string job = BeginLasting(fleet, "n1", "n1");
    fleet.command_fault = UnreachedFor({"n0", "n1", "n2"});
    for (const std::string& it : fleet.nodes()) {
      fleet.Kill(it);
    }
    fleet.worker("w0").Crash(fleet.now(), "w0-2");
    fleet.Run(seconds(2));
    fleet.Start("n1");
    fleet.Start("n2");
    if (all_back) {
      fleet.Start("n0");
    }
    fleet.Run(milliseconds(2500));
    fleet.store.Remove("worker/w0-1");
    fleet.Run(kRestartBound - milliseconds(2500));
    INFO("all back " << all_back);
    CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
    CheckInvariants(fleet);
  }
}

constexpr const char* kEntryOfW0 = "w0|a|s|8000|0";

// A worker is cut off until it is found gone, comes back under the same name
// with nothing running, and is another member's. The member that found it gone
// goes on saying so for 20 s. When the worker's owner and the owner of a job
// that runs there die together, that word ends the recovery of the job while
// its tasks run, and the others never use the worker again.
TEST_CASE("A worker that comes back after it was found gone counts again") {
  const std::string heir = Heir();
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.endless = true});
  fleet.Kill("n0");
  fleet.Run(seconds(4));
  fleet.command_fault = UnreachedFor({"n0", "n1", "n2"});
  fleet.Run(seconds(4));
  fleet.store.Remove("worker/w0-1");
  REQUIRE(fleet.RunUntil([&] { return CountGone(fleet, "w0-1") == 1; },
                         seconds(12)));
  fleet.command_fault = UnreachedFor({});
  fleet.Start("n0");
  fleet.Run(milliseconds(500));
  fleet.store.Put("worker/w0-1", kEntryOfW0);
  fleet.Run(seconds(2));
  REQUIRE(fleet.state("n0").owned.at("w0-1").claimed);
  CHECK(fleet.state(heir).view.at("w0-1").accepting);
  CHECK_FALSE(fleet.state(heir).view.at("w0-1").lost);
  const std::string job = "j1";
  fleet.Submit("n0", job, Lasting(kLastingTasks));
  fleet.Run(seconds(1));
  REQUIRE(CountRuns(fleet, job) == kLastingTasks);
  fleet.command_fault = UnreachedFor({"n1", "n2"});
  fleet.Kill("n0");
  fleet.Run(seconds(8));
  CheckInvariants(fleet);
}

// A worker has lost its path to the store, its owner renews what runs there. A
// young instance that has never seen the worker adopts the job. The members
// that it knows have told it of all workers that it knows; that one of them,
// the worker's owner, has said nothing at all does not hold the recovery up.
TEST_CASE("A recovery hears each member before it ends") {
  Fleet fleet({.instances = 3, .workers = 3});
  fleet.Settle();
  const std::string job = JobAdoptedBy(fleet, "n2");
  PlanAll(fleet, {.endless = true});
  fleet.Submit("n1", job, Lasting(12));
  fleet.Run(seconds(1));
  REQUIRE(CountRuns(fleet, job) == 12);
  fleet.store.Remove("worker/w0-1");
  fleet.Run(seconds(1));
  fleet.Kill("n2");
  fleet.Run(seconds(3));
  fleet.Start("n2");
  fleet.Run(seconds(3));
  bool cut = true;
  fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return cut &&
           ((from == "n0" && to == "n2") || (from == "n2" && to == "n0"));
  };
  fleet.Kill("n1");
  fleet.Run(seconds(6));
  cut = false;
  fleet.Run(seconds(3));
  CheckInvariants(fleet);
}

// An order to stop from a job's new owner that comes before its first question
// tells whose the job is. The question then looks like one that was asked
// again, and a worker counts as surely owned since the adoption before.
TEST_CASE("A stop that overtakes an adopter's question does not answer it") {
  Fleet fleet;
  fleet.Settle();
  const std::string job = "j1";
  fleet.DeliverPeerMessage("n0", "n1-1",
                           AdoptQuery{.jobs = {{.job = job, .generation = 2}}});
  fleet.Run(seconds(3));
  const Time asked = fleet.now();
  fleet.DeliverPeerMessage("n0", "n2-1",
                           TaskStops{.stops = {{.task = job + ".0.0.0",
                                                .run = 1,
                                                .worker = "w0-1",
                                                .generation = 3}}});
  fleet.DeliverPeerMessage("n0", "n2-1",
                           AdoptQuery{.jobs = {{.job = job, .generation = 3}}});
  CHECK(fleet.state("n0").known.at(job).adopted >= asked);
}

}  // namespace

}  // namespace burdockrock::engine
