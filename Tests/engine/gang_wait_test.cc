// Tests that a gang starts soon after there is room for all of it.
#include <algorithm>
#include <cstdint>
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

// A gang whose turn has come starts within this time if there is room.
constexpr Duration kStartBound = seconds(3);
constexpr AdvicePolicy kLong = {.decision = milliseconds(494),
                                .each = milliseconds(7),
                                .valid = milliseconds(2500)};
constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kTaskRoom = 13'450;
constexpr std::uint32_t kWidth = 12;
// Tasks for which room counts as enough for the gang.
constexpr std::int64_t kTwice = 24;
constexpr std::size_t kInstances = 9;
constexpr std::size_t kWorkers = 90;
// Of a hundred workers.
constexpr std::size_t kAllowed = 35;

JobSpec Gang(std::uint32_t width) {
  JobSpec spec = OneStep(width, kTaskRoom);
  spec.steps[0].gang = true;
  spec.steps[0].estimate = seconds(6);
  return spec;
}

// The advice service's policy, which does not change.
bool Allows(const std::string& step, const std::string& worker) {
  return std::hash<std::string>()(step + "@" + worker) % 100 < kAllowed;
}

std::string StepOf(const std::string& job) {
  return job + ".0.0";
}

// Work that comes and goes all over the cell.
class Load {
 public:
  Load(Fleet& fleet, Duration every, std::uint32_t tasks)
      : fleet_(fleet), every_(every), tasks_(tasks) {
    Next();
  }

  void Stop() { stopped_ = true; }

 private:
  void Next() {
    if (stopped_) {
      return;
    }
    fleet_.Submit(fmt::format("n{}", jobs_ % kInstances),
                  fmt::format("load{}", jobs_), OneStep(tasks_, kTaskRoom));
    ++jobs_;
    fleet_.RunLater(every_, [this] { Next(); });
  }

  Fleet& fleet_;
  Duration every_;
  std::uint32_t tasks_;
  std::size_t jobs_ = 0;
  bool stopped_ = false;
};

void SetUp(Fleet& fleet) {
  fleet.SetQueue({.name = "q",
                  .host = "h",
                  .prefix = "/q/",
                  .service = "s",
                  .priority = 1,
                  .max_attempts = 3,
                  .stretch = 2.2,
                  .advice = kLong});
  fleet.tickets_valid = kLong.valid;
  fleet.allows = [](const std::string& step, const std::string& worker) {
    return step.starts_with("load") || Allows(step, worker);
  };
  // Calls for the load take no time, so that only the gangs' calls count.
  fleet.advice_duration = [](const AdviceRequest& it) {
    return it.step.starts_with("load")
               ? Duration(milliseconds(1))
               : kLong.decision +
                     kLong.each * static_cast<std::int64_t>(it.workers.size());
  };
  PlanAll(fleet, {.takes = milliseconds(800)});
  for (const std::string& it : fleet.worker_names()) {
    fleet.worker(it).plan = [](const std::string& task, std::uint64_t) {
      return RunPlan{.takes = task.starts_with("load") ? milliseconds(800)
                                                       : seconds(6)};
    };
  }
  fleet.Settle();
}

FleetOptions Cell(std::uint64_t seed) {
  return {.instances = kInstances,
          .workers = kWorkers,
          .processors_milli = kCapacity,
          .advice = true,
          .seed = seed,
          .timers = true};
}

// Tasks of the gang for which the workers that may run it have room now.
std::int64_t RoomFor(const Fleet& fleet, const std::string& job) {
  std::map<std::string, std::int64_t> used;
  for (const SeenRun& it : fleet.seen) {
    if (it.began <= fleet.now() && it.ended > fleet.now()) {
      used[it.worker] += kTaskRoom;
    }
  }
  std::int64_t room = 0;
  for (const std::string& it : fleet.worker_names()) {
    if (Allows(StepOf(job), it)) {
      room += (kCapacity - used[it]) / kTaskRoom;
    }
  }
  return room;
}

// How long a gang has waited.
struct GangWait {
  std::string job{};
  Time roomless{0};            // when room for it twice over was last missing
  Duration beside_room{0};     // the longest time without such a moment
  Duration waited = kForever;  // from the submission to the last start
};

