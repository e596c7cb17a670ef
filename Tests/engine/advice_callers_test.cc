// Which instances make the calls for advice when some of them are busy, gone or
// out of reach.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/advice/advice_turns.h"
#include "engine/fleet.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr AdvicePolicy kLong = {.decision = milliseconds(700),
                                .each = milliseconds(10),
                                .valid = milliseconds(2000)};
constexpr AdvicePolicy kShort = {.decision = milliseconds(70),
                                 .each = milliseconds(1),
                                 .valid = milliseconds(2000)};

QueuePolicy QueueOf(const AdvicePolicy& advice) {
  return {.name = "q",
          .host = "h",
          .prefix = "/q/",
          .service = "s",
          .priority = 1,
          .max_attempts = 3,
          .stretch = 2.2,
          .advice = advice};
}

// From handing in to the first tickets, of each job.
class AdviceTimes {
 public:
  explicit AdviceTimes(Fleet& fleet) : fleet_(fleet) {}

  void Submit(const std::string& node,
              const std::string& queue,
              bool lasting = false) {
    const std::string job = fmt::format("{}{}", queue, submitted_.size());
    JobSpec spec = OneStep(1, 100);
    spec.steps[0].lasting = lasting;
    submitted_[job] = {.at = fleet_.now(), .node = node};
    fleet_.SendRequest(node, {.query = CallerQuery::kSubmit,
                              .host = "h",
                              .path = fmt::format("/{}/{}", queue, job),
                              .spec = spec});
  }

  std::vector<Duration> Of(const std::string& queue) const {
    std::vector<Duration> spans;
    for (const auto& [job, it] : submitted_) {
      if (!job.starts_with(queue)) {
        continue;
      }
      const auto& jobs = fleet_.state(it.node).jobs;
      const auto found = jobs.find(job);
      const Time advised =
          found == jobs.end()
              ? kForever
              : found->second.occurrences.at(0).steps.at(0).advised_at;
      spans.push_back(advised == kForever ? kForever : advised - it.at);
    }
    return spans;
  }

 private:
  struct Submitted {
    Time at{0};
    std::string node{};
  };

  Fleet& fleet_;
  std::map<std::string, Submitted> submitted_{};
};

double ShareWithin(const std::vector<Duration>& spans, Duration most) {
  const auto n = std::count_if(spans.begin(), spans.end(),
                               [&](Duration it) { return it <= most; });
  return static_cast<double>(n) / static_cast<double>(spans.size());
}

}  // namespace

// During 6 s for which one of three domains was cut off, 395 questions for
// advice were given up, 303 of them put to members in the cut domain: 250 had
// gone to the few instances that make short calls, all of which were in that
// domain, as the first by name. Each question waited 1.5 s beyond its time
// before it was asked anew, and again for a member that had been silent for 2
// to 4 s. Here the cut members stay registered.
TEST_CASE("Advice comes soon though a domain is cut off") {
  Fleet fleet({.domains = {"a", "a", "a", "b", "b", "b", "c", "c", "c"},
               .instances = 9,
               .workers = 18,
               .advice = true});
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(300)});
  const auto is_cut_off = [](const std::string& node) { return node < "n3"; };
  fleet.is_cut = [&](const std::string& from, const std::string& to) {
    return is_cut_off(from) != is_cut_off(to);
  };
  AdviceTimes times(fleet);
  for (int it = 0; it < 60; ++it) {
    times.Submit(fmt::format("n{}", 3 + it % 6), "q");
    fleet.Run(milliseconds(50));
  }
  fleet.Run(seconds(5));
  const auto spans = times.Of("q");
  CHECK(ShareWithin(spans, milliseconds(600)) == 1);
  CHECK(ShareWithin(spans, milliseconds(150)) >= 0.8);
}

// 225 of 813 questions that were given up had been put to an instance that had
// gone meanwhile; 18 of 30 had lost power for half a second and were back under
// new names. The asker knew that at once and waited for 1.5 s all the same.
TEST_CASE("A question is asked anew as soon as its caller has gone") {
  Fleet fleet({.instances = 9, .workers = 18, .advice = true});
  fleet.SetQueue(QueueOf(kLong));
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(300)});
  fleet.advice_duration = [](const AdviceRequest&) {
    return milliseconds(800);
  };
  std::string asker;
  std::string caller;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    if (caller.empty() && std::holds_alternative<AdviceAsk>(send.message)) {
      asker = from;
      caller = send.address;
    }
  };
  AdviceTimes times(fleet);
  for (const std::string& it : fleet.nodes()) {
    if (caller.empty()) {
      times.Submit(it, "q");
      fleet.Run(milliseconds(100));
    }
  }
  REQUIRE_FALSE(caller.empty());
  const Time killed = fleet.now();
  fleet.Kill(caller);
  fleet.Start(caller);
  const std::string later = caller + "-3";
  REQUIRE(fleet.RunUntil(
      [&] { return fleet.state(asker).members.present.contains(later); },
      seconds(1)));
  fleet.Run(milliseconds(200));
  const auto& questions = fleet.state(asker).advice.queries;
  REQUIRE(questions.size() == 1);
  CHECK(questions.begin()->second.sent_at > killed);
}

