// How long a deployment takes to recover, in virtual time.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>

#include <fmt/format.h>

#include "bench/bench_report.h"
#include "bench/lanyu.h"
#include "bench/traffic.h"
#include "bench/wire_meter.h"

namespace burdockrock::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLeaveMs = 2000;
constexpr double kConfigMs = 2000;
constexpr std::uint32_t kWorkersPerDomain = 17;
constexpr std::uint32_t kWave = 10'000;

double Milliseconds(Duration span) {
  return static_cast<double>(span.count()) / 1e3;
}

JobSpec SleepJob(std::uint32_t count, Duration run) {
  return {.kind = JobKind::kBatch,
          .count = count,
          .resources = {.processors_milli = 1000, .memory_mb = 512},
          .payload = SleepPayload(run)};
}

// The time until each worker that `entry` owned answers to another owner.
void BenchKill(BenchReport& report) {
  const auto group = MakeLanyu("{}", kWorkersPerDomain);
  const ReplyId reply =
      group->Submit("d0-e0", SleepJob(300, milliseconds(4000)));
  group->Run(seconds(2));
  const std::string job = group->JobIdOf(reply);
  std::set<std::string> orphans;
  for (const auto& [id, worker] : group->state("d0-e0").ownership.workers) {
    if (worker.state == OwnerState::kOwned) {
      orphans.insert(id);
    }
  }
  const Time killed = group->now();
  Time last_claim = killed;
  Time next_start = Time(0);
  Time adopted = Time(0);
  group->on_effect = [&](const std::string&, const Effect& effect) {
    const auto* call = std::get_if<CallWorker>(&effect);
    const auto* start =
        call == nullptr ? nullptr : std::get_if<StartCommand>(&call->command);
    if (start != nullptr && start->attempt.job == job &&
        next_start == Time(0)) {
      next_start = group->now();
    }
  };
  group->Kill("d0-e0");
  const bool taken = group->RunUntil(
      [&] {
        const State& peer = group->state("d0-e1");
        if (adopted == Time(0) && group->StatusOf(job)) {
          adopted = group->now();
        }
        return std::all_of(
            orphans.begin(), orphans.end(), [&](const std::string& it) {
              const WorkerRecord& worker = peer.ownership.workers.at(it);
              return worker.state == OwnerState::kOwned &&
                     !worker.claim_in_flight;
            });
      },
      seconds(60));
  last_claim = group->now();
  const bool ended = group->RunUntil(
      [&] {
        const auto status = group->StatusOf(job);
        if (adopted == Time(0) && status) {
          adopted = group->now();
        }
        return status && status->state == WorkState::kFinished;
      },
      seconds(120));
  report.Add({.name = "recovery.kill.workers_take_new_work",
              .value = taken ? Milliseconds(last_claim - killed) : NAN,
              .unit = "ms"});
  report.Add({.name = "recovery.kill.job_adopted",
              .value = adopted > Time(0) ? Milliseconds(adopted - killed) : NAN,
              .unit = "ms"});
  report.Add(
      {.name = "recovery.kill.job_starts_again",
       .value = next_start > Time(0) ? Milliseconds(next_start - killed) : NAN,
       .unit = "ms"});
  report.Add({.name = "recovery.kill.job_ended",
              .value = ended ? 1.0 : 0.0,
              .unit = "share of jobs",
              .bound = AtLeast(1)});
  report.Add({.name = "recovery.kill.violations",
              .value = static_cast<double>(group->Violations().size()),
              .unit = "lines",
              .bound = AtMost(0)});
}

// From the leaving of a minion in the platform's list to the last request
// dispatched to it.
void BenchLeaving(BenchReport& report) {
  const auto group = MakeLanyu();
  const std::string minion = "d1-m3";
  Time last = Time(0);
  Time marked = Time(0);
  const Duration lag = group->options().list_lag;
  group->on_effect = [&](const std::string&, const Effect& effect) {
    const auto* call = std::get_if<CallWorker>(&effect);
    if (call != nullptr && call->worker == minion &&
        std::holds_alternative<RunCommand>(call->command)) {
      last = group->now();
    }
  };
  const TrafficOptions options{.per_second = 3000, .span = seconds(8)};
  RunTraffic(*group, options, kLanyuSlots, [&](Time since) {
    if (since >= seconds(3) && marked == Time(0)) {
      marked = group->now();
      group->MarkLeaving(minion);
    }
  });
  report.Add({.name = "recovery.leaving.last_new_work",
              .value = Milliseconds(last - marked - lag),
              .unit = "ms after it shows in the list",
              .bound = AtMost(kLeaveMs)});
}

