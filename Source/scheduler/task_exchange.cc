// Exchanges messages between the writer of a job's journal and the owners of
// the workers that run its tasks.
#include <algorithm>
#include <utility>

#include "scheduler/attempt_updates.h"
#include "scheduler/context.h"
#include "scheduler/gangs.h"
#include "scheduler/job_status.h"
#include "scheduler/request_admission.h"
#include "scheduler/tasks.h"

namespace burdockrock {

namespace {

constexpr Duration kOfferRepeatInterval = std::chrono::seconds(1);
constexpr Duration kEndRepeatInterval = std::chrono::seconds(1);
constexpr Duration kEarlyStopRetention = std::chrono::seconds(60);
constexpr Duration kMovedRetention = std::chrono::minutes(10);
// Reason of a refusal: the attempt may be running, but under another owner.
constexpr char kMoved[] = "moved";
// Reason of a refusal: no worker has room for a task of that size.
constexpr char kNoRoom[] = "no_room";
// Reason of a refusal: the attempt is not here, and an offer of it that is
// still in transit will be refused.
constexpr char kStopped[] = "stopped";

AttemptReport ReportOf(const Booking& booking) {
  return {.attempt = booking.attempt,
          .resources = booking.resources,
          .state = booking.state,
          .outcome = booking.outcome,
          .answer = booking.answer};
}

bool IsOwnLog(const Context& context, const std::string& log) {
  return context.state().jobs.journals.contains(log);
}

void Refuse(Context& context,
            const std::string& peer,
            std::uint64_t sequence,
            const AttemptId& attempt,
            const std::string& why) {
  context.Send(
      peer,
      TaskRefused{.sequence = sequence, .attempt = attempt, .reason = why});
}

// Returns the reason to refuse an offer; empty when it may be accepted.
std::string OfferProblem(Context& context, const TaskOffer& offer) {
  State& state = context.state();
  const auto fence = state.jobs.fences.find(LogOfJob(offer.attempt.job));
  if (fence != state.jobs.fences.end() && offer.generation < fence->second) {
    return "old_generation";
  }
  if (state.jobs.stopped_early.contains(offer.attempt)) {
    return kStopped;
  }
  if (state.jobs.moved.contains(offer.attempt)) {
    return kMoved;
  }
  return state.drain.draining ? "draining" : "";
}

void RepeatOffers(Context& context, Job& job) {
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    const Task& task = job.tasks[it];
    const bool waits = task.state == TaskState::kStarting &&
                       !task.owner.empty() && task.owner != context.self() &&
                       context.now() - task.last_sent >= kOfferRepeatInterval;
    if (waits) {
      OfferTask(context, job, it, task.owner, job.spec.kind == JobKind::kGang);
    }
  }
}

// Repeats stops and goes until an update of the attempt shows their effect.
void RepeatStops(Context& context, Job& job) {
  for (std::uint32_t it = 0; it < job.tasks.size(); ++it) {
    const Task& task = job.tasks[it];
    if (context.now() - task.last_sent < kOfferRepeatInterval) {
      continue;
    }
    if (task.state == TaskState::kStopping) {
      StopAttempt(context, job, it);
    } else if (task.state == TaskState::kHeld && job.gang_running) {
      GoAttempt(context, job, it);
    }
  }
}

}  // namespace

std::string WriterOf(const Context& context, const std::string& log) {
  const State& state = context.state();
  const auto own = state.jobs.journals.find(log);
  std::string writer;
  std::uint64_t generation = 0;
  if (own != state.jobs.journals.end() && own->second.ready) {
    writer = context.self();
    generation = own->second.generation;
  }
  for (const auto& [id, peer] : state.membership.peers) {
    if (!peer.alive) {
      continue;
    }
    for (const LedLog& it : peer.digest.logs) {
      if (it.name == log && it.generation > generation) {
        writer = id;
        generation = it.generation;
      }
    }
  }
  return writer;
}

WorkerRecord* FindBooking(Context& context, const AttemptId& attempt) {
  Ownership& ownership = context.state().ownership;
  const auto it = ownership.attempt_workers.find(attempt);
  return it == ownership.attempt_workers.end()
             ? nullptr
             : &ownership.workers.at(it->second);
}

