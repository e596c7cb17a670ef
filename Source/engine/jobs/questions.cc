#include "engine/jobs/questions.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_table.h"
#include "engine/members/membership.h"
#include "engine/members/planned_stop.h"
#include "engine/records/catalog.h"
#include "engine/records/record_writer.h"

namespace burdockrock::engine {

namespace {

// Longer ids would not fit into the keys of the store.
constexpr std::size_t kMaxJobIdBytes = 64;
// An outage of the store that has begun lasts longer than this as a rule, and
// another entry instance may still reach it.
constexpr Duration kRetryAfter = milliseconds(1000);

void Answer(Context& context, std::uint64_t call, CallerAnswer answer) {
  context.Emit(AnswerCaller{.call = call, .answer = std::move(answer)});
}

void Refuse(Context& context,
            std::uint64_t call,
            const std::string& job,
            RefusalCause cause) {
  ++context.state.totals.refused;
  context.Log(EventNumber::kRequestRefused,
              {{"job", job}, {"cause", RefusalText(cause)}});
  Answer(context, call,
         Unavailable{.cause = cause,
                     .detail = RefusalText(cause),
                     .retry_after = kRetryAfter});
}

bool IsJobId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxJobIdBytes &&
         std::all_of(id.begin(), id.end(), [](char it) {
           return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') ||
                  (it >= 'A' && it <= 'Z') || it == '-' || it == '_';
         });
}

// A task that fits on no worker of the service, even an empty one.
std::optional<SpecFault> CheckSizes(const State& state,
                                    const JobSpec& spec,
                                    const std::string& service) {
  Resources most;
  for (const auto& [id, it] : state.workers) {
    if (it.info.service == service) {
      const Resources& has = it.info.capacity;
      most.processors_milli =
          std::max(most.processors_milli, has.processors_milli);
      most.memory_mb = std::max(most.memory_mb, has.memory_mb);
      most.accelerators = std::max(most.accelerators, has.accelerators);
    }
  }
  if (most == Resources()) {
    return std::nullopt;
  }
  for (std::size_t it = 0; it < spec.steps.size(); ++it) {
    const Resources room = RoomOf(spec.steps[it]);
    if (!Fits(room, most)) {
      return SpecFault{.path = fmt::format("steps[{}]", it),
                       .problem = DescribeMisfit(room, most),
                       .allowed = "what the largest worker has"};
    }
  }
  return std::nullopt;
}

void Create(Context& context,
            std::uint64_t call,
            const std::string& id,
            const QueuePolicy& queue,
            JobSpec spec) {
  Job job = MakeJob(id, std::move(spec), queue.name);
  job.created = context.now;
  job.accepted_ms = context.wall_ms;
  job.submitters.push_back(call);
  QueueCreation(context, job);
  context.state.active.insert(id);
  context.state.jobs.emplace(id, std::move(job));
}

void OnSubmit(Context& context,
              std::uint64_t call,
              const std::string& id,
              const QueuePolicy& queue,
              JobSpec spec) {
  ++context.state.totals.submitted;
  if (Job* job = FindJob(context.state, id)) {
    if (job->stored) {
      return Answer(context, call, JobAccepted{});
    }
    job->submitters.push_back(call);
    return;
  }
  if (context.state.stop.requested) {
    return Refuse(context, call, id, RefusalCause::kStopping);
  }
  if (!IsRegistered(context.state) || !context.state.store.healthy) {
    return Refuse(context, call, id, RefusalCause::kStoreUnavailable);
  }
  auto fault = CheckSpec(spec);
  if (!fault) {
    fault = CheckSizes(context.state, spec, queue.service);
  }
  if (fault) {
    context.Log(
        EventNumber::kMalformedRequest,
        {{"job", id}, {"field", fault->path}, {"problem", fault->problem}});
    return Answer(context, call, BadRequest{.fault = *fault});
  }
  Create(context, call, id, queue, std::move(spec));
}

// Null also for a job that this instance has given up with its registration,
// unless it had ended by then.
Job* FindHeldJob(State& state, const std::string& id) {
  Job* job = FindJob(state, id);
  const bool held =
      job != nullptr && (!state.stop.released || IsFinal(job->stored_state));
  return held ? job : nullptr;
}

// When a question that comes now is given up: in time for the caller, before
// the process may be killed, and never at once.
Time QuestionDeadline(const Context& context) {
  const Time usual = context.now + kCallerQueryTimeout;
  if (!context.state.stop.requested) {
    return usual;
  }
  return std::min(usual, std::max(StopDeadline(context.state),
                                  context.now + kPeerReplyTimeout));
}

void TellState(Context& context, const Asker& asker, const Job& job) {
  const JobState state = ShownState(job);
  if (asker.member.empty()) {
    return Answer(context, asker.call, JobStateFound{.state = state});
  }
  Reply(context, asker.member,
        JobReply{.call = asker.call, .known = true, .state = state});
}

// All that is left of the job runs, so that it may have ended by now.
bool MayHaveEnded(const Job& job) {
  if (!job.started || job.recovering || IsFinal(job.stored_state)) {
    return false;
  }
  for (const Occurrence& occurrence : job.occurrences) {
    if (!occurrence.begun) {
      return false;
    }
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      for (const Task& it : occurrence.steps[s].tasks) {
        const bool may_be_applied =
            it.phase == TaskPhase::kDone || it.phase == TaskPhase::kRunning;
        if (!may_be_applied || job.spec.steps[s].lasting) {
          return false;
        }
      }
    }
  }
  return true;
}

