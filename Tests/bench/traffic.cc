#include "bench/traffic.h"

#include <cmath>
#include <random>
#include <unordered_map>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "scheduler/requests.h"

namespace burdockrock::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(100);
constexpr Duration kEndAfter = seconds(3);
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;

struct Sent {
  Time at{0};
  ReplyId reply = 0;
  std::optional<Time> dispatched;
};

double Milliseconds(Duration span) {
  return static_cast<double>(span.count()) / kMicrosPerMilli;
}

Urgency PickUrgency(const std::array<double, kUrgencyCount>& mix, double draw) {
  std::size_t it = 0;
  while (it + 1 < kUrgencyCount && draw >= mix[it]) {
    draw -= mix[it];
    ++it;
  }
  return static_cast<Urgency>(it);
}

// Notes when each request is dispatched, by the hook of the group.
class DispatchWatch {
 public:
  explicit DispatchWatch(EntryGroup& group)
      : group_(group), before_(group.on_effect) {
    group.on_effect = [this](const std::string& entry, const Effect& effect) {
      if (before_) {
        before_(entry, effect);
      }
      Note(effect);
    };
  }
  ~DispatchWatch() { group_.on_effect = before_; }
  DispatchWatch(const DispatchWatch&) = delete;
  DispatchWatch& operator=(const DispatchWatch&) = delete;

  std::optional<Time> DispatchOf(const std::string& attempt_name) const {
    const auto it = dispatched_.find(attempt_name);
    if (it == dispatched_.end()) {
      return std::nullopt;
    }
    return it->second;
  }

 private:
  void Note(const Effect& effect) {
    const auto* call = std::get_if<CallWorker>(&effect);
    const auto* run =
        call == nullptr ? nullptr : std::get_if<RunCommand>(&call->command);
    if (run != nullptr) {
      dispatched_[run->attempt.job] = group_.now();
    }
  }

  EntryGroup& group_;
  std::function<void(const std::string&, const Effect&)> before_;
  std::unordered_map<std::string, Time> dispatched_;
};

struct Judged {
  bool in_time = false;
  bool refused = false;
};

Judged Judge(const EntryGroup& group,
             const Sent& sent,
             Duration deadline,
             ClassResult& result) {
  ++result.arrived;
  if (sent.dispatched) {
    result.wait_ms.Add(Milliseconds(*sent.dispatched - sent.at));
  }
  const auto verdict = group.VerdictOf(sent.reply);
  if (!verdict) {
    ++result.unanswered;
    return {};
  }
  const Duration took = *group.AnsweredAt(sent.reply) - sent.at;
  if (std::holds_alternative<NotRun>(*verdict)) {
    ++result.not_run;
    result.refused_ms.Add(Milliseconds(took));
    return {.refused = true};
  }
  if (std::holds_alternative<MayHaveRun>(*verdict)) {
    ++result.may_have_run;
    return {};
  }
  const bool in_time = took <= deadline;
  result.ran += in_time ? 1 : 0;
  return {.in_time = in_time};
}

std::vector<std::string> LiveEntries(const EntryGroup& group) {
  std::vector<std::string> live;
  for (const std::string& it : group.entries()) {
    if (group.IsUp(it)) {
      live.push_back(it);
    }
  }
  return live;
}

}  // namespace

std::string SleepPayload(Duration run) {
  return fmt::format("answer=ok;sleep_ms={}", ToMilliseconds(run));
}

std::vector<Arrival> MakeArrivals(const TrafficOptions& options) {
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> gap_us(options.per_second /
                                               kMicrosPerSecond);
  std::exponential_distribution<double> run_ms(1 / options.mean_run_ms);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<Arrival> arrivals;
  double at = gap_us(random);
  while (at < static_cast<double>(options.span.count())) {
    const std::int64_t run = std::llround(run_ms(random));
    arrivals.push_back({.at = Time(static_cast<Time::rep>(at)),
                        .run = milliseconds(run),
                        .urgency = PickUrgency(options.mix, draw(random)),
                        .entry = random()});
    at += gap_us(random);
  }
  return arrivals;
}

TrafficResult RunTraffic(EntryGroup& group,
                         const TrafficOptions& options,
                         double slots,
                         const std::function<void(Time)>& at_tick) {
  const std::vector<Arrival> arrivals = MakeArrivals(options);
  const DispatchWatch watch(group);
  const Time start = group.now();
  Time next_tick = Time(0);
  std::vector<Sent> sent;
  sent.reserve(arrivals.size());
  const auto name = [&](std::size_t index) {
    return fmt::format("b{}.{}.{}", options.seed, start.count(), index);
  };
  std::vector<std::string> live = LiveEntries(group);
  for (const Arrival& it : arrivals) {
    for (; next_tick <= it.at; next_tick += kTick) {
      group.Run(start + next_tick - group.now());
      if (at_tick) {
        at_tick(next_tick);
        live = LiveEntries(group);
      }
    }
    group.Run(start + it.at - group.now());
    const std::string& entry = live[it.entry % live.size()];
    sent.push_back({.at = group.now()});
    sent.back().reply =
        group.Submit(entry, Request{.id = name(sent.size()),
                                    .service = "desk",
                                    .urgency = it.urgency,
                                    .deadline = options.deadline,
                                    .payload = SleepPayload(it.run)});
  }
  group.Run(kEndAfter);

  TrafficResult result;
  double useful_us = 0;
  for (std::size_t it = 0; it < arrivals.size(); ++it) {
    if (arrivals[it].at < options.warm_up) {
      continue;
    }
    sent[it].dispatched = watch.DispatchOf(RequestAttemptName(name(it + 1)));
    const auto urgency = static_cast<std::size_t>(arrivals[it].urgency);
    Judge(group, sent[it], options.deadline, result.classes[urgency]);
    if (Judge(group, sent[it], options.deadline, result.all).in_time) {
      useful_us += static_cast<double>(arrivals[it].run.count());
    }
  }
  const Duration counted = options.span - options.warm_up;
  result.goodput = useful_us / slots / static_cast<double>(counted.count());
  return result;
}

}  // namespace burdockrock::bench
