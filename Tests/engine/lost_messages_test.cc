// Tests that steps start soon after messages between instances were lost.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Once no messages are lost, nothing waits longer beside room.
constexpr Duration kWaitBound = seconds(3);
constexpr Duration kLossyTime = seconds(20);
constexpr Duration kCalmTime = seconds(10);
constexpr Duration kTaskTime = milliseconds(1500);
// Lasting jobs are cancelled after this long.
constexpr Duration kLastingTime = seconds(5);
constexpr AdvicePolicy kLong = {.decision = milliseconds(494),
                                .each = milliseconds(7),
                                .valid = milliseconds(2500)};
constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kTaskRoom = 13'450;
constexpr std::uint32_t kWidth = 13;
constexpr std::uint32_t kSteps = 3;
constexpr std::size_t kInstances = 9;
constexpr std::size_t kWorkers = 90;
constexpr std::size_t kJobsAtOnce = 6;
// Of a hundred workers.
constexpr std::size_t kAllowed = 35;

enum class Shape { kPlain, kGang, kSpread, kLasting };

JobSpec Make(Shape shape) {
  JobSpec spec = Chain(shape == Shape::kLasting ? 1 : kSteps, kWidth);
  for (StepSpec& it : spec.steps) {
    it.each = {.processors_milli = kTaskRoom};
    it.estimate = kTaskTime;
    it.gang = shape == Shape::kGang;
    it.spread = shape == Shape::kSpread ? 1 : 0;
    it.lasting = shape == Shape::kLasting;
  }
  return spec;
}

// Keeps some jobs at work in a fleet with room for twice as many, and measures
// how long they wait.
class Work {
 public:
  Work(Fleet& fleet, Shape shape) : fleet_(fleet), shape_(shape) {}

  // Runs for `span`. Returns the longest time in it for which a job had nothing
  // running, or a lasting one not all of its tasks.
  Duration Run(Duration span) {
    constexpr Duration kSample = milliseconds(50);
    for (auto& [job, it] : jobs_) {
      it.waits_since = fleet_.now();
    }
    longest_ = Duration(0);
    worst_.clear();
    for (const Time end = fleet_.now() + span; fleet_.now() < end;) {
      EndJobs();
      SubmitJobs();
      fleet_.Run(kSample);
      Measure();
    }
    return longest_;
  }

  const std::string& worst() const { return worst_; }

 private:
  struct OpenJob {
    std::string owner{};
    Time submitted_at{0};
    Time waits_since{0};
  };

  bool IsOver(const std::string& job, const OpenJob& it) {
    if (shape_ == Shape::kLasting) {
      const bool over = fleet_.now() >= it.submitted_at + kLastingTime;
      if (over) {
        fleet_.Cancel(it.owner, job);
      }
      return over;
    }
    const auto& jobs = fleet_.state(it.owner).jobs;
    const auto at = jobs.find(job);
    return at != jobs.end() && at->second.state == JobState::kCompleted;
  }

  void EndJobs() {
    std::erase_if(
        jobs_, [this](const auto& it) { return IsOver(it.first, it.second); });
  }

  void SubmitJobs() {
    if (jobs_.size() >= kJobsAtOnce) {
      return;
    }
    const std::string job = fmt::format("job{}", submitted_);
    const std::string owner = fmt::format("n{}", submitted_ % kInstances);
    ++submitted_;
    fleet_.Submit(owner, job, Make(shape_));
    jobs_[job] = {.owner = owner,
                  .submitted_at = fleet_.now(),
                  .waits_since = fleet_.now()};
  }

  void Measure() {
    std::map<std::string, std::uint32_t> running;
    for (const SeenRun& it : fleet_.seen) {
      if (it.began <= fleet_.now() && it.ended > fleet_.now()) {
        ++running[it.task.substr(0, it.task.find('.'))];
      }
    }
    const std::uint32_t enough = shape_ == Shape::kLasting ? kWidth : 1;
    for (auto& [job, it] : jobs_) {
      if (running[job] >= enough) {
        it.waits_since = fleet_.now();
      } else if (fleet_.now() - it.waits_since > longest_) {
        longest_ = fleet_.now() - it.waits_since;
        worst_ = job;
      }
    }
  }

  Fleet& fleet_;
  Shape shape_;
  std::map<std::string, OpenJob> jobs_;
  std::size_t submitted_ = 0;
  Duration longest_{0};
  std::string worst_;
};

FleetOptions Cell(std::uint64_t seed) {
  return {.instances = kInstances,
          .workers = kWorkers,
          .processors_milli = kCapacity,
          .advice = true,
          .seed = seed,
          .timers = true};
}

void SetUp(Fleet& fleet, Shape shape) {
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
    return std::hash<std::string>()(step + "@" + worker) % 100 < kAllowed;
  };
  fleet.advice_duration = [](const AdviceRequest& it) {
    return kLong.decision +
           kLong.each * static_cast<std::int64_t>(it.workers.size());
  };
  PlanAll(fleet, {.takes = kTaskTime, .endless = shape == Shape::kLasting});
  fleet.Settle();
}

