// How often an instance does the work that is due.
#include <algorithm>
#include <chrono>

#include <doctest/doctest.h>

#include "engine/event.h"
#include "engine/limits.h"
#include "engine/reducer.h"
#include "engine/state.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = seconds(1);

// Time that an event takes with the due work, and without it.
struct Costs {
  Duration due_work{0};
  Duration event{0};
};

struct Spent {
  int runs = 0;  // of the due work
  Duration in_runs{0};
  Duration longest_gap{0};  // between two starts
};

// Hands events to the instance one after the other, as fast as it takes them.
Spent RunBusy(State& state, Time from, Duration span, const Costs& costs) {
  Spent spent;
  Time now = from;
  Duration took = state.drive.cost;
  Time last = from;
  while (now < from + span) {
    Step(state, Event{.now = now, .body = TimePassed(), .took_before = took});
    const bool drove = state.drive.driven_at == now;
    took = drove ? costs.due_work : costs.event;
    if (drove) {
      ++spent.runs;
      spent.in_runs += took;
      spent.longest_gap = std::max(spent.longest_gap, now - last);
      last = now;
    }
    now += took;
  }
  return spent;
}

State NewState() {
  return MakeState({.self = {.incarnation = "n0-1", .node = "n0"}});
}

}  // namespace

// Guards against instances short of processor time that do all due work at each
// message and answer none in time.
TEST_CASE("Expensive due work leaves most of the time to messages") {
  for (const Duration cost : {milliseconds(2), milliseconds(20)}) {
    State state = NewState();
    const Spent spent = RunBusy(state, kStart, seconds(4),
                                {.due_work = cost, .event = milliseconds(1)});
    CHECK(spent.in_runs <= milliseconds(4000) * 3 / 10);
    CHECK(spent.longest_gap <= kDriveShare * cost + milliseconds(1));
  }
}

// Guards against decisions that stop while due work is slow.
TEST_CASE("The pause between two runs of due work is bounded") {
  State state = NewState();
  const Spent spent =
      RunBusy(state, kStart, seconds(8),
              {.due_work = milliseconds(200), .event = milliseconds(1)});
  CHECK(spent.longest_gap <=
        milliseconds(200) + kMaxDrivePause + milliseconds(1));
}

// Guards against an instance that stays slow after a shortage of processor
// time.
TEST_CASE("Due work is done often again once it is cheap") {
  State state = NewState();
  RunBusy(state, kStart, seconds(4),
          {.due_work = milliseconds(50), .event = milliseconds(1)});
  constexpr Costs kCheap = {.due_work = std::chrono::microseconds(200),
                            .event = std::chrono::microseconds(100)};
  RunBusy(state, kStart + seconds(5), seconds(1), kCheap);
  const Spent spent = RunBusy(state, kStart + seconds(7), seconds(1), kCheap);
  CHECK(spent.longest_gap <= kDriveInterval + milliseconds(1));
}

}  // namespace burdockrock::engine
