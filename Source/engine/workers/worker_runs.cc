#include "engine/workers/worker_runs.h"

#include <algorithm>
#include <set>
#include <utility>

#include "engine/jobs/preemption.h"
#include "engine/jobs/run_queries.h"
#include "engine/members/digests.h"
#include "engine/records/catalog.h"
#include "engine/workers/stray_calls.h"
#include "engine/workers/worker_list.h"
#include "engine/workers/worker_owner.h"
#include "engine/workers/worker_restarts.h"

namespace burdockrock::engine {

namespace {

// An answered stop is repeated until the run is listed as ended. Longer than
// the slowest stop and the longest wait for a listing.
constexpr Duration kStopRepeat = milliseconds(2500);
// Of a command's timeout, one for each attempt without a reply.
constexpr std::uint32_t kMaxDoublings = 4;

// Doubles with each attempt, so that replies that have become slow still
// arrive in time.
Duration CommandTimeout(const Context& context, std::uint32_t tries) {
  const Duration first = context.state.worker_responses.response_time.Timeout(
      kMinCommandTimeout, kMaxCommandTimeout);
  return std::min(first * (1 << std::min(tries, kMaxDoublings)),
                  kMaxCommandTimeout);
}

void RecordCommandReply(Context& context, const WorkerAnswered& event) {
  if (!std::holds_alternative<WorkerUnreached>(event.answer)) {
    return RecordResponseTime(context, event);
  }
  const auto worker = context.state.owned.find(event.worker);
  if (worker != context.state.owned.end()) {
    worker->second.unanswered_at = context.now;
  }
}

void SendStop(Context& context,
              const std::string& id,
              OwnedWorker& worker,
              const std::string& task,
              LocalRun& run) {
  if (HasRestarted(worker)) {
    return;  // its next incarnation stops the run if it is there
  }
  run.command_sent_at = context.now;
  run.command_in_flight = true;
  context.Emit(CallWorker{
      .worker = id,
      .address = worker.info.address,
      .request = StopRun{.task = task, .run = run.run, .fence = worker.fence},
      .timeout = CommandTimeout(context, run.command_attempts++)});
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
    return;  // the command is repeated with the next lease
  }
  if (kind == WorkerRefusalKind::kOldRun) {
    // An earlier attempt without a reply has started the run, and the run has
    // ended. A refusal would make the job's owner start a task again that may
    // be done; the next listing reports how it ended.
    return ConfirmRun(context, id, task, run);
  }
  context.Log(EventNumber::kStartRefused, {{"task", task},
                                           {"run", std::to_string(run.run)},
                                           {"worker", id},
                                           {"cause", WorkerRefusalName(kind)}});
  if (kind == WorkerRefusalKind::kUnhealthy) {
    worker.unhealthy_until = context.now + kUnhealthyPause;
  }
  if (run.start_unanswered_at != Time::min()) {
    // The worker may execute the earlier attempt seconds from now, when the
    // task has been started elsewhere, so that it would run twice. After a stop
    // the worker refuses the start, and the job's owner gets its answer.
    return BeginRunStop(context, id, worker, task, run);
  }
  AnswerPendingOffer(context, id, task, run, OutcomeOf(kind));
  RemoveRun(context, id, worker, task);
}

void OnStartAnswer(Context& context,
                   const WorkerAnswered& event,
                   OwnedWorker& worker,
                   LocalRun& run,
                   const StartRun& command) {
  if (std::holds_alternative<WorkerDone>(event.answer)) {
    ConfirmRun(context, event.worker, command.task, run);
    return;
  }
  const auto* refused = std::get_if<WorkerRefused>(&event.answer);
  if (refused != nullptr && run.phase == RunPhase::kStarting) {
    OnStartRefused(context, event.worker, worker, command.task, run,
                   refused->kind);
  }
}

void OnStopAnswer(Context& context,
                  const WorkerAnswered& event,
                  LocalRun& run) {
  const auto* refused = std::get_if<WorkerRefused>(&event.answer);
  const bool old_run =
      refused != nullptr && refused->kind == WorkerRefusalKind::kOldRun;
  if (std::holds_alternative<WorkerDone>(event.answer) || old_run) {
    run.stop_answered = true;
    run.confirmed = context.now;
  }
}

template <typename Command>
const Command* CommandOf(const WorkerAnswered& event) {
  return std::get_if<Command>(&event.request);
}

// Takes note of whether a start reached the process that it was meant for.
void NoteStartReply(const Context& context,
                    OwnedWorker& worker,
                    const WorkerAnswered& event) {
  const auto* start = CommandOf<StartRun>(event);
  if (start == nullptr || start->fence != worker.fence) {
    return;
  }
  const auto it = worker.runs.find(start->task);
  if (it == worker.runs.end() || it->second.run != start->run) {
    return;
  }
  LocalRun& run = it->second;
  run.command_in_flight = false;
  if (const auto* done = std::get_if<WorkerDone>(&event.answer)) {
    run.seen_at_process =
        run.seen_at_process ||
        SourceOfReply(context, worker, done->clock_ms, event.called_at) ==
            ReplySource::kKnownProcess;
  } else if (const auto* none = std::get_if<WorkerUnreached>(&event.answer);
             none != nullptr && none->may_have_run) {
    run.start_unanswered_at =
        std::max(run.start_unanswered_at, event.called_at);
  }
}

// Whether the reply to a command shows that a later process of the worker has
// carried it out.
bool IsOfLaterProcess(const Context& context,
                      const OwnedWorker& worker,
                      const WorkerAnswered& event) {
  const auto* done = std::get_if<WorkerDone>(&event.answer);
  return done != nullptr &&
         SourceOfReply(context, worker, done->clock_ms, event.called_at) ==
             ReplySource::kLaterProcess;
}

// The next reply to a poll names the process.
void OnLaterProcessAnswered(Context& context,
                            const std::string& id,
                            OwnedWorker& worker,
                            const std::string& task) {
  worker.ownership_check_due = true;
  if (std::exchange(worker.later_process_answered, true)) {
    return;
  }
  context.Log(EventNumber::kLaterProcessAnswered,
              {{"worker", id},
               {"task", task},
               {"runs", std::to_string(worker.runs.size())}});
  RoomChanged(context, id);
}

// Whether the run's start was sent, so that the worker may have the run.
bool StartWasSent(const LocalRun& run) {
  return run.phase != RunPhase::kBooked && run.phase != RunPhase::kAwaitingRoom;
}

bool MustMove(const Context& context, const OwnedWorker& worker) {
  if (!worker.info.draining) {
    return false;
  }
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
  if (run.command_in_flight || worker.later_process_answered ||
      !HasPassed(context.now, run.command_sent_at, kCommandRetryDelay)) {
    return;
  }
  if (run.phase == RunPhase::kStarting) {
    if (HasPassed(context.now, run.since, kStartTimeout)) {
      BeginRunStop(context, id, worker, task, run);
    } else {
      SendStart(context, id, worker, task, run);
    }
  } else if (run.phase == RunPhase::kStopping &&
             (!run.stop_answered ||
              HasPassed(context.now, run.command_sent_at, kStopRepeat))) {
    SendStop(context, id, worker, task, run);
  }
}

}  // namespace

