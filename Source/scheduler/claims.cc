#include "scheduler/claims.h"

#include <array>
#include <memory>
#include <utility>

#include <json/value.h>

#include "net/json.h"
#include "net/json_read.h"
#include "scheduler/context.h"
#include "scheduler/job_admission.h"
#include "scheduler/request_admission.h"

namespace burdockrock {

namespace {

constexpr char kClaimLogPrefix[] = "claims.";
constexpr char kClaimKind[] = "claim";
constexpr Duration kPlatformRetryAfter = std::chrono::seconds(2);
// A longer answer is not stored: a retry is then answered "ran" without it.
constexpr std::size_t kMaxClaimAnswerBytes = 4096;

// id, writer, state, wall_ms, answer
constexpr Json::ArrayIndex kClaimElementCount = 5;

constexpr std::array<const char*, 6> kStateNames = {
    "claimed", "released", "ran", "failed", "may_have_run", "accepted"};

std::string RecordKey(const std::string& team, const std::string& key) {
  return "k/" + team + "/" + key;
}

std::string ShardOf(const std::string& team, const std::string& key) {
  return kClaimLogPrefix + std::to_string(StableHash(team, key) % kClaimShards);
}

std::string OwnWriter(const Context& context) {
  const StateOptions& self = context.state().self;
  return OwnerName(self.instance, self.incarnation);
}

// Whether a pending record may be written over the current one of its key.
bool MayReplace(const LogRecord& pending, const LogRecord* current) {
  if (current == nullptr) {
    return true;
  }
  const auto current_claim = DecodeClaim(current->body);
  const auto new_claim = DecodeClaim(pending.body);
  if (!current_claim || !new_claim) {
    return false;
  }
  const bool is_own = current_claim->id == new_claim->id &&
                      current_claim->writer == new_claim->writer;
  return is_own || current_claim->state == ClaimState::kReleased;
}

OpenLog& ShardLog(Context& context, const std::string& name) {
  State& state = context.state();
  const auto it = state.logs.find(name);
  if (it != state.logs.end()) {
    return it->second;
  }
  const JournalPolicy& policy = context.policy().journal;
  const std::int64_t retention_ms = ToMilliseconds(policy.claim_retention);
  const std::shared_ptr<std::int64_t> wall_ms = state.wall_ms;
  OpenLog& open = AddLog(
      context,
      {.name = name,
       .writer = OwnWriter(context),
       .exclusive = false,
       .commit_interval = policy.commit,
       .max_batch_bytes = static_cast<std::size_t>(policy.max_batch_bytes),
       .retry = {.seed = state.random()},
       .still_wanted = MayReplace,
       .keep = [wall_ms, retention_ms](const LogRecord& current) {
         const auto claim = DecodeClaim(current.body);
         return claim && claim->wall_ms + retention_ms > *wall_ms;
       }});
  ApplyLedgerProgress(context, name, open.log->Open(context.now()));
  return state.logs.at(name);
}

LogRecord MakeRecord(Context& context,
                     const std::string& key,
                     const std::string& id,
                     ClaimState state,
                     const std::string& answer) {
  const ClaimRecord claim{
      .id = id,
      .writer = OwnWriter(context),
      .state = state,
      .answer = answer.size() <= kMaxClaimAnswerBytes ? answer : "",
      .wall_ms = *context.state().wall_ms};
  return {.key = key, .kind = kClaimKind, .body = EncodeClaim(claim)};
}

// Finishes a request or job that was not dispatched, as its key is not its own
// or can't be claimed.
void FinishUndispatched(Context& context,
                        const std::string& id,
                        Verdict verdict) {
  State& state = context.state();
  const auto it = state.requests.entries.find(id);
  if (it != state.requests.entries.end()) {
    it->second.claimed = false;
    FinishRequest(context, id, std::move(verdict));
    return;
  }
  RefuseJob(context, id, verdict);
}

void Deactivate(Context& context,
                const std::string& key,
                const std::string& id) {
  auto& active = context.state().claims.active;
  const auto it = active.find(key);
  if (it != active.end() && it->second == id) {
    active.erase(it);
  }
}

// Answers a retry whose key is claimed already.
void AnswerFromClaim(Context& context,
                     const std::string& id,
                     const ClaimRecord& claim) {
  switch (claim.state) {
    case ClaimState::kRan:
    case ClaimState::kFailed:
      FinishUndispatched(context, id,
                         Ran{.failed = claim.state == ClaimState::kFailed,
                             .answer = claim.answer});
      return;
    case ClaimState::kAccepted: {
      Job* job = FindJob(context, id);
      if (job != nullptr) {
        context.Answer(job->reply,
                       WorkAnswer{.id = claim.id, .verdict = Accepted{}});
        job->reply = 0;
      }
      FinishUndispatched(context, id, Accepted{});
      return;
    }
    case ClaimState::kReleased:
    case ClaimState::kClaimed:
    case ClaimState::kMayHaveRun:
      // After "not run" the caller might send the work under another key while
      // the first request still runs.
      FinishUndispatched(
          context, id,
          MayHaveRun{.reason = Reason::kDuplicateKey,
                     .detail = "a request with this key was taken earlier "
                               "and its outcome is not known"});
      return;
  }
}

// The key that a request or job claims.
struct ClaimTarget {
  std::string id;  // of the request or job
  std::string team;
  std::string key;
};

void RefuseUnrecorded(Context& context, const std::string& id) {
  FinishUndispatched(
      context, id,
      NotRun{.reason = Reason::kPlatformDown,
             .detail = "the idempotency key can't be recorded now",
             .retry_after = kPlatformRetryAfter});
}

void SetTicket(Context& context, const std::string& id, Ticket ticket) {
  State& state = context.state();
  const auto it = state.requests.entries.find(id);
  if (it != state.requests.entries.end()) {
    it->second.claim_ticket = ticket;
    return;
  }
  Job* job = FindJob(context, id);
  if (job != nullptr) {
    job->claim_ticket = ticket;
  }
}

// Looks the key up in a shard that was read, and claims it if it is free.
void ClaimIfFree(Context& context, const ClaimTarget& wanted) {
  const std::string name = ShardOf(wanted.team, wanted.key);
  const std::string key = RecordKey(wanted.team, wanted.key);
  const SlotLog& log = *context.state().logs.at(name).log;
  const auto it = log.records().find(key);
  if (it != log.records().end()) {
    const auto claim = DecodeClaim(it->second.record.body);
    if (!claim || claim->state != ClaimState::kReleased) {
      Deactivate(context, key, wanted.id);
      AnswerFromClaim(context, wanted.id, claim.value_or(ClaimRecord{}));
      return;
    }
  }
  const Ticket ticket =
      AppendTo(context, name,
               MakeRecord(context, key, wanted.id, ClaimState::kClaimed, ""),
               {.urgent = true, .refuse_when_unreachable = true},
               ClaimAppend{.id = wanted.id});
  SetTicket(context, wanted.id, ticket);
}

void BeginClaim(Context& context, const ClaimTarget& wanted) {
  State& state = context.state();
  const std::string key = RecordKey(wanted.team, wanted.key);
  if (!state.claims.active.emplace(key, wanted.id).second) {
    FinishUndispatched(
        context, wanted.id,
        MayHaveRun{.reason = Reason::kDuplicateKey,
                   .detail = "a request with this key is under way"});
    return;
  }
  const std::string name = ShardOf(wanted.team, wanted.key);
  const OpenLog& open = ShardLog(context, name);
  if (open.log->is_open()) {
    ClaimIfFree(context, wanted);
    return;
  }
  if (!open.log->is_reachable()) {
    Deactivate(context, key, wanted.id);
    RefuseUnrecorded(context, wanted.id);
    return;
  }
  state.claims.waiting[name].push_back(wanted.id);
}

std::optional<ClaimTarget> FindClaimTarget(Context& context,
                                           const std::string& id) {
  const auto& entries = context.state().requests.entries;
  const auto it = entries.find(id);
  if (it != entries.end()) {
    return ClaimTarget{.id = id,
                       .team = it->second.request.team,
                       .key = it->second.request.key};
  }
  const Job* job = FindJob(context, id);
  if (job == nullptr) {
    return std::nullopt;
  }
  return ClaimTarget{.id = id, .team = job->spec.team, .key = job->spec.key};
}

}  // namespace

std::string EncodeClaim(const ClaimRecord& claim) {
  // An array is shorter: the quotes of an object's member names would be
  // escaped twice, as the text is embedded in two more layers of JSON.
  Json::Value value(Json::arrayValue);
  value.append(claim.id);
  value.append(claim.writer);
  value.append(kStateNames.at(static_cast<std::size_t>(claim.state)));
  value.append(Json::Int64{claim.wall_ms});
  value.append(claim.answer);
  return WriteJson(value);
}

std::optional<ClaimRecord> DecodeClaim(const std::string& text) {
  const auto parsed = ParseJson(text);
  const auto* value = std::get_if<Json::Value>(&parsed);
  if (value == nullptr || value->size() != kClaimElementCount) {
    return std::nullopt;
  }
  auto id = ReadText(ElementOf(*value, 0));
  auto writer = ReadText(ElementOf(*value, 1));
  const auto state = ReadText(ElementOf(*value, 2));
  const auto wall_ms = ReadInteger(ElementOf(*value, 3));
  auto answer = ReadText(ElementOf(*value, 4));
  if (!id || !writer || !state || !wall_ms || !answer) {
    return std::nullopt;
  }
  for (std::size_t it = 0; it < kStateNames.size(); ++it) {
    if (*state == kStateNames.at(it)) {
      return ClaimRecord{.id = *std::move(id),
                         .writer = *std::move(writer),
                         .state = static_cast<ClaimState>(it),
                         .answer = *std::move(answer),
                         .wall_ms = *wall_ms};
    }
  }
  return std::nullopt;
}

void ClaimKeyOfRequest(Context& context, RequestEntry& entry) {
  entry.state = RequestState::kClaiming;
  BeginClaim(context, {.id = entry.request.id,
                       .team = entry.request.team,
                       .key = entry.request.key});
}

void ClaimKeyOfJob(Context& context, Job& job) {
  BeginClaim(context,
             {.id = job.id, .team = job.spec.team, .key = job.spec.key});
}

void SettleClaim(Context& context,
                 const std::string& team,
                 const std::string& key,
                 const std::string& id,
                 ClaimState state,
                 const std::string& answer) {
  const std::string record_key = RecordKey(team, key);
  Deactivate(context, record_key, id);
  const std::string name = ShardOf(team, key);
  ShardLog(context, name);
  AppendTo(context, name, MakeRecord(context, record_key, id, state, answer),
           {}, std::nullopt);
}

void OnClaimAppended(Context& context,
                     const std::string& id,
                     AppendOutcome outcome) {
  const auto wanted = FindClaimTarget(context, id);
  if (!wanted) {
    return;
  }
  if (outcome == AppendOutcome::kCommitted) {
    const auto it = context.state().requests.entries.find(id);
    if (it == context.state().requests.entries.end()) {
      OnJobClaimed(context, id);
      return;
    }
    it->second.claimed = true;
    it->second.claim_ticket = 0;
    AdmitRequest(context, it->second);
    return;
  }
  if (outcome == AppendOutcome::kDropped) {
    ClaimIfFree(context, *wanted);  // another claim was written first
    return;
  }
  if (outcome == AppendOutcome::kUnknown) {
    // The work will not be dispatched, but its claim may have been written.
    SettleClaim(context, wanted->team, wanted->key, id, ClaimState::kReleased,
                "");
  }
  Deactivate(context, RecordKey(wanted->team, wanted->key), id);
  RefuseUnrecorded(context, id);
}

void OnClaimShardRead(Context& context, const std::string& log) {
  State& state = context.state();
  const auto it = state.claims.waiting.find(log);
  if (it == state.claims.waiting.end()) {
    return;
  }
  const std::vector<std::string> ids = std::move(it->second);
  state.claims.waiting.erase(it);
  const bool is_open = state.logs.at(log).log->is_open();
  for (const std::string& id : ids) {
    const auto wanted = FindClaimTarget(context, id);
    if (!wanted) {
      continue;
    }
    if (is_open) {
      ClaimIfFree(context, *wanted);
    } else {
      Deactivate(context, RecordKey(wanted->team, wanted->key), id);
      RefuseUnrecorded(context, id);
    }
  }
}

void GiveUpClaim(Context& context,
                 const std::string& team,
                 const std::string& key,
                 const std::string& id,
                 std::uint64_t ticket) {
  const std::string name = ShardOf(team, key);
  const auto it = context.state().logs.find(name);
  if (ticket == 0 || it == context.state().logs.end()) {
    Deactivate(context, RecordKey(team, key), id);
    return;
  }
  it->second.tickets.erase(ticket);
  LedgerProgress progress = it->second.log->GiveUp(ticket, context.now());
  bool may_be_written = false;
  for (const TicketOutcome& outcome : progress.finished) {
    may_be_written =
        may_be_written || outcome.outcome == AppendOutcome::kUnknown;
  }
  ApplyLedgerProgress(context, name, std::move(progress));
  if (may_be_written) {
    SettleClaim(context, team, key, id, ClaimState::kReleased, "");
  }
  Deactivate(context, RecordKey(team, key), id);
}

bool IsClaimLog(const std::string& log) {
  return log.starts_with(kClaimLogPrefix);
}

}  // namespace burdockrock
