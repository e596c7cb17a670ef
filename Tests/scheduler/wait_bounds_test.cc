// Tests that work whose turn has come starts soon beside room for it.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include "scheduler/context.h"
#include "scheduler/entry_group.h"
#include "scheduler/failure_checks.h"
#include "scheduler/task_crashes.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStartBound = seconds(3);
// A cell is calm when it had no fault for so long.
constexpr Duration kCalm = seconds(4);
constexpr Duration kStep = milliseconds(50);
constexpr char kEntry[] = "d0-e0";

JobSpec JobOfSize(JobKind kind,
                  std::uint32_t count,
                  std::int64_t processors,
                  int run_ms) {
  JobSpec spec = JobOf(kind, count, run_ms);
  spec.resources.processors_milli = processors;
  return spec;
}

// The tasks of this size that fit on workers now.
std::int64_t RoomFor(EntryGroup& group, const Resources& need) {
  std::int64_t places = 0;
  for (const std::string& it : group.entries()) {
    places += group.state(it).placement.CountFitting(need);
  }
  return places;
}

// The tasks of the job that a worker has started.
std::uint32_t StartedOf(EntryGroup& group, const std::string& job) {
  const auto status = group.StatusOf(job);
  return status ? status->count - status->queued - status->starting : 0;
}

// Short tasks of several sizes that come and go at all entries, and leave about
// two fifths of the room free.
class Churn {
 public:
  explicit Churn(EntryGroup& group, std::uint64_t load_percent = 60)
      : group_(group), load_percent_(load_percent) {}

  void Next() {
    const std::vector<std::string> entries = group_.entries();
    const std::int64_t sizes[] = {1000, 2000, 3000};
    const std::uint64_t capacity =
        group_.options().workers *
        static_cast<std::uint64_t>(
            group_.options().worker_capacity.processors_milli);
    // In thousandths of processors, for the time of a step.
    owed_ += capacity * load_percent_ / 100 *
             static_cast<std::uint64_t>(kStep / milliseconds(1)) / kRunMs;
    const std::int64_t size = sizes[turn_ % 3];
    const std::uint32_t count =
        static_cast<std::uint32_t>(owed_ / static_cast<std::uint64_t>(size));
    owed_ -= count * static_cast<std::uint64_t>(size);
    if (count > 0) {
      group_.Submit(entries[turn_ % entries.size()],
                    JobOfSize(JobKind::kBatch, count, size, kRunMs));
    }
    ++turn_;
  }

 private:
  static constexpr int kRunMs = 200;

  EntryGroup& group_;
  std::uint64_t load_percent_;
  std::uint64_t owed_ = 0;
  std::size_t turn_ = 0;
};

// Runs the churn until all tasks of the job have started; returns for how long
// there was room for twice as many.
Duration WaitBesideRoom(EntryGroup& group,
                        Churn& churn,
                        const std::string& job,
                        const JobSpec& spec) {
  Duration wait(0);
  const Time end = group.now() + seconds(30);
  while (StartedOf(group, job) < spec.count && group.now() < end) {
    churn.Next();
    group.Run(kStep);
    const bool has_room =
        RoomFor(group, spec.resources) >= std::int64_t{2} * spec.count;
    wait += has_room ? kStep : Duration(0);
  }
  return wait;
}

void CheckChurned(JobKind kind, std::uint32_t count) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    EntryGroup group({.entries = {5}, .workers = 60, .seed = seed});
    REQUIRE(Settle(group));
    Churn churn(group);
    for (int it = 0; it < 60; ++it) {
      churn.Next();
      group.Run(kStep);
    }
    for (int it = 0; it < 20; ++it) {
      CAPTURE(it);
      const JobSpec spec = JobOfSize(kind, count, 2700, 500);
      const std::string entry =
          group.entries()[static_cast<std::size_t>(it % 5)];
      const std::string job = AcceptJob(group, entry, spec);
      CHECK(WaitBesideRoom(group, churn, job, spec) <= kStartBound);
    }
    CHECK(Overcommits(group) == 0);
    CHECK(group.Violations() == "");
  }
}

