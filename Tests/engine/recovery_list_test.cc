// What an instance that has just started knows of the workers, and what it
// starts of the jobs that it takes over.
#include <doctest/doctest.h>

#include "engine/fleet.h"
#include "engine/lasting_job.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The instances and workers of domain b reach each other and nobody else.
void CutOffDomain(Fleet& fleet) {
  const auto is_apart = [](const std::string& name) {
    return std::stoi(name.substr(1)) % 3 == 1;
  };
  fleet.is_cut = [=](const std::string& from, const std::string& to) {
    return is_apart(from) != is_apart(to);
  };
  fleet.store_fault = [=](const std::string& node, const StoreRequest&) {
    return is_apart(node) ? StoreFault::kRefuse : StoreFault::kNone;
  };
  fleet.command_fault = [=](const std::string& node, const std::string& worker,
                            const WorkerRequest&) {
    return is_apart(node) != is_apart(worker) ? CommandFault::kUnreached
                                              : CommandFault::kNone;
  };
}

// An instance that starts while a failure domain is cut off finds none of its
// workers in the list, and took a list for whole that was read 2.3 s before.
// What ran there ran on, renewed by an owner that lives without the store for
// 12 s, and the jobs that the instance had taken over started it once more. The
// others had remembered those workers and told of them, but not in time to
// count for jobs that were adopted already.
TEST_CASE("Who starts during a cut waits for the workers that it never saw") {
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

// Of 30 instances 18 lost power and were back within 0.6 s. 99 jobs that they
// took over started nothing until 2.3 s after the registration, with all
// workers and members heard: `job_recovering` had unheard=0 and members=0. The
// others had followed the list all day and knew each worker that could be
// missed.
TEST_CASE("Who starts anew trusts a member that has long followed the list") {
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

}  // namespace

}  // namespace burdockrock::engine
