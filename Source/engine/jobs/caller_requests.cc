#include "engine/jobs/caller_requests.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "engine/jobs/job_progress.h"
#include "engine/jobs/job_table.h"
#include "engine/jobs/submissions.h"
#include "engine/members/membership.h"
#include "engine/members/planned_stop.h"
#include "engine/records/catalog.h"
#include "engine/records/record_writer.h"
#include "engine/teams/access_rule.h"
#include "engine/teams/team_members.h"

namespace burdockrock::engine {

namespace {

// Longer ids don't fit into the keys of the store.
constexpr std::size_t kMaxJobIdBytes = 64;

// PendingCallerQuery::queried_member of a query to all of them.
constexpr const char* kAllMembers = "";

void Answer(Context& context, std::uint64_t call, CallerAnswer answer) {
  context.Emit(AnswerCaller{.call = call, .answer = std::move(answer)});
}

bool IsJobId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxJobIdBytes &&
         std::all_of(id.begin(), id.end(), [](char it) {
           return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') ||
                  (it >= 'A' && it <= 'Z') || it == '-' || it == '_';
         });
}

// Returns null also for a job that this instance has released with its
// registration, unless the job's end was stored by then.
Job* FindHeldJob(State& state, const std::string& id) {
  Job* job = FindJob(state, id);
  const bool held =
      job != nullptr && (!state.stop.released || IsFinal(job->stored_state));
  return held ? job : nullptr;
}

// When a query that arrives now times out: while the caller still waits, before
// the process may be killed during a planned stop, and not before a peer could
// reply.
Time QueryDeadline(const Context& context) {
  const Time usual = context.now + kCallerQueryTimeout;
  if (!context.state.stop.requested) {
    return usual;
  }
  return std::min(usual, std::max(StopDeadline(context.state),
                                  context.now + kPeerReplyTimeout));
}

void ReportState(Context& context,
                 const PendingCaller& waiter,
                 const Job& job) {
  const JobState state = ShownState(job);
  const std::string cause =
      state == JobState::kFailed ? job.cause : std::string();
  if (waiter.member.empty()) {
    return Answer(context, waiter.call,
                  JobStateFound{.state = state, .cause = cause});
  }
  Reply(
      context, waiter.member,
      JobReply{
          .call = waiter.call, .known = true, .state = state, .cause = cause});
}

// Whether all unfinished tasks of the job are running, so that it may have
// ended by now.
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
        const bool may_have_ended =
            it.phase == TaskPhase::kDone || it.phase == TaskPhase::kRunning;
        if (!may_have_ended || job.spec.steps[s].lasting) {
          return false;
        }
      }
    }
  }
  return true;
}

void OnStateQuery(Context& context, Job& job, PendingCaller waiter) {
  if (!MayHaveEnded(job)) {
    return ReportState(context, waiter, job);
  }
  waiter.reply_by = context.now + kStateUpdateWait;
  job.status_waiters.push_back(std::move(waiter));
}

void BeginCancel(Context& context, Job& job, PendingCaller waiter) {
  if (IsFinal(job.stored_state)) {
    return AnswerCancel(context, waiter, job.stored_state);
  }
  waiter.reply_by = QueryDeadline(context);
  job.cancel_waiters.push_back(std::move(waiter));
  if (!job.stored) {
    job.cancel_requested = true;
    return;
  }
  EndJob(context, job, JobState::kCancelled, "caller");
}

bool IsSameQuery(const PendingCallerQuery& a, const PendingCallerQuery& b) {
  return a.job == b.job && a.query == b.query && a.team == b.team;
}

bool IsRepeatDue(const Context& context, const PendingCallerQuery& caller) {
  return HasPassed(context.now, caller.queried_at, caller.repeat_after);
}

// Whether another caller's query to the member serves this one as well. Replies
// to what was sent before this caller came may be outdated.
bool ShareQuery(const Context& context,
                PendingCallerQuery& caller,
                const std::string& member) {
  for (const auto& [id, it] : context.state.callers) {
    if (it.query_call != 0 && it.queried_member == member &&
        !IsRepeatDue(context, it) && IsSameQuery(it, caller) &&
        it.queried_at >= caller.since &&
        (it.query_call == caller.query_call ||
         it.repeat_after == kPeerReplyTimeout)) {
      caller.queried_member = it.queried_member;
      caller.queried_at = it.queried_at;
      caller.query_call = it.query_call;
      caller.repeat_after = it.repeat_after;
      return true;
    }
  }
  return false;
}