void BenchConfig(BenchReport& report) {
  const auto group = MakeLanyu();
  Sample took;
  for (int it = 0; it < 20; ++it) {
    const std::string entry =
        group->entries()[static_cast<std::size_t>(it) % 6];
    const Revision now_in_force = group->state(entry).config.view.revision;
    const std::string policy = fmt::format(
        R"({{"admission":{{"max_queue_per_service":{}}}}})", 2000 + it);
    const ReplyId reply = group->PutConfig(
        entry, now_in_force, EntryGroup::PolicyDocumentText(policy, "bench"));
    const auto everywhere = [&] {
      if (!group->AnsweredAt(reply)) {
        return false;
      }
      const auto* stored = std::get_if<ConfigStored>(group->AnswerTo(reply));
      const auto entries = group->entries();
      return stored != nullptr &&
             std::all_of(entries.begin(), entries.end(),
                         [&](const std::string& id) {
                           return group->state(id).config.view.revision >=
                                  stored->revision;
                         });
    };
    const bool in_force = group->RunUntil(everywhere, seconds(30));
    took.Add(in_force ? Milliseconds(group->now() - *group->AnsweredAt(reply))
                      : NAN);
    group->Run(milliseconds(1300));
  }
  report.Add({.name = "recovery.config.in_force_everywhere.p50",
              .value = took.Quantile(0.5),
              .unit = "ms after accepted"});
  report.Add({.name = "recovery.config.in_force_everywhere.max",
              .value = took.Quantile(1),
              .unit = "ms after accepted",
              .bound = AtMost(kConfigMs)});
}

// 10,000 jobs, some running and most waiting, are cancelled at once.
void BenchCancelWave(BenchReport& report) {
  const auto group = MakeLanyu("{}", kWorkersPerDomain);
  const std::vector<std::string> entries = group->entries();
  std::vector<ReplyId> replies;
  for (std::uint32_t it = 0; it < kWave; ++it) {
    replies.push_back(
        group->Submit(entries[it % entries.size()], SleepJob(1, seconds(600))));
    if (it % 20 == 0) {
      group->Run(milliseconds(20));
    }
  }
  group->Run(seconds(10));
  std::size_t accepted = 0;
  std::vector<ReplyId> cancels;
  const std::size_t live_before = group->recorder().live();
  const WireMeter meter(*group);
  const Time start = group->now();
  for (std::uint32_t it = 0; it < kWave; ++it) {
    const std::string job = group->JobIdOf(replies[it]);
    const auto verdict = group->VerdictOf(replies[it]);
    if (verdict && std::holds_alternative<Accepted>(*verdict)) {
      ++accepted;
      // A caller may ask any entry instance.
      cancels.push_back(
          group->QueryWork(entries[(it + 1) % entries.size()], job, true));
    }
  }
  std::size_t answered = 0;
  const bool done = group->RunUntil(
      [&] {
        while (answered < cancels.size() &&
               group->AnsweredAt(cancels[answered])) {
          ++answered;
        }
        return answered == cancels.size() && group->recorder().live() == 0;
      },
      seconds(120));
  const Time end = group->now();
  Sample heard;
  for (const ReplyId it : cancels) {
    const auto at = group->AnsweredAt(it);
    heard.Add(at ? Milliseconds(*at - start) : NAN);
  }
  report.Add({.name = "recovery.cancel_wave.accepted",
              .value = static_cast<double>(accepted),
              .unit = "jobs"});
  report.Add({.name = "recovery.cancel_wave.running_before",
              .value = static_cast<double>(live_before),
              .unit = "tasks"});
  report.Add({.name = "recovery.cancel_wave.answered.p50",
              .value = heard.Quantile(0.5),
              .unit = "ms"});
  report.Add({.name = "recovery.cancel_wave.answered.p99",
              .value = heard.Quantile(0.99),
              .unit = "ms"});
  report.Add({.name = "recovery.cancel_wave.done",
              .value = done ? Milliseconds(end - start) : NAN,
              .unit = "ms until all are answered and none runs"});
  report.Add({.name = "recovery.cancel_wave.still_running",
              .value = static_cast<double>(group->recorder().live()),
              .unit = "tasks",
              .bound = AtMost(0)});
  report.Add({.name = "recovery.cancel_wave.peak_peer_messages",
              .value = static_cast<double>(meter.PeakPeerMessages()),
              .unit = "1/s"});
  report.Add({.name = "recovery.cancel_wave.peak_platform_calls",
              .value = static_cast<double>(meter.PeakPlatformCalls()),
              .unit = "1/s",
              .bound = AtMost(100)});
}

