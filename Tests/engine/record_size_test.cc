// Tests jobs whose records could outgrow the values that the store accepts.
#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/context.h"
#include "engine/fleet.h"
#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_table.h"
#include "engine/records/record_size.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kManyOccurrences = 40'000;

// The first occurrence is due at `first`.
JobSpec Repeated(std::uint32_t repetitions,
                 Duration interval,
                 Time first = Time(0)) {
  JobSpec spec = OneStep(1);
  spec.repetitions = repetitions;
  spec.first_due_ms = ToMilliseconds(first);
  spec.interval_ms = ToMilliseconds(interval);
  return spec;
}

std::string OwnerOf(const Fleet& fleet, const std::string& job) {
  for (const std::string& it : fleet.nodes()) {
    if (fleet.IsUp(it) && fleet.state(it).jobs.contains(job)) {
      return it;
    }
  }
  return {};
}

std::size_t RecordBytes(const Fleet& fleet, const std::string& job) {
  return fleet.store.ValueOf(JobKey(job)).size();
}

// A repeated job of which the occurrences `begin` to `end` are done.
Job WithDone(std::uint32_t repetitions,
             std::uint32_t begin,
             std::uint32_t end) {
  Job job = MakeJob("j", Repeated(repetitions, seconds(1)), "q");
  for (std::uint32_t k = begin; k < end; ++k) {
    StepRun& step = StepAt(job, k, 0);
    step.tasks[0].phase = TaskPhase::kDone;
    step.done = 1;
    ++job.done_occurrences;
  }
  return job;
}

}  // namespace

// Guards against an adopter whose writes are all held up by a record that the
// store rejects: it held all occurrences of the job, also those due in days.
TEST_CASE("The adopter of a job with many occurrences stores other jobs") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(400)});
  const std::string first = "n0";
  fleet.Submit(first, "timed",
               Repeated(kManyOccurrences, seconds(5), fleet.now()));
  fleet.Run(seconds(1));
  for (int it = 0; it < 6; ++it) {
    fleet.Submit(first, fmt::format("j{}", it), OneStep(12));
  }
  fleet.Run(milliseconds(700));
  fleet.Kill(first);
  fleet.Run(milliseconds(700));
  fleet.Start(first);
  fleet.Run(seconds(15));
  CHECK(fleet.store.rejected() == 0);
  CHECK(RecordBytes(fleet, "timed") < 1000);
  for (int it = 0; it < 6; ++it) {
    CHECK(fleet.StateOf("n1", fmt::format("j{}", it)) == JobState::kCompleted);
  }
  CheckInvariants(fleet);
}

// Guards against an occurrence that runs twice or never because an adopter
// restores only what is due.
TEST_CASE(
    "Each occurrence runs once though its job is adopted again and again") {
  Fleet fleet;
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(900)});
  constexpr std::uint32_t kOccurrences = 60;
  fleet.Submit("n0", "timed",
               Repeated(kOccurrences, milliseconds(200), fleet.now()));
  fleet.Run(seconds(1));
  for (int it = 0; it < 3; ++it) {
    const std::string owner = OwnerOf(fleet, "timed");
    REQUIRE(!owner.empty());
    fleet.Kill(owner);
    fleet.Run(milliseconds(700));
    fleet.Start(owner);
    fleet.Run(seconds(4));
  }
  fleet.Run(seconds(15));
  CHECK(fleet.StateOf("n1", "timed") == JobState::kCompleted);
  CHECK(CountEnds(fleet, RunEnd::kDone) == kOccurrences);
  CheckInvariants(fleet);
}