// The pause until the next repeat doubles with each.
void NoteQuery(Context& context,
               std::uint64_t id,
               PendingCallerQuery& caller,
               const std::string& member) {
  const bool repeats =
      caller.query_call != 0 && caller.queried_member == member;
  caller.repeat_after = repeats ? 2 * caller.repeat_after : kPeerReplyTimeout;
  caller.queried_member = member;
  caller.queried_at = context.now;
  caller.query_call = caller.query_call == 0 ? id : caller.query_call;
}

void SendQuery(Context& context,
               const PendingCallerQuery& caller,
               const std::string& owner) {
  Send(context, owner,
       JobQuery{.call = caller.query_call,
                .kind = caller.query == CallerQuery::kCancel
                            ? JobQueryKind::kCancel
                            : JobQueryKind::kState,
                .job = caller.job,
                .team = KnowsTeams(owner) ? caller.team : std::nullopt});
}

// While the store can't be reached, a job's owner can't be looked up, so all
// members are queried and the owner replies if it can be reached. Otherwise an
// instance that the store refuses could not answer its callers for as long as
// that lasts.
void QueryAllWithoutStore(Context& context,
                          std::uint64_t id,
                          PendingCallerQuery& caller) {
  if (context.state.store.healthy || !IsRepeatDue(context, caller) ||
      ShareQuery(context, caller, kAllMembers)) {
    return;
  }
  NoteQuery(context, id, caller, kAllMembers);
  for (const std::string& it : OtherMembers(context)) {
    SendQuery(context, caller, it);
  }
}

void ReportOutcome(Context& context,
                   const PendingCallerQuery& caller,
                   JobState state,
                   const std::string& cause) {
  if (caller.query == CallerQuery::kCancel) {
    Answer(context, caller.call, CancelAccepted{.state = state});
  } else {
    Answer(context, caller.call, JobStateFound{.state = state, .cause = cause});
  }
}

// Returns true if the caller was answered.
bool AnswerFromRecord(Context& context,
                      PendingCallerQuery& caller,
                      const CatalogEntry& entry) {
  if (entry.absent) {
    Answer(context, caller.call, NoSuchJob{});
    return true;
  }
  if (entry.record && IsFinal(entry.record->state)) {
    ReportOutcome(context, caller, entry.record->state, entry.record->cause);
    return true;
  }
  return false;
}

// Returns true if the caller was answered.
bool TakeReply(Context& context,
               PendingCallerQuery& caller,
               const JobReply& reply) {
  if (!reply.known) {
    if (!caller.queried_member.empty()) {
      caller.read_from = context.now;  // the sender was taken for the owner
      caller.queried_member.clear();
    }
    return false;
  }
  if (reply.denied) {
    Answer(context, caller.call, AccessDenied());
    return true;
  }
  if (IsFinal(reply.state)) {
    CatalogEntry& entry = context.state.catalog[caller.job];
    entry.final_state = reply.state;
    entry.final_cause = reply.cause;
  }
  ReportOutcome(context, caller, reply.state, reply.cause);
  return true;
}

// Answers the caller if possible, else reads the job's record or queries its
// owner, as due. Returns true if the caller was answered.
bool TryAnswer(Context& context, std::uint64_t id, PendingCallerQuery& caller) {
  if (caller.refusal) {
    return AnswerRefused(context, caller);
  }
  if (Job* job = FindHeldJob(context.state, caller.job)) {
    if (caller.team && !MayAccess(job->team, *caller.team)) {
      Answer(context, caller.call, AccessDenied());
      return true;
    }
    if (caller.query == CallerQuery::kState) {
      OnStateQuery(context, *job, PendingCaller{.call = caller.call});
    } else {
      BeginCancel(context, *job, PendingCaller{.call = caller.call});
    }
    return true;
  }
  const CatalogEntry& entry = context.state.catalog[caller.job];
  if (entry.final_state) {
    ReportOutcome(context, caller, *entry.final_state, entry.final_cause);
    return true;
  }
  const bool read = entry.record || entry.absent;
  if (!read || entry.known_from < caller.read_from) {
    if (!entry.reading_record || entry.read_at < caller.read_from) {
      RequestRecord(context, caller.job);
    }
    QueryAllWithoutStore(context, id, caller);
    return false;
  }
  if (AnswerFromRecord(context, caller, entry)) {
    return true;
  }
  const std::string& owner = entry.record->owner;
  if (FindMember(context.state, owner) == nullptr) {
    // A record that was read before the query arrived doesn't count: the job
    // may have a new owner.
    const bool read_since = caller.read_from != Time::min();
    if (context.state.stop.requested && read_since &&
        caller.query == CallerQuery::kState) {
      Answer(context, caller.call, JobStateFound{.state = entry.record->state});
      return true;
    }
    caller.read_from = context.now;  // waits for its adoption
    return false;
  }
  const bool unresponsive =
      caller.queried_member == owner && IsRepeatDue(context, caller);
  if (unresponsive) {
    RequestRecord(context, caller.job);
  }
  if ((unresponsive || caller.queried_member != owner) &&
      !ShareQuery(context, caller, owner)) {
    NoteQuery(context, id, caller, owner);
    SendQuery(context, caller, owner);
  }
  return false;
}