// 18 instances lost power, and the others went on calling for them: the steps'
// new owners asked again, and waited behind calls whose answers nobody took.
TEST_CASE("A call for advice is not made for an instance that has gone") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  std::vector<std::string> steps;
  fleet.advice_duration = [&](const AdviceRequest& it) {
    steps.push_back(it.step);
    return milliseconds(500);
  };
  for (const char* it : {"j1.0.0", "j2.0.0"}) {
    fleet.DeliverPeerMessage("n0", "n1-1",
                             AdviceAsk{.call = 1,
                                       .step = it,
                                       .expected = milliseconds(500),
                                       .workers = {"w0-1"}});
  }
  fleet.Run(milliseconds(50));
  fleet.Kill("n1");
  fleet.Start("n1");
  fleet.Run(seconds(2));
  CHECK(fmt::format("{}", fmt::join(steps, " ")) == "j1.0.0");
}

// From 12 to 20 s of a day with a burst of urgent jobs their calls for advice
// waited 0.5 to 0.9 s at the median beside the service's time, with 0.4 s of
// slack: they queued at the 7 instances of 30 that make only short calls, at
// 0.43 s as these told, because the others told 0.87 s, of long calls. Here
// short calls fill 8 of 20 instances' turns, and the long ones wait for some
// seconds.
TEST_CASE("Short calls for advice keep their pace in a burst of them") {
  Fleet fleet({.instances = 20, .workers = 40, .advice = true});
  fleet.SetQueue(QueueOf(kLong));
  fleet.AddQueue("u", 0, kShort);
  fleet.Settle();
  fleet.advice_duration = [](const AdviceRequest& it) {
    const AdvicePolicy& policy = it.step.starts_with("u") ? kShort : kLong;
    return policy.decision +
           policy.each * static_cast<std::int64_t>(it.workers.size());
  };
  PlanAll(fleet, {.takes = milliseconds(300)});
  AdviceTimes times(fleet);
  for (int it = 0; it < 40; ++it) {
    times.Submit(fmt::format("n{}", it % 20), "q");
  }
  for (int it = 0; it < 500; ++it) {
    const std::string node = fmt::format("n{}", it * 7 % 20);
    if (it % 7 == 0) {
      times.Submit(node, "q");
    }
    if (it >= 100) {
      times.Submit(node, "u");
    }
    fleet.Run(milliseconds(10));
  }
  fleet.Run(seconds(6));
  const auto urgent = times.Of("u");
  CHECK(ShareWithin(urgent, milliseconds(480)) >= 0.95);
  CHECK(ShareWithin(times.Of("q"), milliseconds(3500)) >= 0.8);
  // Long calls that were given up 1.5 s after they were due lost their place
  // again and again: 0.87 within 5 s, and on two days steps had no answer for
  // 20 to 30 s while others got theirs.
  CHECK(ShareWithin(times.Of("q"), seconds(5)) >= 0.97);
}

// After a power cut of a whole fleet calls of one queue filled 28 of 44
// instances' turns for 30 s, and the next queue's were overtaken: 1,780 of its
// questions were given up, 356 answered. Whoever asked again had lost his
// place, and 57 steps that had been accepted up to 60 s before did not run at
// the end of the day; one of them had asked for 33 s. Here calls of one queue
// would fill all turns that there are for long ones.
TEST_CASE("Calls for less urgent work get their turn") {
  Fleet fleet({.instances = 5, .workers = 20, .advice = true});
  fleet.SetQueue(QueueOf(kLong));
  fleet.AddQueue("r", 2);
  fleet.Settle();
  fleet.advice_duration = [](const AdviceRequest& it) {
    return kLong.decision +
           kLong.each * static_cast<std::int64_t>(it.workers.size());
  };
  PlanAll(fleet, {.takes = milliseconds(300)});
  AdviceTimes times(fleet);
  for (int it = 0; it < 60; ++it) {
    times.Submit(fmt::format("n{}", it % 5), "q");
    if (it % 8 == 0) {
      times.Submit(fmt::format("n{}", it / 8 % 5), "r");
    }
    fleet.Run(milliseconds(250));
  }
  fleet.Run(seconds(10));
  CHECK(ShareWithin(times.Of("r"), seconds(5)) == 1);
}

