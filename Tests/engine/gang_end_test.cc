// Tests that a gang starts again as a whole after workers ended it because one
// of its members ended or was lost.
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"
#include "engine/jobs/job_model.h"
#include "engine/limits.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kWidth = 3;
constexpr std::int64_t kCapacity = 8000;
// Longer than all leases at an unresponsive worker, so that they lapse.
constexpr Duration kTakes = seconds(15);
// From the end of a worker's last lease to the gang's next start.
constexpr Duration kStartBound = seconds(1);
// The longest lease, on a slow clock.
constexpr Duration kLeaseSpan = milliseconds(6120) + kLeaseMargin;
// A worker that falls silent may still answer the poll that it has received.
constexpr Duration kLossBound =
    kPollWait + kMaxRenewalWithoutAnswer + kLeaseSpan + kStartBound;
// The lost owner may have renewed leases without the store.
constexpr Duration kOwnerLossBound =
    kMemberTtl + kMaxRenewalWithoutStore + kLeaseSpan + kStartBound;
// After this time without a heartbeat the store drops a worker's entry.
constexpr Duration kEntryLifetime = milliseconds(4500);
constexpr Duration kMemberLosses[] = {milliseconds(100), milliseconds(1300),
                                      milliseconds(2900)};
constexpr const char* kJob = "gang";

// What becomes of the process of a worker that falls silent.
enum class Silence {
  kRunsOn,      // it runs until its leases lapse
  kEnds,        // it ends, and the list of machines shows it
  kEndsUnseen,  // it ends while the list of machines does not answer
};
constexpr Silence kSilences[] = {Silence::kRunsOn, Silence::kEnds,
                                 Silence::kEndsUnseen};

std::string AddressOf(const std::string& worker) {
  return worker.substr(0, worker.find('-'));
}

FleetOptions Cell(std::size_t workers, bool tell_born) {
  return {.workers = workers,
          .processors_milli = kCapacity,
          .workers_tell_born = tell_born,
          .gang_width = [](const std::string& step) -> std::size_t {
            return step.starts_with(kJob) ? kWidth : 0;
          }};
}

std::string MemberName(std::uint32_t index) {
  return fmt::format("{}.0.0.{}", kJob, index);
}

// Starts a gang whose job belongs to n0, and runs until `span` after its start.
void BeginGang(Fleet& fleet, Duration span) {
  JobSpec spec = OneStep(kWidth, kCapacity);
  spec.steps[0].gang = true;
  spec.steps[0].estimate = kTakes;
  fleet.Submit("n0", kJob, spec);
  REQUIRE(fleet.RunUntil([&] { return CountRuns(fleet, kJob) == kWidth; },
                         seconds(3)));
  fleet.Run(span);
  REQUIRE(fleet.state("n0").jobs.contains(kJob));
}

const SeenRun& FirstRunOf(const Fleet& fleet, std::uint32_t index) {
  return *std::find_if(
      fleet.seen.begin(), fleet.seen.end(),
      [&](const SeenRun& run) { return run.task == MemberName(index); });
}

void LoseWorker(Fleet& fleet, const std::string& id, Silence silence) {
  const std::string lost = AddressOf(id);
  fleet.command_fault = [lost](const std::string&, const std::string& worker,
                               const WorkerRequest&) {
    return worker == lost ? CommandFault::kUnreached : CommandFault::kNone;
  };
  fleet.machines_answer = silence != Silence::kEndsUnseen;
  if (silence != Silence::kRunsOn) {
    // The calls in flight get their replies first.
    fleet.RunLater(seconds(2), [&fleet, lost] {
      fleet.worker(lost).Crash(fleet.now(), lost + "-never");
    });
  }
  fleet.RunLater(kEntryLifetime,
                 [&fleet, id] { fleet.store.Remove("worker/" + id); });
}

// Members of the gang's runs at workers, by run.
std::map<std::uint64_t, std::set<std::string>> MembersByRun(
    const Fleet& fleet) {
  std::map<std::uint64_t, std::set<std::string>> members;
  for (const SeenRun& it : fleet.seen) {
    members[it.run].insert(it.task);
  }
  return members;
}

// Checks that the gang runs again as a whole within the bound, and that its job
// then completes.
void CheckRunsAgain(Fleet& fleet,
                    const std::string& node,
                    Duration bound,
                    std::size_t runs = 2) {
  const Time since = fleet.now();
  const auto is_back = [&] {
    const auto members = MembersByRun(fleet);
    return members.size() >= 2 && members.rbegin()->second.size() == kWidth;
  };
  CHECK(fleet.RunUntil(is_back, bound));
  INFO("back after ", ToMilliseconds(fleet.now() - since), " ms");
  fleet.Run(kTakes + seconds(3));
  CHECK(fleet.StateOf(node, kJob) == JobState::kCompleted);
  const auto members = MembersByRun(fleet);
  CHECK(members.size() == runs);
  for (const auto& it : members) {
    CAPTURE(it.first);
    CHECK(it.second.size() == kWidth);
  }
  CHECK(CountEnds(fleet, RunEnd::kAlone) == 0);
  CHECK(CountEnds(fleet, RunEnd::kBroken) == (runs - 1) * (kWidth - 1));
  CHECK(CountEnds(fleet, RunEnd::kDone) == kWidth);
  CheckInvariants(fleet);
}

}  // namespace