// Submits gangs at all instances and runs until all of them have started, for
// `span` at most.
std::vector<GangWait> RunGangs(Fleet& fleet, std::size_t count, Duration span) {
  constexpr Duration kSample = milliseconds(50);
  const Time since = fleet.now();
  std::vector<GangWait> gangs;
  for (std::size_t it = 0; it < count; ++it) {
    gangs.push_back({.job = fmt::format("gang{}", it), .roomless = since});
    fleet.Submit(fmt::format("n{}", it % kInstances), gangs.back().job,
                 Gang(kWidth));
  }
  std::size_t started = 0;
  while (started < count && fleet.now() - since < span) {
    fleet.Run(kSample);
    for (GangWait& it : gangs) {
      if (it.waited != kForever) {
        continue;
      }
      if (CountRuns(fleet, it.job) >= kWidth) {
        it.waited = fleet.now() - since;
        ++started;
        continue;
      }
      if (RoomFor(fleet, it.job) < kTwice) {
        it.roomless = fleet.now();
      }
      it.beside_room = std::max(it.beside_room, fleet.now() - it.roomless);
    }
  }
  return gangs;
}

}  // namespace

// Guards against a gang whose tickets lapse, or whose room is taken, before it
// has both for all of its tasks.
TEST_CASE("A gang starts while work comes and goes beside it") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    Fleet fleet(Cell(seed));
    SetUp(fleet);
    Load load(fleet, milliseconds(52), 8);
    fleet.Run(seconds(3));
    for (const GangWait& it : RunGangs(fleet, 3, seconds(30))) {
      INFO(it.job, " waited ", ToMilliseconds(it.waited), " ms, ",
           ToMilliseconds(it.beside_room), " ms beside room");
      CHECK(it.waited != kForever);
      CHECK(it.beside_room <= kStartBound);
    }
    load.Stop();
    fleet.Run(seconds(10));
    CheckInvariants(fleet);
  }
}

// Guards against gangs that hold parts of the room that each of them needs.
TEST_CASE("Gangs that compete for room all start") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    Fleet fleet(Cell(seed));
    SetUp(fleet);
    for (const GangWait& it : RunGangs(fleet, 9, seconds(60))) {
      INFO(it.job, " waited ", ToMilliseconds(it.waited), " ms, ",
           ToMilliseconds(it.beside_room), " ms beside room");
      CHECK(it.waited != kForever);
      CHECK(it.beside_room <= kStartBound);
    }
    CheckInvariants(fleet);
  }
}

// Guards against a gang that waits for one owner of its workers, or begins from
// the start because of it.
TEST_CASE("A gang starts beside an instance that does not answer") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    Fleet fleet(Cell(seed));
    SetUp(fleet);
    Load load(fleet, milliseconds(150), 8);
    fleet.Run(seconds(2));
    fleet.is_cut = [](const std::string& from, const std::string& to) {
      return from != to && (from == "n8" || to == "n8");
    };
    for (const GangWait& it : RunGangs(fleet, 3, seconds(20))) {
      INFO(it.job, " waited ", ToMilliseconds(it.waited), " ms, ",
           ToMilliseconds(it.beside_room), " ms beside room");
      CHECK(it.beside_room <= kStartBound);
    }
    load.Stop();
    fleet.is_cut = [](const std::string&, const std::string&) { return false; };
    fleet.Run(seconds(20));
    CheckInvariants(fleet);
  }
}

