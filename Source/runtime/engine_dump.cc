#include "runtime/engine_dump.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "engine/jobs/job_table.h"
#include "engine/jobs/open_work.h"
#include "engine/workers/acceptance.h"

namespace burdockrock {

namespace {

double InSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

Json::Value DumpMembers(const engine::State& state) {
  Json::Value out(Json::objectValue);
  out["fence"] = Json::UInt64(state.members.fence);
  for (const auto& [incarnation, it] : state.members.present) {
    Json::Value member(Json::objectValue);
    member["node"] = it.record.node;
    member["domain"] = it.record.domain;
    member["fence"] = Json::UInt64(it.fence);
    out["present"][incarnation] = member;
  }
  return out;
}

Json::Value DumpWorker(const engine::State& state,
                       const engine::OwnedWorker& worker) {
  Json::Value out(Json::objectValue);
  const auto closed =
      engine::CloseCauseOf(state, worker, state.drive.driven_at);
  out["closed"] = closed ? engine::CloseCauseName(*closed) : "";
  out["fence"] = Json::UInt64(worker.fence);
  out["claimed"] = worker.claimed;
  out["acknowledged"] = Json::UInt64(worker.acknowledged);
  out["unstored_ends"] = Json::UInt64(worker.ends.size());
  for (const auto& [task, run] : worker.runs) {
    out["runs"][task] = Json::UInt64(run.run);
  }
  return out;
}

Json::Value DumpJob(const engine::Job& job) {
  Json::Value out(Json::objectValue);
  out["queue"] = job.queue;
  out["team"] = job.team;
  out["state"] = engine::JobStateName(engine::ShownState(job));
  out["generation"] = Json::UInt64(job.generation);
  out["version"] = Json::UInt64(job.version);
  out["stored_version"] = Json::UInt64(job.stored_version);
  out["recovering"] = job.recovering;
  std::map<engine::TaskPhase, unsigned> phases;
  for (const auto& occurrence : job.occurrences) {
    for (const auto& step : occurrence.steps) {
      for (const auto& task : step.tasks) {
        ++phases[task.phase];
      }
    }
  }
  out["unknown"] = phases[engine::TaskPhase::kUnknown];
  out["waiting"] = phases[engine::TaskPhase::kWaiting];
  out["offered"] = phases[engine::TaskPhase::kOffered];
  out["running"] = phases[engine::TaskPhase::kRunning];
  out["done"] = phases[engine::TaskPhase::kDone];
  return out;
}

void Raise(Metrics& metrics, std::string_view name, std::uint64_t total) {
  metrics.GetCounter(name).RaiseTo(static_cast<double>(total));
}

void SetPacked(Metrics& metrics, const engine::State& state) {
  Resources capacity;
  Resources granted;
  for (const auto& [id, worker] : state.owned) {
    capacity += worker.info.capacity;
    for (const auto& [task, run] : worker.runs) {
      granted += engine::RoomOf(run.spec);
    }
  }
  const DimensionArray all = ToArray(capacity);
  const DimensionArray used = ToArray(granted);
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    if (all[it] > 0) {
      metrics.Set(kPackedRatio,
                  {{.name = "dimension", .value = DimensionName(it)}},
                  static_cast<double>(used[it]) / static_cast<double>(all[it]));
    }
  }
}

void SetAdvice(Metrics& metrics, const engine::State& state) {
  metrics.GetCounter(kAdviceIdleSecondsTotal, {})
      .RaiseTo(InSeconds(state.advice.idle_beside_line));
  metrics.Set(kAdviceLineSteps, {},
              static_cast<double>(state.advice.line_steps));
  metrics.Set(kAdviceLineSeconds, {}, InSeconds(state.advice.line_longest));
  const engine::AdviceCounts& counts = state.totals.advice;
  for (const engine::AdviceReason it : engine::kAllAdviceReasons) {
    const Labels labels = {
        {.name = "reason", .value = engine::AdviceReasonName(it)}};
    const engine::AdviceCount& count = counts[it];
    const auto raise = [&](std::string_view name, double total) {
      metrics.GetCounter(name, labels).RaiseTo(total);
    };
    raise(kAdviceCallsTotal, static_cast<double>(count.calls));
    raise(kAdviceNamesTotal, static_cast<double>(count.names));
    raise(kAdviceSecondsTotal, InSeconds(count.time));
    raise(kAdviceStartsTotal, static_cast<double>(count.starts));
    raise(kAdviceRoomGoneTotal, static_cast<double>(count.room_gone));
  }
}

void SetStops(Metrics& metrics,
              const std::string& side,
              const engine::OpenItems& stops) {
  const Labels labels = {{.name = "side", .value = side}};
  metrics.Set(kOpenStops, labels, static_cast<double>(stops.count));
  metrics.Set(kOldestStopSeconds, labels, InSeconds(stops.oldest));
}

void SetClosedWorkers(Metrics& metrics, const engine::State& state, Time now) {
  const auto closed = engine::CountClosed(state, now);
  for (const engine::CloseCause it : engine::kAllCloseCauses) {
    const auto found = closed.find(it);
    metrics.Set(kClosedWorkers,
                {{.name = "cause", .value = engine::CloseCauseName(it)}},
                found == closed.end() ? 0 : static_cast<double>(found->second));
  }
}

void SetWaits(Metrics& metrics, const engine::ConditionLogState& waits) {
  metrics.Set(kWaitingSteps, {}, static_cast<double>(waits.waiting_steps));
  metrics.Set(kLongestWaitSeconds, {}, InSeconds(waits.longest_wait));
}

void SetAccount(Metrics& metrics,
                const Labels& labels,
                const engine::QuotaLedger& ledger) {
  metrics.Set(kTeamBlocked, labels,
              static_cast<double>(engine::HeldByLeft(ledger).processors_milli));
  metrics.Set(
      kTeamUnappliedGrants, labels,
      static_cast<double>(std::count_if(
          ledger.holders.begin(), ledger.holders.end(), [](const auto& it) {
            return engine::LeavesGrantsUnapplied(it.second);
          })));
}

void SetTeams(Metrics& metrics, const engine::State& state) {
  for (const auto& [team, it] : state.arrivals) {
    metrics.GetCounter(kTeamExcessTotal, {{.name = "team", .value = team}})
        .RaiseTo(static_cast<double>(it.excess));
    metrics.GetCounter(kTeamRefusedTotal, {{.name = "team", .value = team}})
        .RaiseTo(static_cast<double>(it.refused));
  }
  for (const auto& [team, share] : state.quota.shares) {
    const Labels labels = {{.name = "team", .value = team}};
    metrics.Set(kTeamCharge, labels,
                static_cast<double>(share.charge.processors_milli));
    metrics.Set(kTeamHeld, labels,
                static_cast<double>(share.held.processors_milli));
  }
  // Of all teams with claims, so that the gauges fall when an account ends.
  for (const auto& [team, claim] : state.quota.highest_claims) {
    const auto account = state.quota.accounts.find(team);
    SetAccount(metrics, {{.name = "team", .value = team}},
               account == state.quota.accounts.end() ? engine::QuotaLedger{}
                                                     : account->second.ledger);
  }
}

void SetOpenWork(Metrics& metrics, const engine::OpenWork& open) {
  metrics.Set(kRecoveringJobs, {}, static_cast<double>(open.recoveries.count));
  metrics.Set(kOldestRecoverySeconds, {}, InSeconds(open.recoveries.oldest));
  metrics.Set(kOpenClaims, {}, static_cast<double>(open.claims.count));
  metrics.Set(kUnreadRuns, {}, static_cast<double>(open.unread_runs.count));
  metrics.Set(kOldestUnreadRunSeconds, {}, InSeconds(open.unread_runs.oldest));
  SetStops(metrics, "job", open.stops_of_jobs);
  SetStops(metrics, "worker", open.stops_at_workers);
}

}  // namespace