// Runs until all tasks of the job have started.
bool StartsWithin(EntryGroup& group, const std::string& job, Duration limit) {
  return group.RunUntil(
      [&] {
        const auto status = group.StatusOf(job);
        return status && status->queued + status->starting == 0;
      },
      limit);
}

// Whether the gang's writer waits for the answers to its offers.
bool IsAssembling(EntryGroup& group, const std::string& job) {
  const Job& gang = group.state(kEntry).jobs.jobs.at(job);
  return gang.hold_until != Time(0);
}

// Takes room of each worker for good, as much as `amount` says for its owner
// and its number among those of the owner.
void FillAll(EntryGroup& group,
             const std::function<int(const std::string&, int)>& amount) {
  std::map<std::string, int> numbers;
  for (const std::string& it : WorkersOf(group)) {
    const std::string owner = OwnerOf(group, it);
    State& state = group.state(owner);
    state.placement.ForceTake(
        *state.ownership.workers.at(it).index,
        {.processors_milli = amount(owner, numbers[owner]++)});
  }
}

}  // namespace

// Guards against a gang that gives up all its holds when other work takes the
// room of one of its tasks.
TEST_CASE("A gang starts beside room that short tasks churn") {
  CheckChurned(JobKind::kGang, 12);
}

// Guards against tasks that wait for room of which the digests are late.
TEST_CASE("A batch starts beside room that short tasks churn") {
  CheckChurned(JobKind::kBatch, 12);
}

// Guards against the same for services.
TEST_CASE("A service starts beside room that short tasks churn") {
  CheckChurned(JobKind::kService, 4);
}

// Guards against gangs that take the room from each other until both wait long.
// There is room for one at a time.
TEST_CASE("One of several gangs that compete for room starts soon") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    const auto entries = static_cast<std::uint32_t>(2 + seed % 4);
    CAPTURE(entries);
    EntryGroup group({.entries = {entries}, .workers = 12, .seed = seed});
    REQUIRE(Settle(group));
    for (const std::string& it : group.entries()) {
      group.Submit(it, JobOf(JobKind::kGang, seed % 2 == 0 ? 60 : 90, 1'000));
    }
    for (std::size_t started = 1; started <= entries; ++started) {
      CAPTURE(started);
      CHECK(group.RunUntil(
          [&] {
            return group.LogLinesOf(EventNumber::kGangStarted).size() >=
                   started;
          },
          kStartBound + seconds(1)));
    }
    CHECK(Overcommits(group) == 0);
    CHECK(group.Violations() == "");
  }
}

// Guards against a gang that is offered again and again where the room is too
// split for its tasks, while others have room for it twice over.
TEST_CASE("A gang starts beside owners whose room is too split") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    EntryGroup group({.entries = {5}, .workers = 60, .seed = seed});
    REQUIRE(Settle(group));
    // A third of the workers of those that have room are full.
    FillAll(group, [](const std::string& owner, int number) {
      if (owner == "d0-e1") {
        return 4100;
      }
      return owner == kEntry || number % 3 == 0 ? 8000 : 4000;
    });
    group.Run(seconds(1));
    const JobSpec gang = JobOfSize(JobKind::kGang, 12, 4000, 60'000);
    REQUIRE(RoomFor(group, gang.resources) == 24);
    CHECK(StartsWithin(group, AcceptJob(group, kEntry, gang), kStartBound));
  }
}

// Guards against the same beside work that comes and goes.
TEST_CASE("A gang starts beside split room that short tasks churn") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    EntryGroup group({.entries = {5}, .workers = 60, .seed = seed});
    REQUIRE(Settle(group));
    FillAll(group, [](const std::string& owner, int /*number*/) {
      return owner == "d0-e1" ? 5000 : 2000;
    });
    Churn churn(group, 15);
    for (int it = 0; it < 60; ++it) {
      churn.Next();
      group.Run(kStep);
    }
    for (std::size_t it = 0; it < 20; ++it) {
      CAPTURE(it);
      const JobSpec spec = JobOfSize(JobKind::kGang, 12, 3500, 500);
      const std::string job = AcceptJob(group, group.entries()[it % 5], spec);
      CHECK(WaitBesideRoom(group, churn, job, spec) <= kStartBound);
    }
  }
}