// Guards against a second run of a gang whose start was commanded: its members
// keep the run number when a booking is given up, and late reports on that
// booking look like reports on the run.
TEST_CASE("Late reports on a booking that was given up change nothing") {
  Fleet fleet(Cell(1));
  SetUp(fleet);
  fleet.Submit("n0", "gang", Gang(kWidth));
  REQUIRE(fleet.RunUntil([&] { return CountRuns(fleet, "gang") >= kWidth; },
                         kStartBound));
  const Task& task =
      fleet.state("n0").jobs.at("gang").occurrences[0].steps[0].tasks[0];
  const auto& view = fleet.state("n0").view;
  const auto other =
      std::find_if(view.begin(), view.end(),
                   [&](const auto& it) { return it.first != task.worker; });
  fleet.DeliverPeerMessage("n0", "n1",
                           RunReports{.runs = {{.task = "gang.0.0.0",
                                                .run = task.run,
                                                .worker = other->first,
                                                .state = RunState::kAbsent}}});
  fleet.DeliverPeerMessage("n0", "n1",
                           EndReports{.ends = {{.worker = other->first,
                                                .task = "gang.0.0.0",
                                                .run = task.run,
                                                .how = RunEnd::kLapsed}}});
  fleet.Run(seconds(12));
  CHECK(CountRuns(fleet, "gang") == kWidth);
  CHECK(fleet.StateOf("n0", "gang") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// Guards against a gang whose tickets lapse while it is booked, as the advice
// service takes longer than its policy says.
TEST_CASE("A gang starts with tickets for the workers that it has booked") {
  Fleet fleet(Cell(1));
  SetUp(fleet);
  std::size_t refused = 0;
  Load load(fleet, milliseconds(60), 8);
  fleet.Run(seconds(3));
  for (const GangWait& it : RunGangs(fleet, 6, seconds(30))) {
    CHECK(it.waited != kForever);
  }
  for (const LogLine& it : fleet.log) {
    refused += it.number == EventNumber::kStartRefused ? 1 : 0;
  }
  CHECK(refused == 0);
  load.Stop();
  fleet.Run(seconds(10));
  CheckInvariants(fleet);
}

// Guards against a gang that no rack can hold and that waits for one for ever:
// on several racks it is slower.
TEST_CASE("A gang for one rack starts on several if none has room for it") {
  FleetOptions options = Cell(1);
  options.workers_per_rack = 5;
  Fleet fleet(options);
  SetUp(fleet);
  JobSpec spec = Gang(kWidth);
  spec.steps[0].same_rack = true;
  fleet.Submit("n0", "wide", spec);
  CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "wide") >= kWidth; },
                       kStartBound));
  fleet.Run(seconds(10));
  CHECK(fleet.StateOf("n0", "wide") == JobState::kCompleted);
  CheckInvariants(fleet);
}

// The same gang prefers one rack that has room.
TEST_CASE("A gang for one rack starts on one if it has room") {
  FleetOptions options = Cell(1);
  options.workers_per_rack = 30;
  Fleet fleet(options);
  SetUp(fleet);
  JobSpec spec = Gang(kWidth);
  spec.steps[0].same_rack = true;
  fleet.Submit("n0", "narrow", spec);
  CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "narrow") >= kWidth; },
                       kStartBound));
  std::set<std::size_t> racks;
  for (const SeenRun& it : fleet.seen) {
    racks.insert(std::stoul(it.worker.substr(1)) / options.workers_per_rack);
  }
  CHECK(racks.size() == 1);
}

// Guards against a gang whose start was lost and whose bookings last: nothing
// would notice.
TEST_CASE("A gang whose start is lost is started again") {
  for (const std::uint32_t width : {1U, kWidth}) {
    CAPTURE(width);
    Fleet fleet(Cell(1));
    SetUp(fleet);
    fleet.allows = [&](const std::string&, const std::string& worker) {
      return !fleet.state("n0").owned.contains(worker);
    };
    Time lost_until{0};
    fleet.on_peer = [&](const std::string&, const SendPeer& send) {
      const auto* offer = std::get_if<TaskOffer>(&send.message);
      if (offer != nullptr && !offer->book_only && lost_until == Time(0) &&
          offer->job == "gang") {
        lost_until = fleet.now() + milliseconds(20);
      }
    };
    fleet.is_cut = [&](const std::string& from, const std::string& to) {
      return from != to && fleet.now() < lost_until;
    };
    fleet.Submit("n0", "gang", Gang(width));
    CHECK(fleet.RunUntil([&] { return CountRuns(fleet, "gang") >= width; },
                         kStartBound));
    fleet.Run(seconds(10));
    CHECK(lost_until != Time(0));
    CHECK(CountRuns(fleet, "gang") == width);
    CHECK(fleet.StateOf("n0", "gang") == JobState::kCompleted);
    CheckInvariants(fleet);
  }
}

}  // namespace burdockrock::engine