void OnStateAsked(Context& context, Job& job, Asker asker) {
  if (!MayHaveEnded(job)) {
    return TellState(context, asker, job);
  }
  asker.until = context.now + kStateUpdateWait;
  job.watchers.push_back(std::move(asker));
}

void BeginCancel(Context& context, Job& job, Asker canceller) {
  if (IsFinal(job.stored_state)) {
    return AnswerCancel(context, canceller, job.stored_state);
  }
  canceller.until = QuestionDeadline(context);
  job.cancellers.push_back(std::move(canceller));
  if (!job.stored) {
    job.cancel_wanted = true;
    return;
  }
  EndJob(context, job, JobState::kCancelled, "caller");
}

void Ask(Context& context,
         std::uint64_t id,
         PendingCallerQuery& caller,
         const std::string& owner) {
  caller.queried_member = owner;
  caller.queried_at = context.now;
  Send(context, owner,
       JobQuery{.call = id,
                .question = caller.query == CallerQuery::kCancel
                                ? JobQuestion::kCancel
                                : JobQuestion::kState,
                .job = caller.job});
}

// While the store can't be reached, nothing tells whose the job is; its owner
// does, if it can be reached. An instance that the store turns away would
// otherwise have no answer for its callers for as long as that lasts.
void AskAllWithoutStore(Context& context,
                        std::uint64_t id,
                        PendingCallerQuery& caller) {
  if (context.state.store.healthy ||
      !HasPassed(context.now, caller.queried_at, kPeerReplyTimeout)) {
    return;
  }
  for (const std::string& it : OtherMembers(context)) {
    Ask(context, id, caller, it);
  }
  caller.queried_member.clear();
}

void TellOutcome(Context& context,
                 const PendingCallerQuery& caller,
                 JobState state) {
  if (caller.query == CallerQuery::kCancel) {
    Answer(context, caller.call, CancelAccepted{.state = state});
  } else {
    Answer(context, caller.call, JobStateFound{.state = state});
  }
}

// True when the caller was answered.
bool AnswerFromRecord(Context& context,
                      PendingCallerQuery& caller,
                      const CatalogEntry& entry) {
  if (entry.absent) {
    Answer(context, caller.call, NoSuchJob{});
    return true;
  }
  if (entry.record && IsFinal(entry.record->state)) {
    TellOutcome(context, caller, entry.record->state);
    return true;
  }
  return false;
}

