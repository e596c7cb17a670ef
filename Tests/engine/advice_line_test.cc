// The order in which steps get advice, and tickets that are valid when they are
// used.
#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr AdvicePolicy kLong = {.decision = milliseconds(500),
                                .each = milliseconds(8),
                                .valid = milliseconds(2000)};
constexpr std::size_t kWaiting = 80;
// Of the time in which its own steps wait for a call, an instance makes none
// for this share at most: one of nine is kept free for short calls.
constexpr double kMaxIdleShare = 0.15;

// Service time of a call that names so many workers.
Duration TimeFor(std::size_t workers) {
  return kLong.decision + kLong.each * static_cast<std::int64_t>(workers);
}

// Number of starts that were refused because their ticket had expired.
std::size_t CountBadTickets(const Fleet& fleet) {
  const std::string cause = WorkerRefusalName(WorkerRefusalKind::kBadTicket);
  return static_cast<std::size_t>(
      std::count_if(fleet.log.begin(), fleet.log.end(), [&](const LogLine& it) {
        return it.number == EventNumber::kStartRefused &&
               std::any_of(it.fields.begin(), it.fields.end(),
                           [&](const auto& f) { return f.value == cause; });
      }));
}

// The third run of jobs `bad...` is done, the first two crash their workers.
// The others take `takes`.
void PlanTwoCrashes(Fleet& fleet, Duration takes) {
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [&fleet, takes](const std::string& task,
                                            std::uint64_t) {
      if (!task.starts_with("bad")) {
        return RunPlan{.takes = takes};
      }
      const auto runs =
          std::count_if(fleet.seen.begin(), fleet.seen.end(),
                        [&](const SeenRun& run) { return run.task == task; });
      return RunPlan{.takes = milliseconds(300), .crashes = runs < 2};
    };
  }
}

void RestartAll(Fleet& fleet) {
  const auto nodes = fleet.nodes();
  for (const std::string& it : nodes) {
    fleet.Kill(it);
  }
  for (const std::string& it : nodes) {
    fleet.Start(it);
  }
}

// Submits kWaiting jobs of `tasks` tasks and of equal priority, of which none
// can start, as `q...`, and restarts all instances.
void AdoptWaiting(Fleet& fleet, std::uint32_t tasks = 1) {
  fleet.SetQueue({.name = "q",
                  .host = "h",
                  .prefix = "/q/",
                  .service = "s",
                  .priority = 1,
                  .max_attempts = 3,
                  .stretch = 2.2,
                  .advice = kLong});
  fleet.tickets_valid = kLong.valid;
  fleet.advice_duration = [](const AdviceRequest& it) {
    return TimeFor(it.workers.size());
  };
  fleet.Settle();
  fleet.allows = [](const std::string& step, const std::string&) {
    return !step.starts_with("q");
  };
  for (std::size_t it = 0; it < kWaiting; ++it) {
    fleet.Submit(fmt::format("n{}", it % fleet.nodes().size()),
                 fmt::format("q{}", it), OneStep(tasks, 2000));
  }
  fleet.Run(milliseconds(600));
  RestartAll(fleet);
  fleet.allows = [](const std::string& step, const std::string& worker) {
    return std::hash<std::string>()(step + worker) % 10 < 4;
  };
}

// Time from `since` to the last first run of the jobs `q...`, or kForever.
Duration LastStart(const Fleet& fleet, Time since) {
  std::map<std::string, Time> first;
  for (const SeenRun& it : fleet.seen) {
    if (it.task.starts_with("q")) {
      first.try_emplace(it.task, it.began);
    }
  }
  Duration last{0};
  for (const auto& [task, began] : first) {
    last = std::max(last, began - since);
  }
  return first.size() == kWaiting ? last : kForever;
}

// Time that one call for each of so many steps takes at the four of six
// instances that make long calls.
Duration TimeForAll(std::size_t steps) {
  return TimeFor(12) * static_cast<std::int64_t>(steps) / 4;
}

// Shares of the time in which steps of an instance waited in its line.
struct LineUse {
  std::size_t samples = 0;
  std::size_t idle = 0;  // of these, in which that instance made no call

  double idle_share() const {
    return static_cast<double>(idle) /
           static_cast<double>(std::max<std::size_t>(samples, 1));
  }
};

void Sample(const Fleet& fleet, LineUse& use) {
  for (const std::string& it : fleet.nodes()) {
    const AdviceState& advice = fleet.state(it).advice;
    if (advice.line_checked_at == kForever) {
      continue;
    }
    ++use.samples;
    use.idle += !advice.in_flight && advice.call_queue.empty() ? 1 : 0;
  }
}

}  // namespace

// Guards against a task that is to run alone and whose ticket expires while its
// worker is emptied: it is refused and starts over.
TEST_CASE("A task waits with a valid ticket for its worker to be emptied") {
  Fleet fleet({.workers = 4, .advice = true});
  fleet.Settle();
  PlanTwoCrashes(fleet, seconds(5));
  fleet.Submit("n0", "bad", OneStep(1));
  for (int it = 0; it < 60; ++it) {
    fleet.Submit(fmt::format("n{}", it % 3), fmt::format("j{}", it),
                 OneStep(4));
    fleet.Run(milliseconds(300));
  }
  fleet.Run(seconds(20));
  CHECK(CountRuns(fleet, "bad") == 3);
  CHECK(CountBadTickets(fleet) == 0);
  CheckInvariants(fleet);
}

