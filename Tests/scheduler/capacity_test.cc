// Workers whose capacity changes while they run.
#include <doctest/doctest.h>

#include "scheduler/entry_group.h"
#include "scheduler/failure_checks.h"
#include "scheduler/work_samples.h"

namespace burdockrock {

namespace {

using std::chrono::seconds;

// The lag of the platform's list, and time to read it.
constexpr Duration kListTime = seconds(5);

void SetProcessors(EntryGroup& group, std::int64_t milli) {
  for (const std::string& it : WorkersOf(group)) {
    group.SetCapacity(it, {.processors_milli = milli, .memory_mb = 16384});
  }
}

std::size_t CountLive(EntryGroup& group) {
  std::size_t n = 0;
  for (const std::string& it : WorkersOf(group)) {
    n += group.worker(it).live();
  }
  return n;
}

}  // namespace

// Guards against starts by the room that a worker had before it shrank, and
// against room that stays unused after it has grown again.
TEST_CASE(
    "Uses no more and no less than workers have as they shrink and grow") {
  EntryGroup group({.entries = {3}, .workers = 4});
  REQUIRE(Settle(group));
  const std::string first =
      AcceptJob(group, "d0-e0", JobOf(JobKind::kBatch, 8, 20'000));
  group.Run(seconds(1));
  SetProcessors(group, 3000);
  group.Run(kListTime);
  const std::string second =
      AcceptJob(group, "d0-e1", JobOf(JobKind::kBatch, 40, 20'000));
  group.Run(seconds(5));
  CHECK(Overcommits(group) == 0);
  CHECK(CountLive(group) >= 8);
  SetProcessors(group, 8000);
  group.Run(kListTime);
  CHECK(CountLive(group) == 32);
  CHECK(RunUntilDone(group, first, seconds(120)));
  CHECK(RunUntilDone(group, second, seconds(240)));
  CHECK(Overcommits(group) == 0);
}

}  // namespace burdockrock
