#include "engine/worker_runs.h"

#include <utility>

#include "engine/catalog.h"
#include "engine/membership.h"
#include "engine/pacing.h"
#include "engine/run_ends.h"
#include "engine/worker_list.h"
#include "engine/worker_owner.h"

namespace burdockrock::engine {

namespace {

void OrderStart(Context& context,
                const std::string& id,
                OwnedWorker& worker,
                const std::string& task,
                LocalRun& run) {
  run.ordered = context.now;
  run.order_in_flight = true;
  ++context.state.totals.starts;
  context.Emit(
      CallWorker{.worker = id,
                 .address = worker.info.address,
                 .request = StartRun{.task = task,
                                     .run = run.run,
                                     .payload = run.payload,
                                     .ticket = run.ticket,
                                     .checkpoint = run.checkpoint,
                                     .fence = worker.fence,
                                     .lease_until_ms = worker.lease_until_ms},
                 .timeout = kOrderTimeout});
}

void OrderStop(Context& context,
               const std::string& id,
               OwnedWorker& worker,
               const std::string& task,
               LocalRun& run) {
  run.ordered = context.now;
  run.order_in_flight = true;
  context.Emit(CallWorker{
      .worker = id,
      .address = worker.info.address,
      .request = StopRun{.task = task, .run = run.run, .fence = worker.fence},
      .timeout = kOrderTimeout});
}

void EnterPhase(Context& context, LocalRun& run, RunPhase phase) {
  run.phase = phase;
  run.since = context.now;
}

void RemoveRun(Context& context,
               const std::string& id,
               OwnedWorker& worker,
               const std::string& task) {
  worker.runs.erase(task);
  RoomChanged(context, id);
}

void BeginStop(Context& context,
               const std::string& id,
               OwnedWorker& worker,
               const std::string& task,
               LocalRun& run) {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  EnterPhase(context, run, RunPhase::kStopping);
  run.stop_answered = false;
  OrderStop(context, id, worker, task, run);
}

// The offer can't be taken because of what is known of the job: whose it is.
bool IsStale(Context& context,
             const std::string& from,
             const TaskOffer& offer) {
  KnownJob& known = context.state.known[offer.job];
  const bool member =
      from == context.self() || FindMember(context.state, from) != nullptr;
  if (!member || offer.generation < known.generation) {
    return true;
  }
  known.owner = from;
  known.generation = offer.generation;
  known.heard = context.now;
  return false;
}

bool HasEndOf(const OwnedWorker& worker,
              const std::string& task,
              std::uint64_t run) {
  for (const auto& [sequence, end] : worker.ends) {
    if (end.row.task == task && end.row.run >= run) {
      return true;
    }
  }
  return false;
}

// Nothing when the run is taken and its answer comes later.
std::optional<OfferOutcome> RepeatedOffer(Context& context,
                                          const std::string& id,
                                          OwnedWorker& worker,
                                          const std::string& task,
                                          LocalRun& run,
                                          const TaskOffer& offer,
                                          const OfferedTask& offered) {
  if (run.run > offered.run) {
    return OfferOutcome::kOldRun;
  }
  if (run.run < offered.run) {
    return OfferOutcome::kNoRoom;  // the earlier run has not ended here
  }
  run.owner = context.state.known[offer.job].owner;
  run.generation = offer.generation;
  switch (run.phase) {
    case RunPhase::kBooked:
      if (offer.book_only) {
        return OfferOutcome::kBooked;
      }
      run.ticket = offered.ticket;
      run.checkpoint = offered.checkpoint;
      run.answer_offer = true;
      EnterPhase(context, run, RunPhase::kStarting);
      OrderStart(context, id, worker, task, run);
      return std::nullopt;
    case RunPhase::kStarting:
      run.answer_offer = true;
      return std::nullopt;
    case RunPhase::kRunning:
      return OfferOutcome::kStarted;
    case RunPhase::kStopping:
      run.answer_offer = true;
      return std::nullopt;
  }
  return std::nullopt;
}

// Nothing when the run is taken and its answer comes later.
std::optional<OfferOutcome> TakeOffered(Context& context,
                                        const std::string& from,
                                        const TaskOffer& offer,
                                        const OfferedTask& offered,
                                        const std::string& task) {
  OwnedWorker* worker = FindClaimed(context.state, offered.worker);
  if (worker == nullptr || worker->fence != offered.fence) {
    return OfferOutcome::kNotOwner;
  }
  const auto there = worker->runs.find(task);
  if (there != worker->runs.end()) {
    return RepeatedOffer(context, offered.worker, *worker, task, there->second,
                         offer, offered);
  }
  // An offer can be overtaken by the question what became of it. Once that was
  // answered with "not here", its run may have a successor elsewhere.
  const auto& refused = context.state.known[offer.job].refused;
  const auto last = refused.find(task);
  if (last != refused.end() && offered.run <= last->second) {
    return OfferOutcome::kOldRun;
  }
  if (HasEndOf(*worker, task, offered.run)) {
    RepeatEndsOf(*worker, task);
    return std::nullopt;  // the end itself is the answer
  }
  if (!Accepts(context, *worker)) {
    return OfferOutcome::kNotServing;
  }
  if (!Fits(RoomOf(offer.spec), FreeRoom(*worker))) {
    return OfferOutcome::kNoRoom;
  }
  LocalRun& run = worker->runs[task];
  run = LocalRun{
      .run = offered.run,
      .phase = offer.book_only ? RunPhase::kBooked : RunPhase::kStarting,
      .spec = offer.spec,
      .owner = from,
      .generation = offer.generation,
      .payload = offer.payload,
      .ticket = offered.ticket,
      .checkpoint = offered.checkpoint,
      .priority = offer.priority,
      .since = context.now,
      .answer_offer = !offer.book_only};
  RoomChanged(context, offered.worker);
  if (offer.book_only) {
    return OfferOutcome::kBooked;
  }
  OrderStart(context, offered.worker, *worker, task, run);
  return std::nullopt;
}

void AnswerIfAsked(Context& context,
                   const std::string& id,
                   const std::string& task,
                   LocalRun& run,
                   OfferOutcome outcome) {
  if (std::exchange(run.answer_offer, false)) {
    AnswerOffer(context, run.owner, id, task, run.run, outcome);
  }
}

void Confirm(Context& context,
             const std::string& id,
             const std::string& task,
             LocalRun& run) {
  run.confirmed = context.now;
  if (run.phase == RunPhase::kStarting) {
    EnterPhase(context, run, RunPhase::kRunning);
    AnswerIfAsked(context, id, task, run, OfferOutcome::kStarted);
  }
}

OfferOutcome OutcomeOf(WorkerRefusalKind kind) {
  switch (kind) {
    case WorkerRefusalKind::kOldRun:
      return OfferOutcome::kOldRun;
    case WorkerRefusalKind::kNoRoom:
      return OfferOutcome::kNoRoom;
    case WorkerRefusalKind::kBadTicket:
      return OfferOutcome::kBadTicket;
    case WorkerRefusalKind::kUnhealthy:
      return OfferOutcome::kNotServing;
    case WorkerRefusalKind::kFenced:
    case WorkerRefusalKind::kReplaced:
      return OfferOutcome::kNotOwner;
    case WorkerRefusalKind::kLate:
    case WorkerRefusalKind::kInvalid:
      break;
  }
  return OfferOutcome::kInvalid;
}

void OnStartRefused(Context& context,
                    const std::string& id,
                    OwnedWorker& worker,
                    const std::string& task,
                    LocalRun& run,
                    WorkerRefusalKind kind) {
  if (kind == WorkerRefusalKind::kLate) {
    return;  // repeated with the next lease
  }
  if (kind == WorkerRefusalKind::kOldRun) {
    // An earlier try of this order, unanswered, has started it, and it has
    // ended. Answering "refused" would make the job's owner start a task again
    // that may be done: the next listing tells how it ended.
    return Confirm(context, id, task, run);
  }
  context.Log(EventNumber::kStartRefused, {{"task", task},
                                           {"run", std::to_string(run.run)},
                                           {"worker", id},
                                           {"cause", WorkerRefusalName(kind)}});
  if (kind == WorkerRefusalKind::kUnhealthy) {
    worker.unhealthy_until = context.now + kUnhealthyPause;
  }
  AnswerIfAsked(context, id, task, run, OutcomeOf(kind));
  RemoveRun(context, id, worker, task);
}

void OnStartAnswer(Context& context,
                   const WorkerAnswered& event,
                   OwnedWorker& worker,
                   LocalRun& run,
                   const StartRun& order) {
  if (std::holds_alternative<WorkerDone>(event.answer)) {
    Confirm(context, event.worker, order.task, run);
    return;
  }
  const auto* refused = std::get_if<WorkerRefused>(&event.answer);
  if (refused != nullptr && run.phase == RunPhase::kStarting) {
    OnStartRefused(context, event.worker, worker, order.task, run,
                   refused->kind);
  }
}

void OnStopAnswer(Context& context,
                  const WorkerAnswered& event,
                  LocalRun& run) {
  const auto* refused = std::get_if<WorkerRefused>(&event.answer);
  const bool old =
      refused != nullptr && refused->kind == WorkerRefusalKind::kOldRun;
  if (std::holds_alternative<WorkerDone>(event.answer) || old) {
    run.stop_answered = true;
    run.confirmed = context.now;
  }
}

template <typename Order>
const Order* OrderOf(const WorkerAnswered& event) {
  return std::get_if<Order>(&event.request);
}

// A run that a former owner started.
void AddFound(Context& context,
              OwnedWorker& worker,
              const RunningRow& row,
              const TaskName& name) {
  LocalRun& run = worker.runs[row.task];
  run = LocalRun{.run = row.run,
                 .phase = RunPhase::kRunning,
                 .described = false,
                 .checkpoint = row.checkpoint,
                 .since = context.now,
                 .confirmed = context.now};
  const auto job = context.state.jobs.find(name.job);
  if (job != context.state.jobs.end()) {
    DescribeRuns(context, name.job, job->second.spec);
  } else {
    WantSpec(context, name.job);
  }
  context.state.known[name.job].heard = context.now;
  WantRecord(context, name.job);
}

void ApplyRunning(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const RunningRow& row) {
  auto it = worker.runs.find(row.task);
  if (it == worker.runs.end() || it->second.run < row.run) {
    const auto name = ParseTaskName(row.task);
    if (!name) {
      context.Log(EventNumber::kWorkerMalformed,
                  {{"worker", id}, {"problem", "task name " + row.task}});
      return;
    }
    AddFound(context, worker, row, *name);
    it = worker.runs.find(row.task);
  }
  LocalRun& run = it->second;
  if (run.run != row.run) {
    return;
  }
  run.checkpoint = row.checkpoint.empty() ? run.checkpoint : row.checkpoint;
  run.percent = row.percent;
  run.figure = row.figure;
  Confirm(context, id, row.task, run);
}

// Runs that the worker had, and that its listing lacks, have ended; their end
// stands in the listing or was acknowledged. A listing that was asked for
// before the run was confirmed does not speak of it.
void RemoveUnlisted(Context& context,
                    const std::string& id,
                    OwnedWorker& worker,
                    const WorkerDone& listing,
                    Time asked) {
  std::set<std::string> listed;
  for (const RunningRow& it : listing.running) {
    listed.insert(it.task);
  }
  std::vector<std::string> missing;
  for (const auto& [task, run] : worker.runs) {
    const bool was_there =
        run.confirmed != Time::min() && run.confirmed < asked;
    const bool orders_done =
        run.phase == RunPhase::kRunning ||
        (run.phase == RunPhase::kStopping && run.stop_answered);
    if (was_there && orders_done && !listed.contains(task)) {
      missing.push_back(task);
    }
  }
  for (const std::string& it : missing) {
    LocalRun& run = worker.runs[it];
    if (run.answer_offer) {
      AnswerIfAsked(context, id, it, run, OfferOutcome::kStopped);
    } else if (!HasEndOf(worker, it, run.run)) {
      ReportLostRun(context, id, it, run);
    }
    worker.runs.erase(it);
  }
  if (!missing.empty()) {
    RoomChanged(context, id);
  }
}

bool MustMove(const Context& context, const OwnedWorker& worker) {
  const ListedWorker* listed = FindWorker(context.state, worker.info.id);
  if (listed == nullptr || !listed->info.draining) {
    return false;
  }
  const Duration left = context.state.options.bounds.drain_time - kLeaveMargin;
  return HasPassed(context.now, listed->draining_since, left);
}

void DriveRun(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const std::string& task,
              LocalRun& run) {
  if (run.order_in_flight ||
      !HasPassed(context.now, run.ordered, kOrderRetry)) {
    return;
  }
  if (run.phase == RunPhase::kStarting) {
    if (HasPassed(context.now, run.since, kStartPatience)) {
      BeginStop(context, id, worker, task, run);
    } else {
      OrderStart(context, id, worker, task, run);
    }
  } else if (run.phase == RunPhase::kStopping && !run.stop_answered) {
    OrderStop(context, id, worker, task, run);
  }
}

// A later offer of the run, should it have been overtaken, is refused.
void SayAbsent(Context& context, const std::string& to, const RunQuery& query) {
  if (const auto name = ParseTaskName(query.task)) {
    std::uint64_t& refused = context.state.known[name->job].refused[query.task];
    refused = std::max(refused, query.run);
  }
  Send(context, to,
       RunReports{.runs = {{.task = query.task,
                            .run = query.run,
                            .worker = query.worker,
                            .state = RunState::kAbsent}}});
}

}  // namespace

void OnTaskOffer(Context& context,
                 const std::string& from,
                 const TaskOffer& offer) {
  const bool stale = IsStale(context, from, offer);
  for (const OfferedTask& it : offer.tasks) {
    const std::string task = ToString(TaskName{.job = offer.job,
                                               .occurrence = offer.occurrence,
                                               .step = offer.step,
                                               .index = it.index});
    const auto outcome = stale ? OfferOutcome::kOldOwner
                               : TakeOffered(context, from, offer, it, task);
    if (outcome) {
      AnswerOffer(context, from, it.worker, task, it.run, *outcome);
    }
  }
}

void OnTaskStops(Context& context,
                 const std::string& from,
                 const TaskStops& stops) {
  for (const TaskStop& it : stops.stops) {
    OwnedWorker* worker = FindClaimed(context.state, it.worker);
    const auto name = ParseTaskName(it.task);
    if (worker == nullptr || !name) {
      continue;
    }
    KnownJob& known = context.state.known[name->job];
    if (it.generation < known.generation) {
      continue;
    }
    known.heard = context.now;
    const auto run = worker->runs.find(it.task);
    if (run == worker->runs.end() || run->second.run != it.run) {
      ReportRun(context, from,
                {.task = it.task, .run = it.run, .worker = it.worker});
      continue;
    }
    if (run->second.phase == RunPhase::kBooked) {
      AnswerOffer(context, from, it.worker, it.task, it.run,
                  OfferOutcome::kStopped);
      RemoveRun(context, it.worker, *worker, it.task);
      continue;
    }
    BeginStop(context, it.worker, *worker, it.task, run->second);
  }
}

void ReportRun(Context& context, const std::string& to, const RunQuery& query) {
  OwnedWorker* worker = FindClaimed(context.state, query.worker);
  if (worker == nullptr) {
    if (context.state.gone.contains(query.worker)) {
      SayAbsent(context, to, query);
    }
    return;
  }
  const auto it = worker->runs.find(query.task);
  if (it != worker->runs.end() && it->second.run == query.run) {
    it->second.owner = to;
    const bool runs = it->second.phase == RunPhase::kRunning;
    return Send(context, to,
                RunReports{.runs = {{.task = query.task,
                                     .run = query.run,
                                     .worker = query.worker,
                                     .state = runs ? RunState::kRunning
                                                   : RunState::kPending,
                                     .checkpoint = it->second.checkpoint}}});
  }
  if (RepeatEndsOf(*worker, query.task)) {
    return;  // the end itself says more
  }
  worker->proof_wanted = true;
  worker->questions.push_back(
      {.from = to, .task = query.task, .run = query.run, .came = context.now});
}

void AnswerQuestions(Context& context,
                     const std::string& id,
                     OwnedWorker& worker) {
  std::vector<OpenQuestion> open;
  for (const OpenQuestion& it : std::exchange(worker.questions, {})) {
    if (it.came > worker.proven) {
      open.push_back(it);
      continue;
    }
    const auto run = worker.runs.find(it.task);
    const bool here = run != worker.runs.end() && run->second.run == it.run;
    if (!here && !RepeatEndsOf(worker, it.task)) {
      SayAbsent(context, it.from,
                {.task = it.task, .run = it.run, .worker = id});
    }
  }
  worker.proof_wanted = worker.proof_wanted || !open.empty();
  worker.questions = std::move(open);
}

void OnRunQueries(Context& context,
                  const std::string& from,
                  const RunQueries& queries) {
  for (const RunQuery& it : queries.runs) {
    ReportRun(context, from, it);
  }
}

void OnAdoptQuery(Context& context,
                  const std::string& from,
                  const AdoptQuery& query) {
  AdoptReport report;
  std::set<std::string> jobs;
  Time asked{0};
  for (const JobGeneration& it : query.jobs) {
    KnownJob& known = context.state.known[it.job];
    if (it.generation < known.generation) {
      continue;
    }
    if (it.generation > known.generation || known.owner != from ||
        known.adopted == Time(0)) {
      known.adopted = context.now;
    }
    known.owner = from;
    known.generation = it.generation;
    known.heard = context.now;
    asked = std::max(asked, known.adopted);
    jobs.insert(it.job);
    report.jobs.push_back(it.job);
  }
  for (auto& [id, worker] : context.state.owned) {
    if (!worker.claimed) {
      continue;
    }
    // Only a worker that is surely owned since the question first came.
    if (worker.proven >= asked) {
      report.covered.push_back({.worker = id, .fence = worker.fence});
    } else {
      worker.proof_wanted = true;
    }
    for (auto& [task, run] : worker.runs) {
      const auto name = ParseTaskName(task);
      if (!name || !jobs.contains(name->job)) {
        continue;
      }
      run.owner = from;
      report.runs.push_back({.task = task,
                             .run = run.run,
                             .worker = id,
                             .state = run.phase == RunPhase::kRunning
                                          ? RunState::kRunning
                                          : RunState::kPending,
                             .checkpoint = run.checkpoint});
    }
    AddEndsOfJobs(id, worker, jobs, report.ends);
  }
  for (const auto& [id, it] : context.state.gone) {
    report.covered.push_back({.worker = id, .fence = it.fence, .gone = true});
  }
  Send(context, from, std::move(report));
}

void OnOrderAnswer(Context& context, const WorkerAnswered& event) {
  const auto worker = context.state.owned.find(event.worker);
  if (worker == context.state.owned.end()) {
    return;
  }
  const auto* refused = std::get_if<WorkerRefused>(&event.answer);
  if (refused != nullptr && refused->kind == WorkerRefusalKind::kReplaced) {
    return WorkerIsGone(context, event.worker, "another life answers");
  }
  const auto* start = OrderOf<StartRun>(event);
  const auto* stop = OrderOf<StopRun>(event);
  const std::uint64_t fence = start != nullptr  ? start->fence
                              : stop != nullptr ? stop->fence
                                                : 0;
  if (fence != worker->second.fence) {
    return;
  }
  if (refused != nullptr && refused->kind == WorkerRefusalKind::kFenced) {
    return LoseWorker(context, event.worker);
  }
  const std::string& task = start != nullptr ? start->task : stop->task;
  const std::uint64_t number = start != nullptr ? start->run : stop->run;
  const auto run = worker->second.runs.find(task);
  if (run == worker->second.runs.end() || run->second.run != number) {
    return;
  }
  run->second.order_in_flight = false;
  if (start != nullptr) {
    OnStartAnswer(context, event, worker->second, run->second, *start);
  } else {
    OnStopAnswer(context, event, run->second);
  }
}

void ApplyListing(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const WorkerDone& listing,
                  Time asked) {
  bool ended = false;
  for (const EndedRow& it : listing.ended) {
    ended = ApplyEnd(context, id, worker, it) || ended;
  }
  for (const RunningRow& it : listing.running) {
    ApplyRunning(context, id, worker, it);
  }
  RemoveUnlisted(context, id, worker, listing, asked);
  if (ended) {
    RoomChanged(context, id);
  }
  ReviewPace(context, id, worker);
}

void DriveRuns(Context& context, const std::string& id, OwnedWorker& worker) {
  if (!worker.claimed) {
    return;
  }
  const bool move = MustMove(context, worker);
  std::vector<std::string> expired;
  for (auto& [task, run] : worker.runs) {
    const bool booked = run.phase == RunPhase::kBooked;
    if (booked && HasPassed(context.now, run.since, kBookingTime)) {
      expired.push_back(task);
      continue;
    }
    if (move && run.phase == RunPhase::kRunning) {
      BeginStop(context, id, worker, task, run);
    }
    DriveRun(context, id, worker, task, run);
  }
  for (const std::string& it : expired) {
    RemoveRun(context, id, worker, it);
  }
}

void AnswerOffer(Context& context,
                 const std::string& to,
                 const std::string& worker,
                 const std::string& task,
                 std::uint64_t run,
                 OfferOutcome outcome) {
  Send(context, to,
       OfferAnswers{.answers = {{.task = task,
                                 .run = run,
                                 .worker = worker,
                                 .outcome = outcome}}});
}

void StopRunsOf(Context& context, const std::string& job) {
  for (auto& [id, worker] : context.state.owned) {
    for (auto& [task, run] : worker.runs) {
      const auto name = ParseTaskName(task);
      if (name && name->job == job && run.phase == RunPhase::kRunning) {
        BeginStop(context, id, worker, task, run);
      }
    }
  }
}

void DescribeRuns(Context& context,
                  const std::string& job,
                  const JobSpec& spec) {
  for (auto& [id, worker] : context.state.owned) {
    bool changed = false;
    for (auto& [task, run] : worker.runs) {
      const auto name = ParseTaskName(task);
      const bool known = !run.described && name && name->job == job &&
                         name->step < spec.steps.size();
      if (known) {
        run.spec = spec.steps[name->step];
        run.described = true;
        changed = true;
      }
    }
    if (changed) {
      RoomChanged(context, id);
    }
  }
}

}  // namespace burdockrock::engine