// Guards against tickets that expire before a task may start, as the runs of an
// adopted job are not known yet.
TEST_CASE("No query for advice is sent while a job recovers") {
  Fleet fleet({.workers = 9, .advice = true});
  fleet.Settle();
  PlanAll(fleet, {.takes = seconds(8)});
  for (int it = 0; it < 40; ++it) {
    fleet.Submit(fmt::format("n{}", it % 3), fmt::format("j{}", it),
                 OneStep(4));
  }
  fleet.Run(seconds(2));
  std::set<std::string> early;
  std::size_t queries = 0;
  fleet.step = [&](const std::string&, State& state, const Event& event) {
    Effects effects = Step(state, event);
    for (const auto& [call, it] : state.advice.queries) {
      ++queries;
      if (state.jobs.at(it.step.job).recovering) {
        early.insert(it.step.job);
      }
    }
    return effects;
  };
  RestartAll(fleet);
  fleet.Run(seconds(20));
  CHECK(queries > 0);
  CHECK(early.size() == 0);
  CHECK(CountEnds(fleet, RunEnd::kDone) >= 80);
  CheckInvariants(fleet);
}

// Guards against steps that lose their place each time that a query is given up
// or its tickets expire, while later ones are answered.
TEST_CASE("Adopted steps get their turn for advice beside new ones") {
  Fleet fleet({.instances = 6, .workers = 30, .advice = true});
  PlanAll(fleet, {.takes = seconds(1)});
  AdoptWaiting(fleet);
  const Time since = fleet.now();
  for (int it = 0; it < 120; ++it) {
    fleet.Submit(fmt::format("n{}", it % 6), fmt::format("new{}", it),
                 OneStep(1, 2000));
    fleet.Run(milliseconds(200));
  }
  fleet.Run(seconds(60));
  const Duration last = LastStart(fleet, since);
  INFO(ToMilliseconds(last), " ms; all together need ",
       ToMilliseconds(TimeForAll(kWaiting)), " ms");
  CHECK(last <= 2 * TimeForAll(kWaiting));
}

// The same beside lasting steps whose tasks end and are to run again.
TEST_CASE(
    "Adopted steps get their turn beside lasting steps that keep asking") {
  constexpr std::size_t kLasting = 24;
  Fleet fleet({.instances = 6, .workers = 30, .advice = true});
  PlanAll(fleet, {.takes = seconds(1)});
  AdoptWaiting(fleet);
  const Time since = fleet.now();
  fleet.Run(seconds(2));
  for (std::size_t it = 0; it < kLasting; ++it) {
    JobSpec spec = OneStep(2, 1000);
    spec.steps[0].lasting = true;
    fleet.Submit(fmt::format("n{}", it % 6), fmt::format("serve{}", it), spec);
  }
  fleet.Run(seconds(90));
  const Duration last = LastStart(fleet, since);
  const Duration all = TimeForAll(kWaiting + kLasting);
  INFO(ToMilliseconds(last), " ms; all together need ", ToMilliseconds(all));
  CHECK(last <= 2 * all);
}

// Guards against ready steps that wait beside room for calls while instances
// that are kept free for short calls make none.
TEST_CASE("All instances make long calls while steps wait for them") {
  Fleet fleet({.instances = 9, .workers = 45, .advice = true});
  PlanAll(fleet, {.takes = seconds(1)});
  AdoptWaiting(fleet);
  const Time since = fleet.now();
  LineUse use;
  fleet.RunUntil(
      [&] {
        Sample(fleet, use);
        return LastStart(fleet, since) != kForever;
      },
      seconds(60));
  INFO("idle for ", use.idle, " of ", use.samples, " samples");
  CHECK(use.samples > 0);
  CHECK(use.idle_share() <= kMaxIdleShare);
  CHECK(LastStart(fleet, since) != kForever);
  CheckInvariants(fleet);
}

// Guards against calls that name workers whose room has gone while the query
// waited: their tickets expire unused.
TEST_CASE("Calls name workers that have room, also behind a long line") {
  constexpr std::int64_t kSlots = 4;
  Fleet fleet({.instances = 6, .workers = 60, .advice = true});
  PlanAll(fleet, {.takes = seconds(6)});
  AdoptWaiting(fleet, 8);
  std::size_t calls = 0;
  std::size_t late = 0;
  fleet.advice_duration = [&](const AdviceRequest& it) {
    std::map<std::string, std::int64_t> used;
    for (const SeenRun& run : fleet.seen) {
      used[run.worker] += run.ended > fleet.now() ? 1 : 0;
    }
    std::int64_t full = 0;
    for (const std::string& worker : it.workers) {
      full += used[worker] >= kSlots ? 1 : 0;
    }
    ++calls;
    late += full * 2 > static_cast<std::int64_t>(it.workers.size()) ? 1 : 0;
    return TimeFor(it.workers.size());
  };
  fleet.Run(seconds(40));
  INFO("in ", late, " of ", calls, " calls most named workers were full");
  CHECK(calls > 0);
  CHECK(late * 20 <= calls);
}

}  // namespace burdockrock::engine