void OfferTask(Context& context,
               Job& job,
               std::uint32_t index,
               const std::string& peer,
               bool hold) {
  Peer& target = context.state().membership.peers.at(peer);
  Task& task = job.tasks[index];
  task.owner = peer;
  task.worker.clear();
  task.last_sent = context.now();
  task.offer_sequence = ++target.offer_sequence;
  target.offered_resources += job.spec.resources;
  context.Send(
      peer,
      TaskOffer{
          .sequence = task.offer_sequence,
          .to_incarnation = target.incarnation,
          .generation = context.state().jobs.journals.at(job.log).generation,
          .attempt = {.job = job.id, .task = index, .number = task.attempt},
          .kind = job.spec.kind,
          .resources = job.spec.resources,
          .payload = job.spec.payload,
          .hold = hold});
}

void OnTaskOffer(Context& context,
                 const std::string& from,
                 const TaskOffer& offer) {
  State& state = context.state();
  Peer& peer = state.membership.peers.at(from);
  // A duplicate or reordered offer is dropped without a reply: its attempt may
  // have started and ended meanwhile, and would start again. An offer that was
  // lost is repeated under a new sequence number.
  if (offer.to_incarnation != state.self.incarnation ||
      offer.sequence <= peer.accepted_sequence) {
    return;
  }
  peer.accepted_sequence = offer.sequence;
  WorkerRecord* holder = FindBooking(context, offer.attempt);
  if (holder != nullptr) {
    Booking& booking = holder->bookings.at(offer.attempt);
    booking.offer_sequence = offer.sequence;
    if (booking.confirmed != Time(0)) {
      ReportToWriter(context, *holder, booking);
    }
    return;
  }
  const std::string problem = OfferProblem(context, offer);
  if (!problem.empty()) {
    Refuse(context, from, offer.sequence, offer.attempt, problem);
    return;
  }
  const WorkerPolicy policy = offer.kind == JobKind::kService
                                  ? WorkerPolicy::kSpread
                                  : WorkerPolicy::kPack;
  const auto index = state.placement.PickWorker(offer.resources, policy);
  if (!index) {
    const bool is_outranked =
        offer.hold && IsOutranked(context, offer.attempt.job);
    Refuse(context, from, offer.sequence, offer.attempt,
           is_outranked ? kOutranked : kNoRoom);
    if (offer.hold && !is_outranked) {
      OutrankOthers(context, offer.attempt.job);
    }
    return;
  }
  WorkerRecord& worker =
      state.ownership.workers.at(state.placement.info(*index).id);
  StartOnWorker(context, worker,
                {.attempt = offer.attempt,
                 .resources = offer.resources,
                 .payload = offer.payload,
                 .hold = offer.hold,
                 .offered_by = from,
                 .offer_sequence = offer.sequence});
}

void OnTaskRefused(Context& context,
                   const std::string& from,
                   const TaskRefused& refused) {
  Task* task = nullptr;
  Job* job = JobOfAttempt(context, refused.attempt, &task);
  if (refused.reason == kMoved) {
    if (job != nullptr && task->attempt == refused.attempt.number &&
        task->owner == from && IsOutstanding(*task)) {
      OrphanTask(context, *job, refused.attempt.task);
    }
    return;
  }
  if (refused.reason == kOutranked && refused.sequence == 0) {
    if (job != nullptr && task->attempt == refused.attempt.number) {
      OnGangOutranked(context, *job);
    }
    return;
  }
  const bool is_stopped = refused.reason == kStopped && job != nullptr &&
                          task->attempt == refused.attempt.number &&
                          task->owner == from &&
                          task->state == TaskState::kStopping;
  if (is_stopped) {
    OnAttemptNotStarted(context, refused.attempt, refused.reason);
    return;
  }
  // Only the reply to the latest offer counts: an earlier offer may have been
  // refused and a later one accepted.
  const bool is_current =
      job != nullptr && task->attempt == refused.attempt.number &&
      task->owner == from && task->offer_sequence == refused.sequence &&
      (task->state == TaskState::kStarting ||
       task->state == TaskState::kStopping);
  Peer& peer = context.state().membership.peers.at(from);
  if (job != nullptr &&
      (refused.reason == kNoRoom || refused.reason == kOutranked)) {
    const Resources& need = job->spec.resources;
    if (PlacesAt(peer, need) > 0) {
      peer.refused_sizes.push_back(need);
    }
    const bool is_counted = is_current && task->state == TaskState::kStarting &&
                            task->last_sent >= peer.digest_at;
    if (is_counted) {
      peer.offered_resources -= need;
    }
  } else {
    peer.refused_work = true;
  }
  if (is_current) {
    OnAttemptNotStarted(context, refused.attempt, refused.reason);
  }
}