void OnCallerQuery(Context& context,
                   std::uint64_t call,
                   CallerQuery query,
                   const std::string& job,
                   std::optional<std::string> team) {
  const std::uint64_t id = ++context.state.last_query;
  PendingCallerQuery caller{.call = call,
                            .query = query,
                            .job = job,
                            .team = std::move(team),
                            .since = context.now,
                            .deadline = QueryDeadline(context)};
  // If the catalog names the job's owner, the owner is queried without another
  // read of the store.
  const auto entry = context.state.catalog.find(job);
  const bool cached =
      entry != context.state.catalog.end() && entry->second.record;
  caller.read_from = cached ? Time::min() : context.now;
  if (!TryAnswer(context, id, caller)) {
    context.state.callers.emplace(id, std::move(caller));
  }
}

void TimeOutQuery(Context& context, const PendingCallerQuery& caller) {
  const CatalogEntry& entry = context.state.catalog[caller.job];
  const bool read_since = entry.record && entry.known_from >= caller.since;
  if (caller.query == CallerQuery::kState && read_since) {
    // The owner can't be reached; the state that it stored last still holds.
    Answer(context, caller.call, JobStateFound{.state = entry.record->state});
    return;
  }
  context.Log(EventNumber::kQuestionUnanswered, {{"job", caller.job}});
  Answer(context, caller.call,
         OutcomeUnknown{.detail =
                            "the job's owner or the store can't be reached"});
}

void OnQueueLengthQuery(Context& context,
                        std::uint64_t call,
                        const QueuePolicy& queue) {
  const std::uint32_t jobs = CountWaiting(context.state, queue.name) +
                             CountWaitingElsewhere(context.state, queue.name);
  Answer(context, call, WaitingCount{.jobs = jobs});
}

// Times out the callers, not the cancel itself. A member that forwarded a
// cancel times out its own caller.
void TimeOutCancelWaiters(Context& context, Job& job) {
  std::erase_if(job.cancel_waiters, [&](const PendingCaller& it) {
    const bool due = context.now >= it.reply_by;
    if (due && it.member.empty()) {
      context.Log(EventNumber::kQuestionUnanswered, {{"job", job.id}});
      Answer(
          context, it.call,
          OutcomeUnknown{.detail = "the store has not taken the cancel yet"});
    }
    return due;
  });
}

// The queue and the job that a request names.
struct Target {
  const QueuePolicy* queue = nullptr;  // null: no such queue
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

void RefuseKey(Context& context,
               std::uint64_t call,
               const Target& target,
               KeyProblem problem) {
  const char* const cause =
      problem == KeyProblem::kMissing ? "key is missing" : "key is not known";
  ++context.state.totals.refused;
  ++context.state.totals.keys_refused;
  context.Log(EventNumber::kRequestRefused,
              {{"job", target.job},
               {"queue", target.queue == nullptr ? "" : target.queue->name},
               {"version", std::to_string(context.state.configuration.version)},
               {"cause", cause}});
  Answer(context, call,
         KeyRefused{.detail =
                        fmt::format("the {}; the request has not run", cause)});
}

// State queries and cancels that name a job by its id alone need no queue.
bool NeedsQueue(const CallerRequest& request) {
  const bool is_job_query = request.query == CallerQuery::kState ||
                            request.query == CallerQuery::kCancel;
  return !is_job_query || request.job.empty();
}

}  // namespace

void OnCallerRequest(Context& context, const CallerRequestReceived& event) {
  const CallerRequest& request = event.request;
  if (context.state.configuration.version == 0) {
    return Refuse(context, event.call, request.path + request.job,
                  RefusalCause::kNotReady);
  }
  const Target target = TargetOf(context.state.configuration, request);
  if (target.queue == nullptr && NeedsQueue(request)) {
    return Answer(context, event.call, NoSuchQueue{});
  }
  const auto access =
      Admit(context.state.configuration, target.queue, request.key);
  if (const auto* refused = std::get_if<NotAdmitted>(&access)) {
    return RefuseKey(context, event.call, target, refused->problem);
  }
  const std::string& team = std::get<Admitted>(access).team;
  if (request.query == CallerQuery::kWaiting) {
    return OnQueueLengthQuery(context, event.call, *target.queue);
  }
  if (!IsJobId(target.job)) {
    return Answer(
        context, event.call,
        BadRequest{
            .fault = {.path = "id",
                      .problem = fmt::format("'{}' is no job's id", target.job),
                      .allowed = "1 to 64 letters, digits, - and _"}});
  }
  if (request.query == CallerQuery::kSubmit) {
    return OnSubmit(context, event.call, target.job, *target.queue, team,
                    request.spec);
  }
  OnCallerQuery(context, event.call, request.query, target.job, team);
}