// Guards against a wait that grows with each loss: the last one was some time
// ago. The workers of an owner answer no start while the gang is assembled.
TEST_CASE("A gang starts soon after the last lost answer") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    EntryGroup group({.entries = {3}, .workers = 6, .seed = seed});
    REQUIRE(Settle(group));
    const std::string job =
        AcceptJob(group, kEntry, JobOf(JobKind::kGang, 40, 60'000));
    for (int it = 0; it < 6; ++it) {
      REQUIRE(group.RunUntil([&] { return IsAssembling(group, job); },
                             seconds(40)));
      group.worker("d0-w0").faults().paused = true;
      group.Run(milliseconds(2'500));
      group.worker("d0-w0").faults().paused = false;
    }
    CHECK(StartsWithin(group, job, kCalm + kStartBound));
    CHECK(group.Violations() == "");
  }
}

// Guards against the same if it is the owner that is not reached.
TEST_CASE("A gang starts soon after the last lost offer") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    EntryGroup group({.entries = {3}, .workers = 6, .seed = seed});
    REQUIRE(Settle(group));
    bool cut = false;
    int left = 6;
    group.on_effect = [&](const std::string& from, const Effect& effect) {
      const auto* send = std::get_if<SendPeer>(&effect);
      const bool is_offer = send != nullptr && send->peer == "d0-e1" &&
                            std::holds_alternative<TaskOffer>(send->message);
      if (from == kEntry && is_offer && !cut && left > 0) {
        cut = true;
        --left;
        group.CutPeers("d0-e0", "d0-e1", true);
      }
    };
    const std::string job =
        AcceptJob(group, kEntry, JobOf(JobKind::kGang, 40, 60'000));
    // The last ones may be spared, as the gang has started.
    while (group.RunUntil([&] { return cut; }, seconds(20))) {
      group.Run(milliseconds(1'200));
      group.CutPeers("d0-e0", "d0-e1", false);
      cut = false;
    }
    CHECK(StartsWithin(group, job, kCalm + kStartBound));
    CHECK(group.Violations() == "");
  }
}

// Guards against a gang whose holds are given up as one owner answers late.
TEST_CASE("A gang starts with an entry that answers late") {
  EntryGroup group({.entries = {3}, .workers = 6});
  REQUIRE(Settle(group));
  const std::string job =
      AcceptJob(group, kEntry, JobOf(JobKind::kGang, 40, 60'000));
  REQUIRE(group.RunUntil([&] { return IsAssembling(group, job); }, seconds(5)));
  group.Pause("d0-e1");
  group.Run(milliseconds(1'800));
  group.Resume("d0-e1");
  CHECK(StartsWithin(group, job, milliseconds(100)));
}

// Guards against a small job that waits beside room, as more jobs in front of
// it than one pass tries have none.
TEST_CASE("A small job starts behind many that do not fit") {
  EntryGroup group({.entries = {1}, .workers = 2});
  REQUIRE(Settle(group));
  AcceptJob(group, kEntry, JobOfSize(JobKind::kBatch, 2, 6000, 600'000));
  group.Run(seconds(1));
  for (int it = 0; it < 70; ++it) {
    group.Submit(kEntry, JobOfSize(JobKind::kBatch, 1, 8000 - it, 1'000));
  }
  group.Run(seconds(5));
  const std::string small =
      AcceptJob(group, kEntry, SmallJob(JobKind::kBatch, 1));
  CHECK(StartsWithin(group, small, kStartBound));
}

// Guards against the same behind gangs and another team's jobs, among which
// some leave the queue meanwhile.
TEST_CASE("A small job starts behind many gangs that do not fit") {
  EntryGroup group({.entries = {1}, .workers = 2});
  REQUIRE(Settle(group));
  AcceptJob(group, kEntry, JobOfSize(JobKind::kBatch, 2, 6000, 600'000));
  group.Run(seconds(1));
  std::vector<ReplyId> gangs;
  for (int it = 0; it < 300; ++it) {
    JobSpec gang = JobOf(JobKind::kGang, 5, 1'000);
    gang.team = it % 2 == 0 ? "default" : "other";
    gangs.push_back(group.Submit(kEntry, gang));
  }
  group.Run(seconds(5));
  const ReplyId small = group.Submit(kEntry, SmallJob(JobKind::kBatch, 1));
  for (std::size_t it = 0; it < 40; ++it) {
    group.QueryWork(kEntry, group.JobIdOf(gangs[it * 3]), true);
  }
  group.Run(milliseconds(500));
  REQUIRE(group.VerdictOf(small) == Verdict(Accepted{}));
  CHECK(StartsWithin(group, group.JobIdOf(small), kStartBound));
}

// Guards against tasks that wait beside room with one of their job that waits
// for a worker to itself.
TEST_CASE("An isolated task does not hold back the others of its job") {
  for (const JobKind kind : {JobKind::kBatch, JobKind::kService}) {
    EntryGroup group({.entries = {1}, .workers = 2});
    REQUIRE(Settle(group));
    AcceptJob(group, kEntry, JobOfSize(JobKind::kBatch, 2, 4000, 600'000));
    group.Run(seconds(1));
    const ReplyId reply = group.Submit(kEntry, JobOf(kind, 4, 60'000));
    auto& jobs = group.state(kEntry).jobs.jobs;
    const std::string job =
        std::find_if(jobs.begin(), jobs.end(), [](const auto& it) {
          return !it.second.recorded;
        })->first;
    Task& task = jobs.at(job).tasks[0];
    task.crashes = kCrashesBeforeIsolation;
    task.last_crash = group.now();
    CHECK(group.RunUntil(
        [&] {
          const auto status = group.StatusOf(job);
          return status && status->running == 3;
        },
        kStartBound));
    CHECK(group.VerdictOf(reply) == Verdict(Accepted{}));
    CHECK(jobs.at(job).tasks[0].state == TaskState::kQueued);
  }
}

// Guards against a small task that waits beside a peer's room: larger ones, for
// which that room is too split, are offered there again and again.
TEST_CASE("A task starts beside others for which the room is too split") {
  for (const JobKind kind : {JobKind::kBatch, JobKind::kGang}) {
    EntryGroup group({.entries = {2}, .workers = 4});
    REQUIRE(Settle(group));
    FillAll(group, [](const std::string& owner, int /*number*/) {
      return owner == kEntry ? 8000 : 4000;
    });
    group.Run(seconds(1));
    for (int it = 0; it < 12; ++it) {
      AcceptJob(group, kEntry, JobOfSize(kind, 1, 7000, 1'000));
    }
    const std::string small =
        AcceptJob(group, kEntry, JobOfSize(JobKind::kBatch, 1, 3000, 60'000));
    CHECK(StartsWithin(group, small, kStartBound));
  }
}

// Guards against a request that waits beside a free slot of another entry.
TEST_CASE("A request runs beside free slots of another entry") {
  EntryGroup group({.entries = {2}, .workers = 0, .minions = 2});
  REQUIRE(Settle(group));
  const std::int64_t slots = 2 * group.options().minion_capacity.slots;
  for (std::int64_t it = 0; it < slots; ++it) {
    Request request = DeskRequest("sleep_ms=4000;answer=first");
    request.deadline = seconds(60);
    group.Submit(kEntry, request);
    group.Run(milliseconds(100));
  }
  CHECK(group.recorder().live() == static_cast<std::uint64_t>(slots));
  Request request = DeskRequest("answer=second");
  request.deadline = seconds(60);
  const ReplyId second = group.Submit(kEntry, request);
  group.Run(seconds(4));
  CHECK(group.RunUntil([&] { return group.AnswerTo(second) != nullptr; },
                       kStartBound));
  CHECK(group.VerdictOf(second) == Verdict(Ran{.answer = "second"}));
}

}  // namespace burdockrock