void OnAttemptMoved(Context& context, const Booking& booking) {
  if (booking.offered_by.empty()) {
    Task* task = nullptr;
    Job* job = JobOfAttempt(context, booking.attempt, &task);
    if (job != nullptr && task->attempt == booking.attempt.number &&
        task->owner == context.self()) {
      OrphanTask(context, *job, booking.attempt.task);
    }
    return;
  }
  context.state().jobs.moved[booking.attempt] = context.now() + kMovedRetention;
  Refuse(context, booking.offered_by, booking.offer_sequence, booking.attempt,
         kMoved);
}

void OnStartAccepted(Context& context,
                     WorkerRecord& worker,
                     const AttemptId& attempt) {
  Booking& booking = worker.bookings.at(attempt);
  booking.unverified = false;
  ReportToWriter(context, worker, booking);
}

void OnStartRejected(Context& context,
                     WorkerRecord& worker,
                     const AttemptId& attempt,
                     const std::string& why) {
  const Booking booking = worker.bookings.at(attempt);
  EraseBooking(context, worker, attempt);
  if (why == kNoRoom) {
    // The worker has less free capacity than its bookings imply. It gets no
    // more starts until it has reported what it runs.
    worker.suspect = true;
    UpdateOpen(context, worker);
    RenewNow(context, worker);
  }
  if (booking.offered_by.empty()) {
    OnAttemptNotStarted(context, attempt, why);
    return;
  }
  Refuse(context, booking.offered_by, booking.offer_sequence, attempt, why);
}

void OnEndReported(Context& context,
                   WorkerRecord& worker,
                   const AttemptReport& report) {
  const auto it = worker.bookings.find(report.attempt);
  if (it != worker.bookings.end() && it->second.state == AttemptState::kEnded) {
    return;  // reported already; repeated until acknowledged
  }
  if (it == worker.bookings.end()) {
    AddBooking(context, worker,
               {.attempt = report.attempt,
                .resources = report.resources,
                .confirmed = context.now(),
                .holds_room = false});
  }
  Booking& booking = worker.bookings.at(report.attempt);
  if (booking.holds_room && worker.index) {
    context.state().placement.Give(*worker.index, booking.resources);
    OnRoomFreed(context);
  }
  booking.holds_room = false;
  booking.unverified = false;
  booking.state = AttemptState::kEnded;
  booking.outcome = report.outcome;
  booking.answer = report.answer;
  const bool is_judged =
      report.outcome == Outcome::kDone || report.outcome == Outcome::kFailed;
  if (is_judged) {
    Task* task = nullptr;
    const Job* job = JobOfAttempt(context, report.attempt, &task);
    const bool failed = report.outcome == Outcome::kFailed;
    RecordAttemptEnd(context, worker,
                     failed ? FailureGroup(context, worker, report.attempt)
                            : report.attempt.job,
                     failed, job != nullptr && job->bad);
  }
  OnBookingsChanged(context, worker);
  ReportToWriter(context, worker, booking);
}

void ReportToWriter(Context& context,
                    const WorkerRecord& worker,
                    Booking& booking) {
  booking.end_reported_at = context.now();
  const AttemptReport report = ReportOf(booking);
  const std::string log = LogOfJob(report.attempt.job);
  const std::string writer = WriterOf(context, log);
  const std::string id = worker.info.id;
  if (writer == context.self()) {
    if (report.state == AttemptState::kEnded) {
      OnAttemptEnded(context, report, id, context.self());
    } else {
      OnAttemptRunning(context, report.attempt,
                       report.state == AttemptState::kHeld, id, context.self());
    }
    return;
  }
  // Without a known writer, OnOffersTimer reports the end again later.
  if (!writer.empty()) {
    context.Send(writer, TaskUpdate{.report = report, .worker = id});
  }
}