void OnJobQuery(Context& context,
                const std::string& from,
                const JobQuery& query) {
  Job* job = FindHeldJob(context.state, query.job);
  if (job == nullptr) {
    return Reply(context, from, JobReply{.call = query.call});
  }
  if (query.team && !MayAccess(job->team, *query.team)) {
    return Reply(context, from,
                 JobReply{.call = query.call, .known = true, .denied = true});
  }
  if (query.kind == JobQueryKind::kCancel) {
    return BeginCancel(context, *job,
                       PendingCaller{.member = from, .call = query.call});
  }
  OnStateQuery(context, *job,
               PendingCaller{.member = from, .call = query.call});
}

void OnJobReply(Context& context, const JobReply& reply) {
  std::vector<std::uint64_t> answered;
  for (auto& [id, caller] : context.state.callers) {
    if (caller.query_call == reply.call && TakeReply(context, caller, reply)) {
      answered.push_back(id);
    }
  }
  for (const std::uint64_t it : answered) {
    context.state.callers.erase(it);
  }
}

void OnRecordRead(Context& context, const std::string& job) {
  std::vector<std::uint64_t> answered;
  for (auto& [id, caller] : context.state.callers) {
    if (caller.job == job && TryAnswer(context, id, caller)) {
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
    if (TryAnswer(context, id, caller)) {
      answered.push_back(id);
    } else if (context.now >= caller.deadline) {
      TimeOutQuery(context, caller);
      answered.push_back(id);
    }
  }
  for (const std::uint64_t it : answered) {
    context.state.callers.erase(it);
  }
  for (const std::string& it : context.state.active) {
    Job& job = context.state.jobs.at(it);
    AnswerStatusWaiters(context, job, false);
    TimeOutCancelWaiters(context, job);
  }
  DriveSubmitWaiters(context);
}

void AnswerCancel(Context& context,
                  const PendingCaller& waiter,
                  JobState state) {
  if (waiter.member.empty()) {
    return Answer(context, waiter.call, CancelAccepted{.state = state});
  }
  Reply(context, waiter.member,
        JobReply{.call = waiter.call, .known = true, .state = state});
}

void AnswerStatusWaiters(Context& context, Job& job, bool all) {
  std::erase_if(job.status_waiters, [&](const PendingCaller& it) {
    const bool due = all || context.now >= it.reply_by;
    if (due) {
      ReportState(context, it, job);
    }
    return due;
  });
}

void RedirectCancelWaiters(Context& context,
                           const std::string& job,
                           const std::vector<PendingCaller>& waiters) {
  for (const PendingCaller& it : waiters) {
    if (it.member.empty()) {
      // It was admitted before.
      OnCallerQuery(context, it.call, CallerQuery::kCancel, job, std::nullopt);
    } else {
      Reply(context, it.member, JobReply{.call = it.call});
    }
  }
}

OpenRequests CountOpenRequests(const State& state) {
  OpenRequests open{.queries = state.callers.size()};
  for (const auto& [id, job] : state.jobs) {
    open.submissions += job.submit_waiters.size();
    open.cancels += job.cancel_waiters.size();
    open.states += job.status_waiters.size();
  }
  return open;
}

void HandOverPendingCallers(Context& context) {
  for (auto& [id, job] : context.state.jobs) {
    AnswerStatusWaiters(context, job, true);
    if (!IsFinal(job.stored_state)) {
      RedirectCancelWaiters(context, id, std::exchange(job.cancel_waiters, {}));
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

std::uint32_t CountWaitingElsewhere(const State& state,
                                    const std::string& queue) {
  std::uint32_t jobs = 0;
  for (const auto& [member, queues] : state.digest.waiting) {
    const auto it = queues.find(queue);
    // Digests of a member that has left may arrive after its removal.
    if (it != queues.end() && state.members.present.contains(member)) {
      jobs += it->second;
    }
  }
  return jobs;
}

}  // namespace burdockrock::engine