Json::Value DumpEngine(const engine::State& state) {
  Json::Value out(Json::objectValue);
  out["members"] = DumpMembers(state);
  out["configuration"] = Json::UInt64(state.configuration.version);
  out["store_healthy"] = state.store.healthy;
  out["listed_workers"] = Json::UInt64(state.workers.size());
  for (const auto& [id, worker] : state.owned) {
    out["workers"][id] = DumpWorker(state, worker);
  }
  for (const std::string& id : state.active) {
    out["jobs"][id] = DumpJob(state.jobs.at(id));
  }
  out["orphans"] = Json::UInt64(state.orphans.size());
  return out;
}

void SetEngineMetrics(Metrics& metrics, const engine::State& state, Time now) {
  const engine::Totals& totals = state.totals;
  Raise(metrics, kPlatformCallsTotal, state.store.total_calls);
  Raise(metrics, kStartsTotal, totals.starts);
  Raise(metrics, kHoldsTotal, totals.polls);
  Raise(metrics, kOffersTotal, totals.offers);
  Raise(metrics, kOffersRefusedTotal, totals.offers_refused);
  Raise(metrics, kSubmissionsTotal, totals.submitted);
  Raise(metrics, kJobsAcceptedTotal, totals.accepted);
  Raise(metrics, kJobsRefusedTotal, totals.refused);
  Raise(metrics, kKeysRefusedTotal, totals.keys_refused);
  Raise(metrics, kJobsCompletedTotal, totals.completed);
  Raise(metrics, kJobsFailedTotal, totals.failed);
  Raise(metrics, kJobsAdoptedTotal, totals.adopted);
  Raise(metrics, kRunsLostTotal, totals.lost_runs);
  Raise(metrics, kTaskCrashesTotal, totals.crashes);
  Raise(metrics, kWritesRejectedTotal, totals.rejected_writes);
  Raise(metrics, kRecordsShortenedTotal, totals.shortened_records);
  Raise(metrics, kGrantsRefusedTotal, totals.refused_grants);
  metrics.Set(kOwnedWorkers, {}, static_cast<double>(state.owned.size()));
  metrics.Set(kIsolatedRuns, {},
              static_cast<double>(std::count_if(
                  state.owned.begin(), state.owned.end(), [](const auto& it) {
                    return engine::HasIsolatedRun(it.second);
                  })));
  SetClosedWorkers(metrics, state, now);
  SetWaits(metrics, state.condition_log);
  SetTeams(metrics, state);
  SetAdvice(metrics, state);
  SetPacked(metrics, state);
  SetOpenWork(metrics, engine::CountOpenWork(state, now));
}

}  // namespace burdockrock