void OnTaskUpdate(Context& context,
                  const std::string& from,
                  const TaskUpdate& update) {
  if (!IsOwnLog(context, LogOfJob(update.report.attempt.job))) {
    return;
  }
  if (update.report.state == AttemptState::kEnded) {
    OnAttemptEnded(context, update.report, update.worker, from);
    return;
  }
  OnAttemptRunning(context, update.report.attempt,
                   update.report.state == AttemptState::kHeld, update.worker,
                   from);
}

void AcknowledgeEnd(Context& context,
                    const AttemptId& attempt,
                    const std::string& owner) {
  if (owner.empty() || owner == context.self()) {
    OnTaskAcknowledged(context, attempt);
    return;
  }
  context.Send(owner, TaskAcknowledged{.attempt = attempt});
}

void OnTaskAcknowledged(Context& context, const AttemptId& attempt) {
  WorkerRecord* worker = FindBooking(context, attempt);
  if (worker == nullptr ||
      worker->bookings.at(attempt).state != AttemptState::kEnded) {
    return;
  }
  EraseBooking(context, *worker, attempt);
  worker->acknowledge.push_back(attempt);
}

void OnTaskGo(Context& context, const AttemptId& attempt) {
  WorkerRecord* worker = FindBooking(context, attempt);
  if (worker == nullptr ||
      worker->bookings.at(attempt).state != AttemptState::kHeld) {
    return;
  }
  worker->go.push_back(attempt);
  RenewNow(context, *worker);
}

void OnTaskStop(Context& context,
                const std::string& from,
                const AttemptId& attempt) {
  WorkerRecord* worker = FindBooking(context, attempt);
  if (worker != nullptr) {
    CommandWorker(context, *worker,
                  StopCommand{.epoch = worker->epoch, .attempts = {attempt}},
                  StopPurpose{});
    return;
  }
  Jobs& jobs = context.state().jobs;
  if (jobs.moved.contains(attempt)) {
    Refuse(context, from, 0, attempt, kMoved);
    return;
  }
  // The offer may still be in transit.
  jobs.stopped_early[attempt] = context.now() + kEarlyStopRetention;
  Refuse(context, from, 0, attempt, kStopped);
}

void StopAttempt(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  const AttemptId attempt{.job = job.id, .task = index, .number = task.attempt};
  task.state = TaskState::kStopping;
  task.last_sent = context.now();
  if (task.owner == context.self() &&
      FindBooking(context, attempt) != nullptr) {
    OnTaskStop(context, context.self(), attempt);
    return;
  }
  if (task.owner.empty() || task.owner == context.self()) {
    OrphanTask(context, job, index);
    return;
  }
  context.Send(task.owner, TaskStop{.attempt = attempt});
}

void GoAttempt(Context& context, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  task.last_sent = context.now();
  const AttemptId attempt{.job = job.id, .task = index, .number = task.attempt};
  if (task.owner.empty() || task.owner == context.self()) {
    OnTaskGo(context, attempt);
    return;
  }
  context.Send(task.owner, TaskGo{.attempt = attempt});
}

void OnOffersTimer(Context& context) {
  State& state = context.state();
  for (auto& [id, job] : state.jobs.jobs) {
    if (!job.finished && job.recorded) {
      RepeatOffers(context, job);
      RepeatStops(context, job);
    }
  }
  for (auto& [id, worker] : state.ownership.workers) {
    std::vector<AttemptId> unacknowledged;
    for (const auto& [attempt, booking] : worker.bookings) {
      if (booking.state == AttemptState::kEnded &&
          context.now() - booking.end_reported_at >= kEndRepeatInterval) {
        unacknowledged.push_back(attempt);
      }
    }
    for (const AttemptId& it : unacknowledged) {
      const auto booking = worker.bookings.find(it);
      if (booking != worker.bookings.end()) {
        ReportToWriter(context, worker, booking->second);
      }
    }
  }
  std::erase_if(state.jobs.stopped_early,
                [&](const auto& it) { return it.second < context.now(); });
  std::erase_if(state.jobs.moved,
                [&](const auto& it) { return it.second < context.now(); });
  ForgetOldForwards(context);
  ExpireForwardedQueries(context);
  context.ScheduleAfter(kOfferRepeatInterval, TimerKind::kOffers);
}

}  // namespace burdockrock