// One worker fails each task at once; many small jobs keep coming.
void BenchBlackHole(BenchReport& report) {
  const auto group = MakeLanyu("{}", kWorkersPerDomain);
  const std::string bad = "d0-w5";
  group->worker(bad).faults().black_hole = true;
  std::uint64_t starts = 0;
  std::uint64_t bad_starts = 0;
  std::uint64_t after = 0;
  std::uint64_t after_bad = 0;
  bool quarantined = false;
  Time quarantined_at = Time(0);
  const Time start = group->now();
  group->on_effect = [&](const std::string&, const Effect& effect) {
    if (const auto* log = std::get_if<WriteLog>(&effect)) {
      if (log->line.number == EventNumber::kWorkerQuarantined && !quarantined) {
        quarantined = true;
        quarantined_at = group->now();
      }
      return;
    }
    const auto* call = std::get_if<CallWorker>(&effect);
    if (call == nullptr ||
        !std::holds_alternative<StartCommand>(call->command) ||
        !call->worker.starts_with("d0-")) {
      return;
    }
    (quarantined ? after : starts) += 1;
    if (call->worker == bad) {
      (quarantined ? after_bad : bad_starts) += 1;
    }
  };
  for (int it = 0; it < 600; ++it) {
    group->Submit(it % 2 == 0 ? "d0-e0" : "d0-e1",
                  SleepJob(4, milliseconds(500)));
    group->Run(milliseconds(50));
  }
  const double share =
      static_cast<double>(bad_starts) / static_cast<double>(starts);
  report.Add({.name = "recovery.black_hole.share_of_starts",
              .value = share,
              .unit = "share until quarantined",
              .baseline = 1.0 / kWorkersPerDomain});
  report.Add({.name = "recovery.black_hole.starts",
              .value = static_cast<double>(bad_starts),
              .unit = "starts until quarantined"});
  report.Add({.name = "recovery.black_hole.quarantined_after",
              .value = quarantined ? Milliseconds(quarantined_at - start) : NAN,
              .unit = "ms",
              .bound = AtMost(30'000)});
  report.Add({.name = "recovery.black_hole.share_after",
              .value = after == 0 ? NAN
                                  : static_cast<double>(after_bad) /
                                        static_cast<double>(after),
              .unit = "share while quarantined, with probes",
              .baseline = 1.0 / kWorkersPerDomain});
}

// A domain is cut off from the others and the platform, then comes back.
void BenchHeal(BenchReport& report) {
  const auto group = MakeLanyu("{}", kWorkersPerDomain);
  const auto peaks = [&](Duration span) {
    const WireMeter meter(*group);
    group->Run(span);
    return std::pair(static_cast<double>(meter.PeakPlatformCalls()),
                     static_cast<double>(meter.PeakPeerMessages()));
  };
  const auto steady = peaks(seconds(30));
  group->CutDomain(0, true);
  const auto apart = peaks(seconds(60));
  group->CutDomain(0, false);
  const auto healed = peaks(seconds(30));
  report.Add({.name = "recovery.heal.peak_platform_calls",
              .value = healed.first,
              .unit = "1/s",
              .bound = AtMost(100),
              .baseline = steady.first});
  report.Add({.name = "recovery.heal.peak_peer_messages",
              .value = healed.second,
              .unit = "1/s",
              .baseline = steady.second});
  report.Add({.name = "recovery.apart.peak_platform_calls",
              .value = apart.first,
              .unit = "1/s",
              .bound = AtMost(100),
              .baseline = steady.first});
}

}  // namespace

int RunRecoveryBench() {
  BenchReport report;
  BenchKill(report);
  BenchLeaving(report);
  BenchConfig(report);
  BenchCancelWave(report);
  BenchBlackHole(report);
  BenchHeal(report);
  return report.ExitCode();
}

}  // namespace burdockrock::bench

int main() {
  return burdockrock::bench::RunRecoveryBench();
}
