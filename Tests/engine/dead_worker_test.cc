// Workers that die while their owners change: what ran there is run again soon.
#include <algorithm>

#include <doctest/doctest.h>

#include "engine/lasting_job.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void CutOff(Fleet& fleet, const std::string& worker) {
  fleet.command_fault = [worker](const std::string&, const std::string& name,
                                 const WorkerRequest&) {
    return name == worker ? CommandFault::kUnreached : CommandFault::kNone;
  };
}

// Its machine loses power: nobody hears that it is gone.
void Crash(Fleet& fleet, const std::string& worker) {
  CutOff(fleet, worker);
  fleet.Run(seconds(2));  // a call that is under way is still answered
  fleet.worker(worker).Crash(fleet.now(), worker + "-2");
}

// Workers died a second after the instances that owned them, which were started
// again. The workers' new owners did not know until when the old ones had
// renewed leases and waited 18.4 s, though the processes that could have done
// so were gone: their entry instances had registered again under other
// incarnations. A lasting task stayed away for 30 s with room for it. The logs
// had worker_silent for the dead workers, 0.7 s apart, until 21 s after their
// death, no worker_gone, and job_adopted three times for the task's job.
TEST_CASE("A worker that died with its owner is gone when its leases are") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n1", "n2");
  CutOff(fleet, "w0");
  fleet.Kill("n0");
  fleet.worker("w0").Crash(fleet.now(), "w0-2");
  fleet.Run(seconds(2));
  fleet.Start("n0");
  fleet.Run(seconds(2));
  fleet.store.Remove("worker/w0-1");
  fleet.Run(kRestartBound - seconds(4));
  CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
  CheckInvariants(fleet);
}

// A worker died and its owner was restarted after the worker's entry had left
// the store. The new life of the owner did not know the worker, the others
// remembered it for 25 s, and nobody claimed it: an adopted job waited for word
// of it until they forgot it.
TEST_CASE("A worker that only others remember does not hold an adoption up") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n1", "n2");
  Crash(fleet, "w0");
  fleet.Run(seconds(3));
  fleet.store.Remove("worker/w0-1");
  fleet.Run(milliseconds(700));
  fleet.Kill("n0");
  fleet.Run(milliseconds(300));
  fleet.Start("n0");
  fleet.Run(milliseconds(500));
  fleet.Kill("n1");
  fleet.Run(milliseconds(300));
  fleet.Start("n1");
  fleet.Run(seconds(7));
  CHECK(fleet.state("n2").jobs.contains(job));
  CHECK(RunningTasks(fleet, job, "w0-1").size() == kLastingTasks);
  CheckInvariants(fleet);
}

// The owner of a dead worker knows what ran there. Of a job that had nothing
// there it can say so without hearing from the worker: adopted jobs waited
// for the lease of each dead worker, though none of their tasks was there.
TEST_CASE("A dead worker holds up only the jobs that had something there") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(600)});
  CutOff(fleet, "w0");
  fleet.Run(milliseconds(2500));
  fleet.Submit("n1", "j1", Chain(3, 6));
  fleet.Run(milliseconds(700));
  fleet.StopPlanned("n1");
  fleet.Run(milliseconds(3500));
  CHECK(CountEnds(fleet, RunEnd::kDone) == 18);
  CheckInvariants(fleet);
}

// Machines were taken away and their workers known to have ended. The list of
// workers was read anew while their entries lasted, so that all instances
// remembered them for 25 s more. When their owner lost power 6 s after their
// end, its next life claimed them again, and 97 adopted jobs waited 1.4 to 2.1
// s for word of a worker that the adopters themselves had heard to be gone: the
// lines named it with 7,257 ms since its last word, which was its end.
TEST_CASE("A worker that is known to have ended holds no adoption up") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n0", "n2");
  Crash(fleet, "w0");
  const auto is_gone = [&] {
    const auto& view = fleet.state("n2").view;
    return view.contains("w0-1") && view.at("w0-1").lost;
  };
  fleet.store.Remove("worker/w0-1");
  REQUIRE(fleet.RunUntil(is_gone, seconds(20)));
  fleet.store.Put("worker/w0-1", "w0|a|s|8000|0");
  fleet.Run(milliseconds(700));
  fleet.store.Remove("worker/w0-1");
  fleet.Run(seconds(1));
  REQUIRE(is_gone());
  REQUIRE(fleet.state("n2").workers.contains("w0-1"));
  fleet.Kill("n0");
  fleet.Run(milliseconds(300));
  fleet.Start("n0");
  REQUIRE(fleet.RunUntil([&] { return fleet.state("n2").jobs.contains(job); },
                         seconds(4)));
  fleet.Run(seconds(1));
  CHECK_FALSE(fleet.state("n2").jobs.at(job).recovering);
  CheckInvariants(fleet);
}