void LoseOneIn(Fleet& fleet, std::uint32_t each, std::uint64_t seed) {
  fleet.is_cut = [each, random = std::mt19937_64(seed)](
                     const std::string& from, const std::string& to) mutable {
    return from != to && random() % each == 0;
  };
}

void LoseNone(Fleet& fleet) {
  fleet.is_cut = [](const std::string&, const std::string&) { return false; };
}

// Loses one message in `each`, and then none.
void CheckCalmAfterLosses(Shape shape, std::uint32_t each) {
  for (const std::uint64_t seed : {1, 2}) {
    Fleet fleet(Cell(seed));
    SetUp(fleet, shape);
    Work work(fleet, shape);
    LoseOneIn(fleet, each, seed);
    const Duration lossy = work.Run(kLossyTime);
    LoseNone(fleet);
    const Duration calm = work.Run(kCalmTime);
    INFO("one in ", each, ", seed ", seed, ": ", work.worst(), " waited ",
         ToMilliseconds(calm), " ms; before ", ToMilliseconds(lossy), " ms");
    CHECK(calm <= kWaitBound);
    CheckInvariants(fleet);
  }
}

}  // namespace

// Guards against steps that wait long after messages were lost.
TEST_CASE("Plain steps start soon after losses") {
  for (const std::uint32_t each : {100, 30, 10}) {
    CheckCalmAfterLosses(Shape::kPlain, each);
  }
}

TEST_CASE("Gangs start soon after losses") {
  for (const std::uint32_t each : {100, 30, 10}) {
    CheckCalmAfterLosses(Shape::kGang, each);
  }
}

TEST_CASE("Spread steps start soon after losses") {
  for (const std::uint32_t each : {100, 30, 10}) {
    CheckCalmAfterLosses(Shape::kSpread, each);
  }
}

TEST_CASE("Lasting steps start soon after losses") {
  for (const std::uint32_t each : {100, 30, 10}) {
    CheckCalmAfterLosses(Shape::kLasting, each);
  }
}

// Guards against a step that waits for the whole slack of a long query when its
// reply is lost, although the member that lost it is heard.
TEST_CASE("A lost advice reply costs a step less than three seconds") {
  Fleet fleet(Cell(1));
  SetUp(fleet, Shape::kPlain);
  // The first request that goes to another member gets no reply.
  std::string lost_at;
  bool lose_next = false;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    const bool is_reply = std::holds_alternative<AdviceReply>(send.message);
    lose_next = is_reply && lost_at.empty() && from != send.address;
    if (lose_next) {
      lost_at = from;
    }
  };
  fleet.is_cut = [&](const std::string&, const std::string&) {
    return lose_next;
  };
  Work work(fleet, Shape::kPlain);
  const Duration waited = work.Run(seconds(10));
  INFO(work.worst(), " waited ", ToMilliseconds(waited), " ms");
  CHECK_FALSE(lost_at.empty());
  CHECK(waited <= kWaitBound);
}

// Guards against calls to the service for requests that arrive again.
TEST_CASE("An advice request that arrives twice makes one call") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  std::vector<std::string> steps;
  fleet.advice_duration = [&](const AdviceRequest& it) {
    steps.push_back(it.step);
    return milliseconds(100);
  };
  const auto request = [&](std::uint64_t call) {
    fleet.DeliverPeerMessage(
        "n0", "n1-1",
        PeerAdviceRequest{.call = call,
                          .step = fmt::format("j{}.0.0", call),
                          .expected = milliseconds(100),
                          .workers = {"w0-1"}});
  };
  request(1);
  request(2);
  fleet.Run(milliseconds(50));  // one call is in flight, the other waits
  request(1);
  request(2);
  fleet.Run(milliseconds(400));  // both are answered
  request(1);
  fleet.Run(milliseconds(400));
  CHECK(fmt::format("{}", fmt::join(steps, " ")) == "j1.0.0 j2.0.0");
}

// Guards against a call whose sender has been told that it is not made.
TEST_CASE("A declined advice request that arrives again makes no call") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  std::vector<std::string> steps;
  fleet.advice_duration = [&](const AdviceRequest& it) {
    steps.push_back(it.step);
    return milliseconds(300);
  };
  const auto request = [&](std::uint64_t call) {
    fleet.DeliverPeerMessage(
        "n0", "n1-1",
        PeerAdviceRequest{.call = call,
                          .step = fmt::format("j{}.0.0", call),
                          .expected = milliseconds(300),
                          .max_wait = milliseconds(100),
                          .workers = {"w0-1"}});
  };
  request(1);
  fleet.Run(milliseconds(50));
  request(2);  // would wait for 250 ms
  fleet.Run(milliseconds(500));
  request(2);
  fleet.Run(milliseconds(500));
  CHECK(fmt::format("{}", fmt::join(steps, " ")) == "j1.0.0");
}

}  // namespace burdockrock::engine
