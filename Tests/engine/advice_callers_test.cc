// Choice of the instances that make advice calls when some are busy, lost or
// unreachable.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "engine/advice/advice_queue.h"
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

// Measures the time from submission to the first tickets of each job.
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

// Guards against queries that are sent to members of a failure domain which is
// cut off while they are still registered. In 6 s with one of three domains cut
// off, 395 queries were given up, 303 of them sent into that domain: 250 to the
// few instances that make short calls, all of which were in it, being the first
// by name. Each was repeated only 1.5 s after it was due, and again to a member
// that had been unresponsive for 2 to 4 s.
TEST_CASE("Advice arrives in time although a failure domain is cut off") {
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

// Guards against waiting for the reply of a lost instance. 18 of 30 instances
// lost power for half a second and registered as new incarnations; the senders
// knew that at once but waited 1.5 s more. 225 of 813 queries that were given
// up had such a receiver.
TEST_CASE("An advice query is repeated as soon as its receiver is lost") {
  Fleet fleet({.instances = 9, .workers = 18, .advice = true});
  fleet.SetQueue(QueueOf(kLong));
  fleet.Settle();
  PlanAll(fleet, {.takes = milliseconds(300)});
  fleet.advice_duration = [](const AdviceRequest&) {
    return milliseconds(800);
  };
  std::string sender;
  std::string receiver;
  fleet.on_peer = [&](const std::string& from, const SendPeer& send) {
    if (receiver.empty() &&
        std::holds_alternative<PeerAdviceRequest>(send.message)) {
      sender = from;
      receiver = send.address;
    }
  };
  AdviceTimes times(fleet);
  for (const std::string& it : fleet.nodes()) {
    if (receiver.empty()) {
      times.Submit(it, "q");
      fleet.Run(milliseconds(100));
    }
  }
  REQUIRE_FALSE(receiver.empty());
  const Time killed = fleet.now();
  fleet.Kill(receiver);
  fleet.Start(receiver);
  const std::string next = receiver + "-3";
  REQUIRE(fleet.RunUntil(
      [&] { return fleet.state(sender).members.present.contains(next); },
      seconds(1)));
  fleet.Run(milliseconds(200));
  const auto& queries = fleet.state(sender).advice.queries;
  REQUIRE(queries.size() == 1);
  CHECK(queries.begin()->second.sent_at > killed);
}

// Guards against calls for lost instances. When 18 instances had lost power,
// the others still made their calls, and the queries of the steps' new owners
// waited behind calls whose replies nobody received.
TEST_CASE("No advice call is made for a lost instance") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  std::vector<std::string> steps;
  fleet.advice_duration = [&](const AdviceRequest& it) {
    steps.push_back(it.step);
    return milliseconds(500);
  };
  for (const char* it : {"j1.0.0", "j2.0.0"}) {
    fleet.DeliverPeerMessage("n0", "n1-1",
                             PeerAdviceRequest{.call = 1,
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

// Guards against short calls that queue at the instances that make only short
// calls because the reported waits of the others are those of long calls. In a
// burst of urgent jobs with 0.4 s of slack, their calls waited 0.5 to 0.9 s at
// the median, besides the service's time, at 7 of 30 instances that reported
// 0.43 s, while the others reported 0.87 s. Here short calls fill the queues of
// 8 of 20 instances, and long ones wait for some seconds.
TEST_CASE("Short advice calls are made in time in a burst of them") {
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
  // Guards against long calls that are given up 1.5 s after they were due and
  // so lose their place in the queue each time: only 0.87 were answered within
  // 5 s, and some steps had no reply for 20 to 30 s.
  CHECK(ShareWithin(times.Of("q"), seconds(5)) >= 0.97);
}

// Guards against starvation of the calls for less urgent work. After a power
// cut of a whole fleet, calls of one queue kept 28 of 44 instances busy for 30
// s. They overtook those of the next queue, which lost their place with each
// repetition: 1,780 of its queries were given up and 356 answered, and 57 of
// its steps, accepted up to 60 s before, did not run, one of them with queries
// for 33 s. Here calls of one queue would occupy all instances that make long
// calls.
TEST_CASE("Advice calls for less urgent work are not starved") {
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

// Guards against queries that queue at instances short of processor time. 14 of
// 30 such instances received the service's answers 0.4 to 0.8 s late for calls
// of 40 ms, the others 10 ms late. With waits reported by the expected times
// alone, queries continued to go there, and 114 short ones were given up in 4
// s.
TEST_CASE("A member that receives advice late reports a longer wait") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  fleet.advice_duration = [&](const AdviceRequest&) {
    return milliseconds(600);
  };
  for (std::uint64_t it = 0; it < 4; ++it) {
    fleet.DeliverPeerMessage(
        "n0", "n1-1",
        PeerAdviceRequest{.call = it + 1,
                          .step = fmt::format("j{}.0.0", it),
                          .expected = milliseconds(40),
                          .workers = {"w0-1"}});
  }
  fleet.Run(milliseconds(1300));  // two of the calls are answered
  CHECK(UrgentAdviceWait(fleet.state("n0"), fleet.now()) > milliseconds(800));
  fleet.Run(milliseconds(1200));
  CHECK(UrgentAdviceWait(fleet.state("n0"), fleet.now()) > milliseconds(300));
  fleet.Run(seconds(3));
  CHECK(UrgentAdviceWait(fleet.state("n0"), fleet.now()) == Duration(0));
}

// Guards against a lasting task that waits for advice behind batches, which may
// wait longer. It must run again 6 s after its end, but waited 8.6 s for
// advice, with room for 77 to 100 tasks at the workers, when it had failed 13 s
// after a power cut of a whole fleet. Here batches need a third more than the
// capacity for long calls.
TEST_CASE("Advice calls for lasting tasks precede those for batches") {
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
  // The call in flight, and its own.
  CHECK(ShareWithin(times.Of("l"), milliseconds(2500)) == 1);
}

// Guards against a member that is avoided as unresponsive until its next
// digest, up to 5 s at an idle instance, although its late reply has arrived.
TEST_CASE("A late advice reply shows that its sender is responsive") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  fleet.Run(milliseconds(300));
  const Time now = fleet.now();
  fleet.DeliverPeerMessage("n0", "n1-1",
                           AdviceReply{.call = 999,
                                       .wait = milliseconds(700),
                                       .urgent_wait = milliseconds(40)});
  const AdviceState& advice = fleet.state("n0").advice;
  CHECK(advice.callers.at("n1-1").reported_at >= now);
  CHECK(advice.callers.at("n1-1").wait == milliseconds(700));
  CHECK(advice.callers.at("n1-1").urgent_wait == milliseconds(40));
}

// An instance that has just registered sends queries to members that have not
// yet read its registration. They must not take it for lost and drop the query.
TEST_CASE("An advice call is made for a member that is not listed yet") {
  Fleet fleet({.advice = true});
  fleet.Settle();
  std::vector<std::string> steps;
  fleet.advice_duration = [&](const AdviceRequest& it) {
    steps.push_back(it.step);
    return milliseconds(20);
  };
  fleet.DeliverPeerMessage("n0", "n9-1",
                           PeerAdviceRequest{.call = 1,
                                             .step = "j1.0.0",
                                             .expected = milliseconds(20),
                                             .workers = {"w0-1"}});
  fleet.Run(milliseconds(100));
  CHECK(fmt::format("{}", fmt::join(steps, " ")) == "j1.0.0");
}

}  // namespace burdockrock::engine