// True when the caller was answered.
bool Advance(Context& context, std::uint64_t id, PendingCallerQuery& caller) {
  if (Job* job = FindHeldJob(context.state, caller.job)) {
    if (caller.query == CallerQuery::kState) {
      OnStateAsked(context, *job, Asker{.call = caller.call});
    } else {
      BeginCancel(context, *job, Asker{.call = caller.call});
    }
    return true;
  }
  const CatalogEntry& entry = context.state.catalog[caller.job];
  if (entry.final_state) {
    TellOutcome(context, caller, *entry.final_state);
    return true;
  }
  const bool read = entry.record || entry.absent;
  if (!read || entry.known_from < caller.read_from) {
    if (!entry.reading_record || entry.read_at < caller.read_from) {
      WantRecord(context, caller.job);
    }
    AskAllWithoutStore(context, id, caller);
    return false;
  }
  if (AnswerFromRecord(context, caller, entry)) {
    return true;
  }
  const std::string& owner = entry.record->owner;
  if (FindMember(context.state, owner) == nullptr) {
    // Not by a record from before the question: the job may have a new owner.
    const bool read_since = caller.read_from != Time::min();
    if (context.state.stop.requested && read_since &&
        caller.query == CallerQuery::kState) {
      Answer(context, caller.call, JobStateFound{.state = entry.record->state});
      return true;
    }
    caller.read_from = context.now;  // until somebody has adopted it
    return false;
  }
  const bool silent =
      caller.queried_member == owner &&
      HasPassed(context.now, caller.queried_at, kPeerReplyTimeout);
  if (silent) {
    WantRecord(context, caller.job);
  }
  if (silent || caller.queried_member != owner) {
    Ask(context, id, caller, owner);
  }
  return false;
}

void OnQuestion(Context& context,
                std::uint64_t call,
                CallerQuery question,
                const std::string& job) {
  const std::uint64_t id = ++context.state.last_query;
  PendingCallerQuery caller{.call = call,
                            .query = question,
                            .job = job,
                            .since = context.now,
                            .deadline = QuestionDeadline(context)};
  // A job that its owner was known for is asked about there at once.
  const auto entry = context.state.catalog.find(job);
  const bool cached =
      entry != context.state.catalog.end() && entry->second.record;
  caller.read_from = cached ? Time::min() : context.now;
  if (!Advance(context, id, caller)) {
    context.state.callers.emplace(id, std::move(caller));
  }
}

void GiveUp(Context& context, const PendingCallerQuery& caller) {
  const CatalogEntry& entry = context.state.catalog[caller.job];
  const bool read_since = entry.record && entry.known_from >= caller.since;
  if (caller.query == CallerQuery::kState && read_since) {
    // The owner can't be reached; what it stored last is true.
    Answer(context, caller.call, JobStateFound{.state = entry.record->state});
    return;
  }
  context.Log(EventNumber::kQuestionUnanswered, {{"job", caller.job}});
  Answer(context, caller.call,
         OutcomeUnknown{.detail =
                            "the job's owner or the store can't be reached"});
}

void OnWaiting(Context& context, std::uint64_t call, const QueuePolicy& queue) {
  std::uint32_t jobs = CountWaiting(context.state, queue.name);
  for (const auto& [member, queues] : context.state.digest.waiting) {
    const auto it = queues.find(queue.name);
    jobs += it == queues.end() ? 0 : it->second;
  }
  Answer(context, call, WaitingCount{.jobs = jobs});
}