void SendStart(Context& context,
               const std::string& id,
               OwnedWorker& worker,
               const std::string& task,
               LocalRun& run) {
  if (worker.later_process_answered) {
    return;  // it would reach the process that is there now
  }
  run.command_sent_at = context.now;
  run.command_in_flight = true;
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
                 .timeout = CommandTimeout(context, run.command_attempts++)});
}

void RecordResponseTime(Context& context, const WorkerAnswered& event) {
  ResponseTime& time = context.state.worker_responses.response_time;
  time = time.With(context.now - event.called_at);
}

void EnterPhase(Context& context, LocalRun& run, RunPhase phase) {
  run.command_attempts = 0;
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

void BeginRunStop(Context& context,
                  const std::string& id,
                  OwnedWorker& worker,
                  const std::string& task,
                  LocalRun& run) {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  EnterPhase(context, run, RunPhase::kStopping);
  run.stop_answered = false;
  SendStop(context, id, worker, task, run);
}

void AnswerPendingOffer(Context& context,
                        const std::string& id,
                        const std::string& task,
                        LocalRun& run,
                        OfferOutcome outcome) {
  if (std::exchange(run.offer_unanswered, false)) {
    AnswerOffer(context, run.owner, id, task, run.run, outcome);
  }
}

void ConfirmRun(Context& context,
                const std::string& id,
                const std::string& task,
                LocalRun& run) {
  run.confirmed = context.now;
  if (run.phase == RunPhase::kStarting) {
    EnterPhase(context, run, RunPhase::kRunning);
    AnswerPendingOffer(context, id, task, run, OfferOutcome::kStarted);
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
    NoteOwner(known, from, it.generation);
    known.last_update = context.now;
    const auto run = worker->runs.find(it.task);
    if (run == worker->runs.end() || run->second.run != it.run) {
      // The run's offer may arrive after this stop and must not start the run.
      std::uint64_t& refused = known.refused_runs[it.task];
      refused = std::max(refused, it.run);
      ReportRun(context, from,
                {.task = it.task, .run = it.run, .worker = it.worker});
      continue;
    }
    if (!StartWasSent(run->second)) {
      AnswerOffer(context, from, it.worker, it.task, it.run,
                  OfferOutcome::kStopped);
      RemoveRun(context, it.worker, *worker, it.task);
      continue;
    }
    BeginRunStop(context, it.worker, *worker, it.task, run->second);
  }
}

void OnCommandReply(Context& context, const WorkerAnswered& event) {
  RecordCommandReply(context, event);
  const auto worker = context.state.owned.find(event.worker);
  if (worker == context.state.owned.end()) {
    return;
  }
  ExtendStrayLeases(context, worker->second, event);
  NoteStartReply(context, worker->second, event);
  if (HasRestarted(worker->second)) {
    return;
  }
  const auto* refused = std::get_if<WorkerRefused>(&event.answer);
  if (refused != nullptr && refused->kind == WorkerRefusalKind::kReplaced) {
    return DeclareWorkerLost(context, event.worker, LossKind::kEnded,
                             "replaced by another incarnation");
  }
  const auto* start = CommandOf<StartRun>(event);
  const auto* stop = CommandOf<StopRun>(event);
  const std::uint64_t fence = start != nullptr  ? start->fence
                              : stop != nullptr ? stop->fence
                                                : 0;
  if (fence != worker->second.fence) {
    return;
  }
  if (refused != nullptr && refused->kind == WorkerRefusalKind::kFenced) {
    return OnFenced(context, event.worker);
  }
  const std::string& task = start != nullptr ? start->task : stop->task;
  const std::uint64_t number = start != nullptr ? start->run : stop->run;
  const auto run = worker->second.runs.find(task);
  if (run == worker->second.runs.end() || run->second.run != number) {
    return;
  }
  run->second.command_in_flight = false;
  if (IsOfLaterProcess(context, worker->second, event)) {
    return OnLaterProcessAnswered(context, event.worker, worker->second, task);
  }
  if (start != nullptr) {
    OnStartAnswer(context, event, worker->second, run->second, *start);
  } else {
    OnStopAnswer(context, event, run->second);
  }
}

void DriveRuns(Context& context, const std::string& id, OwnedWorker& worker) {
  if (!worker.claimed) {
    return;
  }
  const bool move = MustMove(context, worker);
  std::vector<std::string> expired;
  for (auto& [task, run] : worker.runs) {
    if (run.alone_for > Duration(0) && run.phase == RunPhase::kRunning &&
        HasPassed(context.now, run.since, run.alone_for)) {
      run.alone_for = Duration(0);
      RoomChanged(context, id);
    }
    const bool booked = run.phase == RunPhase::kBooked;
    if (booked && HasPassed(context.now, run.since, kBookingTimeout)) {
      expired.push_back(task);
      continue;
    }
    if (move && run.phase == RunPhase::kRunning) {
      BeginRunStop(context, id, worker, task, run);
    }
    DriveRun(context, id, worker, task, run);
  }
  for (const std::string& it : expired) {
    RemoveRun(context, id, worker, it);
  }
  DriveRunsAwaitingRoom(context, id, worker);
}

void SendOfferAnswers(Context& context,
                      const std::string& to,
                      OfferAnswers answers) {
  std::set<std::string> refused;
  for (const OfferAnswer& it : answers.answers) {
    const bool taken = it.outcome == OfferOutcome::kStarted ||
                       it.outcome == OfferOutcome::kBooked;
    if (!taken && refused.insert(it.worker).second) {
      if (auto room = RoomOfWorker(context, it.worker)) {
        answers.rooms.push_back(std::move(*room));
      }
    }
  }
  Send(context, to, std::move(answers));
}

void AnswerOffer(Context& context,
                 const std::string& to,
                 const std::string& worker,
                 const std::string& task,
                 std::uint64_t run,
                 OfferOutcome outcome) {
  SendOfferAnswers(context, to,
                   OfferAnswers{.answers = {{.task = task,
                                             .run = run,
                                             .worker = worker,
                                             .outcome = outcome}}});
}

void StopRunsOfJob(Context& context, const std::string& job) {
  for (auto& [id, worker] : context.state.owned) {
    std::vector<std::string> not_started;
    for (auto& [task, run] : worker.runs) {
      const auto name = ParseTaskName(task);
      if (!worker.claimed || !name || name->job != job) {
        continue;
      }
      if (StartWasSent(run)) {
        BeginRunStop(context, id, worker, task, run);
      } else {
        AnswerPendingOffer(context, id, task, run, OfferOutcome::kStopped);
        not_started.push_back(task);
      }
    }
    for (const std::string& it : not_started) {
      RemoveRun(context, id, worker, it);
    }
  }
}

}  // namespace burdockrock::engine