// A worker ended, its entry had left the list, and its owner lost power before
// it had asked the service of machines, which it may do once in 5 s at 48
// members. Its next life claimed the worker, which refused the connection, and
// asked nobody for 1.2 s: 74 adopted jobs waited for 1.3 to 2.3 s for word of
// it.
TEST_CASE("A silent worker that left the list is asked about at once") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n0", "n2");
  CutOff(fleet, "w0");
  fleet.Kill("n0");
  fleet.worker("w0").Crash(fleet.now(), "w0-2");
  fleet.store.Remove("worker/w0-1");
  fleet.Run(milliseconds(900));
  fleet.Start("n0");
  REQUIRE(fleet.RunUntil([&] { return fleet.state("n2").jobs.contains(job); },
                         seconds(2)));
  // An order that finds nobody takes 0.7 s here, and claims begin 0.2 s after
  // the registration.
  fleet.Run(milliseconds(1100));
  CHECK_FALSE(fleet.state("n2").jobs.at(job).recovering);
  CheckInvariants(fleet);
}

// A member that still reaches the worker gives no word that its leases end: it
// renews them for 12 s without the store, and what runs there would run twice.
TEST_CASE(
    "A worker that its former owner still reaches is not taken for gone") {
  Fleet fleet;
  const std::string job = BeginLasting(fleet, "n1", "n2");
  fleet.store_fault = [](const std::string& node, const StoreRequest&) {
    return node == "n0" ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.command_fault = [](const std::string& node, const std::string& worker,
                           const WorkerRequest&) {
    return worker == "w0" && node != "n0" ? CommandFault::kUnreached
                                          : CommandFault::kNone;
  };
  fleet.Run(seconds(14));
  CHECK(CountRuns(fleet, job) == kLastingTasks);
  CHECK(RunningTasks(fleet, job, "").size() == kLastingTasks);
  CheckInvariants(fleet);
}

// A worker crashed behind a cut and another life of it came at its address.
// When the cut healed, a heartbeat that the first life had sent 12 s before
// reached the store, with a higher revision than the entry of the second. All
// instances took the second life for ended, since the first seemed to have come
// after it, and its four tasks ran twice. The log had worker_gone with the
// cause "replaced" for the second life, and worker_claimed with running=4 for
// it 1.2 s later.
TEST_CASE("A late entry of an ended life does not end the present one") {
  Fleet fleet;
  fleet.Settle();
  fleet.worker("w0").Crash(fleet.now(), "w0-2");
  fleet.store.Put("worker/w0-2", "w0|a|s|8000|0");
  fleet.store.Remove("worker/w0-1");
  fleet.Run(seconds(3));
  PlanAll(fleet, {.endless = true});
  const std::string job = JobAdoptedBy(fleet, "n1");
  fleet.Submit("n1", job, Lasting(kLastingTasks));
  fleet.Run(seconds(1));
  REQUIRE(CountRuns(fleet, job) == kLastingTasks);
  fleet.AddWorkers(2);
  PlanAll(fleet, {.endless = true});
  fleet.store.Put("worker/w0-1", "w0|a|s|8000|0");
  fleet.Run(seconds(5));
  CHECK(CountRuns(fleet, job) == kLastingTasks);
  CheckInvariants(fleet);
  // A life that has ended is claimed once, not until its entry lapses.
  const auto claims = std::count_if(
      fleet.log.begin(), fleet.log.end(), [](const LogLine& line) {
        return line.number == EventNumber::kWorkerGone &&
               line.fields.front().value == "w0-1";
      });
  CHECK(claims <= 2);
}

}  // namespace

}  // namespace burdockrock::engine