// For 6 s 14 of 30 instances were short of processor time, and calls that take
// the service 40 ms came back 0.4 to 0.8 s late to them, while the others got
// theirs 10 ms late. They told waits by the expected times, so questions went
// on to queue there: 114 short ones were given up in 4 s.
TEST_CASE("A caller whose answers come late tells a longer wait") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  fleet.advice_duration = [&](const AdviceRequest&) {
    return milliseconds(600);
  };
  for (std::uint64_t it = 0; it < 4; ++it) {
    fleet.DeliverPeerMessage("n0", "n1-1",
                             AdviceAsk{.call = it + 1,
                                       .step = fmt::format("j{}.0.0", it),
                                       .expected = milliseconds(40),
                                       .workers = {"w0-1"}});
  }
  fleet.Run(milliseconds(1300));  // two of them are answered
  CHECK(UrgentAdviceWait(fleet.state("n0"), fleet.now()) > milliseconds(800));
  fleet.Run(milliseconds(1200));
  CHECK(UrgentAdviceWait(fleet.state("n0"), fleet.now()) > milliseconds(300));
  fleet.Run(seconds(3));
  CHECK(UrgentAdviceWait(fleet.state("n0"), fleet.now()) == Duration(0));
}

// A lasting task that had failed 13 s after the loss of power of a whole fleet
// waited 8.6 s for advice, 77 to 100 places at workers beside it: its question
// stood behind those of batches, which have longer to wait. It is to be at work
// again 6 s after its end. Here batches fill all turns that there are for long
// calls and a third more.
TEST_CASE("Advice for lasting tasks comes before that for batches") {
  Fleet fleet({.instances = 5, .workers = 20, .advice = true});
  fleet.SetQueue(QueueOf(kLong));
  fleet.AddQueue("l", 1);
  fleet.Settle();
  fleet.advice_duration = [](const AdviceRequest& it) {
    return kLong.decision +
           kLong.each * static_cast<std::int64_t>(it.workers.size());
  };
  PlanAll(fleet, {.takes = milliseconds(300)});
  AdviceTimes times(fleet);
  for (int it = 0; it < 100; ++it) {
    times.Submit(fmt::format("n{}", it % 5), "q");
    if (it >= 50 && it % 10 == 0) {
      times.Submit(fmt::format("n{}", it / 10 % 5), "l", true);
    }
    fleet.Run(milliseconds(200));
  }
  fleet.Run(seconds(10));
  // A call that is under way, and its own.
  CHECK(ShareWithin(times.Of("l"), milliseconds(2500)) == 1);
}

// A caller that had been late was avoided until its next digest, up to 5 s at
// an instance at rest, though its late answer had come meanwhile.
TEST_CASE("A late answer shows that its sender lives") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  fleet.Run(milliseconds(300));
  const Time now = fleet.now();
  fleet.DeliverPeerMessage("n0", "n1-1",
                           AdviceReply{.call = 999,
                                       .wait = milliseconds(700),
                                       .urgent_wait = milliseconds(40)});
  const AdviceState& advice = fleet.state("n0").advice;
  CHECK(advice.reported_at.at("n1-1") >= now);
  CHECK(advice.waits.at("n1-1") == milliseconds(700));
  CHECK(advice.urgent_waits.at("n1-1") == milliseconds(40));
}

// An instance that has just registered asks members whose list does not name it
// yet. They took it for one that has gone and dropped its question.
TEST_CASE("A question of a member that is not known yet is put") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  std::vector<std::string> steps;
  fleet.advice_duration = [&](const AdviceRequest& it) {
    steps.push_back(it.step);
    return milliseconds(20);
  };
  fleet.DeliverPeerMessage("n0", "n9-1",
                           AdviceAsk{.call = 1,
                                     .step = "j1.0.0",
                                     .expected = milliseconds(20),
                                     .workers = {"w0-1"}});
  fleet.Run(milliseconds(100));
  CHECK(fmt::format("{}", fmt::join(steps, " ")) == "j1.0.0");
}

}  // namespace burdockrock::engine