// Guards against a gang that does not start again, or not as a whole, after the
// process of one member's worker has ended and another one is back.
TEST_CASE("A gang runs again after the worker of a member crashed") {
  for (const bool tell_born : {false, true}) {
    for (const std::size_t workers : {std::size_t{3}, std::size_t{6}}) {
      for (const Duration away :
           {milliseconds(300), milliseconds(2000), milliseconds(6000)}) {
        for (std::uint32_t member = 0; member < kWidth; ++member) {
          CAPTURE(tell_born);
          CAPTURE(workers);
          CAPTURE(ToMilliseconds(away));
          CAPTURE(member);
          Fleet fleet(Cell(workers, tell_born));
          fleet.Settle();
          PlanAll(fleet, {.takes = kTakes});
          BeginGang(fleet, kMemberLosses[member]);
          fleet.CrashWorker(AddressOf(FirstRunOf(fleet, member).worker), away);
          CheckRunsAgain(fleet, "n1", kLossBound);
        }
      }
    }
  }
}

// Guards against a gang that waits for a worker which never answers again.
TEST_CASE("A gang runs again after the worker of a member fell silent") {
  for (const Silence silence : kSilences) {
    for (const Duration at : kMemberLosses) {
      for (std::uint32_t member = 0; member < kWidth; ++member) {
        CAPTURE(static_cast<int>(silence));
        CAPTURE(ToMilliseconds(at));
        CAPTURE(member);
        Fleet fleet(Cell(6, false));
        fleet.Settle();
        PlanAll(fleet, {.takes = kTakes});
        BeginGang(fleet, at);
        LoseWorker(fleet, FirstRunOf(fleet, member).worker, silence);
        CheckRunsAgain(fleet, "n1", kLossBound);
      }
    }
  }
}

// Guards against an adopted gang whose members are believed to run for ever, or
// of which only some are started.
TEST_CASE("An adopted gang runs again after a worker fell silent") {
  for (const Silence silence : kSilences) {
    for (const Duration later :
         {milliseconds(0), milliseconds(1000), milliseconds(3500)}) {
      for (std::uint32_t member = 0; member < kWidth; ++member) {
        CAPTURE(static_cast<int>(silence));
        CAPTURE(ToMilliseconds(later));
        CAPTURE(member);
        Fleet fleet(Cell(6, false));
        fleet.Settle();
        PlanAll(fleet, {.takes = kTakes});
        BeginGang(fleet, seconds(1));
        const std::string lost = FirstRunOf(fleet, member).worker;
        const std::string owner = fleet.state("n0").view.at(lost).owner;
        CAPTURE(owner);
        LoseWorker(fleet, lost, silence);
        fleet.Run(later);
        fleet.Kill("n0");
        CheckRunsAgain(fleet, "n1",
                       AddressOf(owner) == "n0" ? kOwnerLossBound : kLossBound);
        const bool adopted = fleet.state("n1").jobs.contains(kJob) ||
                             fleet.state("n2").jobs.contains(kJob);
        CHECK(adopted);
      }
    }
  }
}

// Guards against a fleet whose workers let members of a gang wait for ever.
TEST_CASE("Workers end a gang of which a member does not come") {
  FleetOptions options = Cell(3, false);
  options.gang_timeout = milliseconds(500);
  Fleet fleet(options);
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(1)});
  fleet.command_fault = [](const std::string&, const std::string& worker,
                           const WorkerRequest& request) {
    const bool start = std::holds_alternative<StartRun>(request);
    return start && worker == "w0" ? CommandFault::kUnreached
                                   : CommandFault::kNone;
  };
  JobSpec spec = OneStep(kWidth, kCapacity);
  spec.steps[0].gang = true;
  fleet.Submit("n0", kJob, spec);
  fleet.Run(seconds(3));
  CHECK(CountEnds(fleet, RunEnd::kAlone) > 0);
  CHECK(CountEnds(fleet, RunEnd::kDone) == 0);
  fleet.command_fault = [](const std::string&, const std::string&,
                           const WorkerRequest&) {
    return CommandFault::kNone;
  };
  fleet.Run(seconds(6));
  CHECK(fleet.StateOf("n0", kJob) == JobState::kCompleted);
  CHECK(CountEnds(fleet, RunEnd::kDone) == kWidth);
  CheckInvariants(fleet);
}

// Guards against a gang that does not start again after the run of one member
// failed and those of the others were broken.
TEST_CASE("A gang runs again after a member failed") {
  for (const std::size_t failures : {std::size_t{1}, std::size_t{2}}) {
    for (const Duration at : {milliseconds(0), milliseconds(1300)}) {
      for (std::uint32_t member = 0; member < kWidth; ++member) {
        CAPTURE(failures);
        CAPTURE(ToMilliseconds(at));
        CAPTURE(member);
        Fleet fleet(Cell(6, false));
        fleet.Settle();
        std::size_t failed = 0;
        for (const std::string& it : fleet.worker_names()) {
          fleet.worker(it).plan = [&](const std::string& task, std::uint64_t) {
            const bool fails = task == MemberName(member) && failed < failures;
            failed += fails ? 1 : 0;
            return fails ? RunPlan{.takes = at, .how = RunEnd::kFailed}
                         : RunPlan{.takes = kTakes};
          };
        }
        BeginGang(fleet, milliseconds(0));
        CheckRunsAgain(fleet, "n1", kLossBound, failures + 1);
      }
    }
  }
}

}  // namespace burdockrock::engine