// The cancel goes on; a member that asked for its caller gives up by itself.
void GiveUpCancellers(Context& context, Job& job) {
  std::erase_if(job.cancellers, [&](const Asker& it) {
    const bool due = context.now >= it.until;
    if (due && it.member.empty()) {
      context.Log(EventNumber::kQuestionUnanswered, {{"job", job.id}});
      Answer(
          context, it.call,
          OutcomeUnknown{.detail = "the store has not taken the cancel yet"});
    }
    return due;
  });
}

void GiveUpSubmitters(Context& context, Job& job) {
  for (const std::uint64_t it : std::exchange(job.submitters, {})) {
    context.Log(EventNumber::kQuestionUnanswered, {{"job", job.id}});
    Answer(context, it, OutcomeUnknown{.detail = "the store has not answered"});
  }
}

// Submissions that the store has not answered.
void DriveSubmitters(Context& context) {
  const bool well = context.state.store.healthy && IsRegistered(context.state);
  const bool stop_is_due = context.state.stop.requested &&
                           context.now >= StopDeadline(context.state);
  std::vector<std::string> withdrawn;
  for (const std::string& id : context.state.active) {
    Job& job = context.state.jobs.at(id);
    if (job.stored || job.submitters.empty()) {
      continue;
    }
    if (!well && WithdrawChange(context, ChangeKind::kCreateJob, id)) {
      for (const std::uint64_t it : job.submitters) {
        Refuse(context, it, id,
               context.state.stop.requested ? RefusalCause::kStopping
                                            : RefusalCause::kStoreUnavailable);
      }
      withdrawn.push_back(id);
    } else if (stop_is_due ||
               HasPassed(context.now, job.created, kSubmitTimeout)) {
      GiveUpSubmitters(context, job);
    }
  }
  for (const std::string& it : withdrawn) {
    Job& job = context.state.jobs.at(it);
    AnswerWatchers(context, job, true);
    const std::vector<Asker> cancellers = std::move(job.cancellers);
    context.state.active.erase(it);
    context.state.jobs.erase(it);
    RouteCancellers(context, it, cancellers);
  }
}

// What a request is about.
struct Target {
  const QueuePolicy* queue = nullptr;  // null: there is none such
  std::string job{};
};

Target TargetOf(const Configuration& configuration,
                const CallerRequest& request) {
  if (!request.queue.empty() || !request.job.empty()) {
    return {.queue = FindQueueByName(configuration, request.queue),
            .job = request.job};
  }
  const QueuePolicy* queue =
      FindQueue(configuration, request.host, request.path);
  if (queue == nullptr) {
    return {};
  }
  return {.queue = queue, .job = request.path.substr(queue->prefix.size())};
}

// A job that is named by its id alone needs none.
bool NeedsQueue(const CallerRequest& request) {
  const bool asks = request.query == CallerQuery::kState ||
                    request.query == CallerQuery::kCancel;
  return !asks || request.job.empty();
}

}  // namespace

void OnCallerAsked(Context& context, const CallerRequestReceived& asked) {
  const CallerRequest& request = asked.request;
  if (context.state.configuration.version == 0) {
    return Refuse(context, asked.call, request.path + request.job,
                  RefusalCause::kNotReady);
  }
  const Target target = TargetOf(context.state.configuration, request);
  if (target.queue == nullptr && NeedsQueue(request)) {
    return Answer(context, asked.call, NoSuchQueue{});
  }
  if (request.query == CallerQuery::kWaiting) {
    return OnWaiting(context, asked.call, *target.queue);
  }
  if (!IsJobId(target.job)) {
    return Answer(
        context, asked.call,
        BadRequest{
            .fault = {.path = "id",
                      .problem = fmt::format("'{}' is no job's id", target.job),
                      .allowed = "1 to 64 letters, digits, - and _"}});
  }
  if (request.query == CallerQuery::kSubmit) {
    return OnSubmit(context, asked.call, target.job, *target.queue,
                    request.spec);
  }
  OnQuestion(context, asked.call, request.query, target.job);
}