// Guards against a record that grows with each occurrence that is done.
TEST_CASE("A record does not grow with the number of occurrences done") {
  State state;
  Effects effects;
  Context context{.state = state, .effects = effects};
  const auto bytes = [&](std::uint32_t repetitions, std::uint32_t done) {
    const Job job = WithDone(repetitions, 0, done);
    return EncodeJob(RecordOf(context, job)).size();
  };
  CHECK(bytes(100'000, 99'990) <= bytes(100'000, 1000) * 12 / 10);
  CHECK(bytes(100'000, 99'990) < 1000);
}

// Guards against a job long overdue that begins all of its occurrences at once.
TEST_CASE("The open occurrences of a job are bounded, and all are run") {
  constexpr std::size_t kSmall = 8192;
  Fleet fleet({.max_value_bytes = kSmall});
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(300)});
  constexpr std::uint32_t kOccurrences = 400;
  JobSpec spec = Repeated(kOccurrences, milliseconds(1));
  const std::size_t most =
      MaxOpenOccurrences(spec, {.max_value_bytes = kSmall});
  REQUIRE(most < kOccurrences / 4);
  fleet.Submit("n0", "overdue", spec);
  fleet.Run(seconds(1));
  CHECK(fleet.state("n0").jobs.at("overdue").open_occurrences <= most);
  CHECK(fleet.state("n0").jobs.at("overdue").occurrences_held);
  fleet.Kill("n0");
  fleet.Run(milliseconds(700));
  fleet.Start("n0");
  fleet.Run(seconds(25));
  CHECK(fleet.StateOf("n1", "overdue") == JobState::kCompleted);
  CHECK(CountEnds(fleet, RunEnd::kDone) == kOccurrences);
  CHECK(fleet.store.rejected() == 0);
  CheckInvariants(fleet);
}

// Guards against a record that outgrows the bound without an adoption: the runs
// of failing tasks are listed in it until these are done.
TEST_CASE("The record of a job with failing tasks stays within the bound") {
  constexpr std::size_t kSmall = 2048;
  constexpr std::uint32_t kTasks = 120;
  Fleet fleet({.processors_milli = 32'000, .max_value_bytes = kSmall});
  fleet.Settle();
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string&, std::uint64_t run) {
      return run == 1
                 ? RunPlan{.takes = milliseconds(300), .how = RunEnd::kFailed}
                 : RunPlan{.takes = seconds(3)};
    };
  }
  fleet.Submit("n0", "failing", OneStep(kTasks));
  fleet.Submit("n0", "other", OneStep(4));
  fleet.Run(seconds(12));
  CHECK(fleet.state("n0").totals.shortened_records > 0);
  CHECK(fleet.store.rejected() == 0);
  CHECK(fleet.StateOf("n1", "failing") == JobState::kCompleted);
  CHECK(fleet.StateOf("n1", "other") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against an earlier release that can't read the records of this one, or
// the other way round, in a rolling upgrade.
TEST_CASE(
    "A record with few done occurrences has the form of earlier releases") {
  constexpr const char* kEarlier =
      R"({"accepted_ms":0,"generation":0,"occurrences":[{"steps":["D"]},)"
      R"({"number":1,"steps":["D"]}],"owner":"n0-1","queue":"q",)"
      R"("state":"queued","write":1})";
  State state;
  state.options.self.incarnation = "n0-1";
  Effects effects;
  Context context{.state = state, .effects = effects};
  Job job = WithDone(100'000, 0, 2);
  job.generation = 0;
  CHECK(EncodeJob(RecordOf(context, job)) == kEarlier);
  const auto read = DecodeJob(kEarlier);
  REQUIRE(std::holds_alternative<JobRecord>(read));
  CHECK(std::get<JobRecord>(read) == RecordOf(context, job));
  CHECK(RecordOf(context, WithDone(100'000, 0, 2000)).done ==
        std::vector<OccurrenceRange>{{.first = 0, .last = 1999}});
}

TEST_CASE("A record above the bound is stored without lists of runs") {
  JobRecord record{.owner = "n0", .queue = "q"};
  OccurrenceRecord occurrence{.steps = {std::string(100, '1')}};
  for (std::uint32_t it = 0; it < 100; ++it) {
    occurrence.ended.push_back({.index = it, .runs = {1, 2, 3}});
  }
  record.occurrences = {occurrence};
  const Bounds bounds{.max_value_bytes = 1000};
  const BoundedRecord bounded = EncodeWithin(bounds, record);
  CHECK(bounded.shortened);
  CHECK(bounded.text.size() <= bounds.max_value_bytes);
  CHECK_FALSE(EncodeWithin(Bounds(), record).shortened);
  record.occurrences[0].ended.clear();
  CHECK(bounded.text == EncodeJob(record));
}

TEST_CASE("A job that the store can't hold is refused, and told why") {
  const JobSpec spec = OneStep(4096);
  CHECK_FALSE(CheckStoredSize(spec, Bounds()));
  const auto fault = CheckStoredSize(spec, {.max_value_bytes = 4096});
  REQUIRE(fault);
  CHECK(fault->path == "steps");
}

}  // namespace burdockrock::engine