void OnJobQuery(Context& context,
                const std::string& from,
                const JobQuery& query) {
  Job* job = FindHeldJob(context.state, query.job);
  if (job == nullptr) {
    return Reply(context, from, JobReply{.call = query.call});
  }
  if (query.question == JobQuestion::kCancel) {
    return BeginCancel(context, *job,
                       Asker{.member = from, .call = query.call});
  }
  OnStateAsked(context, *job, Asker{.member = from, .call = query.call});
}

void OnJobReply(Context& context, const JobReply& reply) {
  const auto it = context.state.callers.find(reply.call);
  if (it == context.state.callers.end()) {
    return;
  }
  if (!reply.known) {
    if (!it->second.queried_member.empty()) {  // it was taken for the owner
      it->second.read_from = context.now;
      it->second.queried_member.clear();
    }
    return;
  }
  if (IsFinal(reply.state)) {
    context.state.catalog[it->second.job].final_state = reply.state;
  }
  TellOutcome(context, it->second, reply.state);
  context.state.callers.erase(it);
}

void OnRecordKnown(Context& context, const std::string& job) {
  std::vector<std::uint64_t> answered;
  for (auto& [id, caller] : context.state.callers) {
    if (caller.job == job && Advance(context, id, caller)) {
      answered.push_back(id);
    }
  }
  for (const std::uint64_t it : answered) {
    context.state.callers.erase(it);
  }
}

void DriveCallers(Context& context) {
  std::vector<std::uint64_t> answered;
  for (auto& [id, caller] : context.state.callers) {
    if (Advance(context, id, caller)) {
      answered.push_back(id);
    } else if (context.now >= caller.deadline) {
      GiveUp(context, caller);
      answered.push_back(id);
    }
  }
  for (const std::uint64_t it : answered) {
    context.state.callers.erase(it);
  }
  for (const std::string& it : context.state.active) {
    Job& job = context.state.jobs.at(it);
    AnswerWatchers(context, job, false);
    GiveUpCancellers(context, job);
  }
  DriveSubmitters(context);
}

void AnswerCancel(Context& context, const Asker& canceller, JobState state) {
  if (canceller.member.empty()) {
    return Answer(context, canceller.call, CancelAccepted{.state = state});
  }
  Reply(context, canceller.member,
        JobReply{.call = canceller.call, .known = true, .state = state});
}

void AnswerWatchers(Context& context, Job& job, bool all) {
  std::erase_if(job.watchers, [&](const Asker& it) {
    const bool due = all || context.now >= it.until;
    if (due) {
      TellState(context, it, job);
    }
    return due;
  });
}

void RouteCancellers(Context& context,
                     const std::string& job,
                     const std::vector<Asker>& cancellers) {
  for (const Asker& it : cancellers) {
    if (it.member.empty()) {
      OnQuestion(context, it.call, CallerQuery::kCancel, job);
    } else {
      Reply(context, it.member, JobReply{.call = it.call});
    }
  }
}

OpenRequests CountOpenRequests(const State& state) {
  OpenRequests open{.questions = state.callers.size()};
  for (const auto& [id, job] : state.jobs) {
    open.submissions += job.submitters.size();
    open.cancels += job.cancellers.size();
    open.states += job.watchers.size();
  }
  return open;
}

void HandOverAskers(Context& context) {
  for (auto& [id, job] : context.state.jobs) {
    AnswerWatchers(context, job, true);
    if (!IsFinal(job.stored_state)) {
      RouteCancellers(context, id, std::exchange(job.cancellers, {}));
    }
  }
}

std::uint32_t CountWaiting(const State& state, const std::string& queue) {
  std::uint32_t n = 0;
  for (const std::string& id : state.active) {
    const Job& job = state.jobs.at(id);
    const bool waits =
        job.stored && !job.started && !IsFinal(job.state) && job.queue == queue;
    n += waits ? 1 : 0;
  }
  return n;
}

}  // namespace burdockrock::engine
