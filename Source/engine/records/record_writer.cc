#include "engine/records/record_writer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "engine/jobs/adoption.h"
#include "engine/jobs/job_progress.h"
#include "engine/members/membership.h"
#include "engine/records/store_calls.h"

namespace burdockrock::engine {

namespace {

// Every transaction is conditional on this instance's registration. An instance
// that the others have declared lost must not write any more: the members that
// take over its work would miss a job that it accepts after that.
StoreCondition OwnCondition(const Context& context) {
  return {.key = MemberKey(context.self()),
          .revision = context.state.members.fence};
}

std::size_t ValueBytes(const Change& change) {
  std::size_t n = 0;
  for (const StorePut& it : change.puts) {
    n += it.value.size();
  }
  return n;
}

// What of the change the store would reject for its size.
std::string Oversized(const Context& context, const Change& change) {
  const std::size_t limit = context.state.options.bounds.max_value_bytes;
  for (const StorePut& it : change.puts) {
    if (it.key.size() > kMaxKeyBytes) {
      return fmt::format("key {} has {} bytes of {}", it.key, it.key.size(),
                         kMaxKeyBytes);
    }
    if (it.value.size() > limit) {
      return fmt::format("{} has {} bytes of {}", it.key, it.value.size(),
                         limit);
    }
  }
  return {};
}

Batch TakeBatch(Context& context) {
  Batch batch{.fence = context.state.members.fence};
  std::deque<Change>& queue = context.state.writer.queue;
  std::size_t entries = 1;
  std::size_t bytes = 0;
  while (!queue.empty()) {
    const Change& next = queue.front();
    entries += next.entries();
    bytes += ValueBytes(next);
    const bool fits = entries <= kMaxTransactionEntries &&
                      bytes <= context.state.options.bounds.max_value_bytes &&
                      !next.alone && next.oversized.empty();
    if (!fits && !batch.changes.empty()) {
      break;
    }
    const bool last = next.alone;
    batch.changes.push_back(std::move(queue.front()));
    queue.pop_front();
    if (last) {
      break;
    }
  }
  return batch;
}

StoreTransaction TransactionOf(const Context& context, const Batch& batch) {
  StoreTransaction transaction{.conditions = {OwnCondition(context)}};
  for (const Change& it : batch.changes) {
    for (const StoreCondition& condition : it.conditions) {
      // Several changes may depend on the same key.
      auto& all = transaction.conditions;
      if (std::find(all.begin(), all.end(), condition) == all.end()) {
        all.push_back(condition);
      }
    }
    transaction.puts.insert(transaction.puts.end(), it.puts.begin(),
                            it.puts.end());
    transaction.removes.insert(transaction.removes.end(), it.removes.begin(),
                               it.removes.end());
  }
  return transaction;
}

void OnChangeDone(Context& context,
                  const Change& change,
                  std::uint64_t revision) {
  switch (change.kind) {
    case ChangeKind::kCreateJob:
      return OnCreated(context, change.job, revision);
    case ChangeKind::kSaveJob:
      return OnSaved(context, change.job, change.version, revision);
    case ChangeKind::kAdoptJob:
      return OnAdopted(context, change.job, revision);
    case ChangeKind::kRemoveJob:
      return;
  }
}

void OnChangeConflict(Context& context,
                      const Change& change,
                      const StoreItem& item) {
  switch (change.kind) {
    case ChangeKind::kCreateJob:
      return OnCreateConflict(context, change.job, item);
    case ChangeKind::kSaveJob:
      return OnSaveConflict(context, change.job, item);
    case ChangeKind::kAdoptJob:
      return OnAdoptConflict(context, change.job);
    case ChangeKind::kRemoveJob:
      return;
  }
}

void Requeue(Context& context, std::vector<Change> changes) {
  std::deque<Change>& queue = context.state.writer.queue;
  for (auto it = changes.rbegin(); it != changes.rend(); ++it) {
    queue.push_front(std::move(*it));
  }
}

const char* ChangeKindName(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kCreateJob:
      return "create";
    case ChangeKind::kSaveJob:
      return "save";
    case ChangeKind::kAdoptJob:
      return "adopt";
    case ChangeKind::kRemoveJob:
      return "remove";
  }
  return "";
}

// The store will never take the change. What it belongs to goes on without it,
// and so do the other changes.
void OnChangeRejected(Context& context,
                      const Change& change,
                      const std::string& detail) {
  ++context.state.totals.rejected_writes;
  context.Log(EventNumber::kWriteRejected,
              {{"job", change.job},
               {"write", ChangeKindName(change.kind)},
               {"key", change.puts.empty() ? "" : change.puts.front().key},
               {"bytes", std::to_string(ValueBytes(change))},
               {"problem", detail}});
  switch (change.kind) {
    case ChangeKind::kCreateJob:
      return OnCreateRejected(context, change.job, detail);
    case ChangeKind::kSaveJob:
      return OnSaveRejected(context, change.job);
    case ChangeKind::kAdoptJob:
      return OnAdoptRejected(context, change.job);
    case ChangeKind::kRemoveJob:
      return;
  }
}

// A transaction is rejected as a whole: its changes are sent one by one.
void OnBatchRejected(Context& context,
                     std::vector<Change> changes,
                     const std::string& detail) {
  if (changes.size() == 1) {
    return OnChangeRejected(context, changes.front(), detail);
  }
  for (Change& it : changes) {
    it.alone = true;
  }
  Requeue(context, std::move(changes));
}

// Drops the changes at the front that can't be sent.
void DropOversized(Context& context) {
  std::deque<Change>& queue = context.state.writer.queue;
  while (!queue.empty() && !queue.front().oversized.empty()) {
    const Change change = std::move(queue.front());
    queue.pop_front();
    OnChangeRejected(context, change, change.oversized);
  }
}

using Items = std::map<std::string, StoreItem>;

StoreItem ItemAt(const Items& items, const std::string& key) {
  const auto it = items.find(key);
  return it == items.end() ? StoreItem{.key = key} : it->second;
}

// The stored item of the first condition that does not hold.
std::optional<StoreItem> FailedCondition(const Change& change,
                                         const Items& items) {
  for (const StoreCondition& it : change.conditions) {
    StoreItem item = ItemAt(items, it.key);
    if (item.revision != it.revision) {
      return item;
    }
  }
  return std::nullopt;
}

// Whether the item is what an earlier attempt of the same change wrote.
bool IsOwnWrite(const Change& change, const StoreItem& item) {
  return std::any_of(change.puts.begin(), change.puts.end(),
                     [&](const StorePut& put) {
                       return put.key == item.key && put.value == item.value;
                     });
}

void OnConflict(Context& context, Batch batch, const StoreConflict& conflict) {
  Items items;
  for (const StoreItem& it : conflict.items) {
    items[it.key] = it;
  }
  const StoreItem own = ItemAt(items, MemberKey(context.self()));
  if (own.revision == 0) {
    LoseRegistration(context, "not in the store");
  }
  std::vector<Change> retry;
  for (Change& it : batch.changes) {
    const auto failed = FailedCondition(it, items);
    if (!failed) {
      retry.push_back(std::move(it));
    } else if (it.may_be_applied && IsOwnWrite(it, *failed)) {
      context.Log(EventNumber::kLostAnswerSettled,
                  {{"job", it.job}, {"outcome", "written"}});
      OnChangeDone(context, it, failed->revision);
    } else {
      OnChangeConflict(context, it, *failed);
    }
  }
  Requeue(context, std::move(retry));
}

// Takes one transaction from the token bucket of the write rate, of which each
// instance has an equal share. A burst of changes waits in the queue and is
// sent in larger batches. Without this limit the store refuses calls, also
// those of other clients, and every refused call is repeated.
bool TakeWriteToken(Context& context) {
  WriterState& writer = context.state.writer;
  const auto members = static_cast<double>(
      std::max<std::size_t>(context.state.members.present.size(), 1));
  const double rate =
      kWriteShare * context.state.options.bounds.store_writes / members;
  const std::chrono::duration<double> passed = context.now - writer.refilled_at;
  writer.tokens = std::min(kWriteBurst, writer.tokens + rate * passed.count());
  writer.refilled_at = context.now;
  if (writer.tokens < 1) {
    return false;
  }
  --writer.tokens;
  return true;
}

}  // namespace

void QueueChange(Context& context, Change change) {
  change.oversized = Oversized(context, change);
  context.state.writer.queue.push_back(std::move(change));
}

void DriveWriter(Context& context) {
  WriterState& writer = context.state.writer;
  // While the fence is being advanced a transaction would be conditional on the
  // old fence.
  const bool advancing = context.state.members.advancing_fence;
  DropOversized(context);
  while (!writer.queue.empty() && IsRegistered(context.state) && !advancing &&
         context.now >= writer.retry_at &&
         writer.in_flight.size() < kMaxTransactionsInFlight &&
         TakeWriteToken(context)) {
    Batch batch = TakeBatch(context);
    const std::uint64_t id = ++writer.last_batch;
    SendStoreRequest(context, TransactionOf(context, batch),
                     ForBatch{.batch = id});
    writer.in_flight.emplace(id, std::move(batch));
    DropOversized(context);
  }
}

void OnBatchAnswer(Context& context,
                   std::uint64_t batch,
                   const StoreAnswer& answer) {
  auto node = context.state.writer.in_flight.extract(batch);
  if (node.empty()) {
    return;
  }
  Batch sent = std::move(node.mapped());
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    for (const Change& it : sent.changes) {
      OnChangeDone(context, it, done->revision);
    }
    return;
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&answer)) {
    return OnConflict(context, std::move(sent), *conflict);
  }
  if (const auto* rejected = std::get_if<StoreRejected>(&answer)) {
    return OnBatchRejected(context, std::move(sent.changes), rejected->detail);
  }
  if (std::holds_alternative<StoreUnknown>(answer)) {
    for (Change& it : sent.changes) {
      it.may_be_applied = true;
    }
  }
  context.state.writer.retry_at = context.now + kStoreRetryDelay;
  Requeue(context, std::move(sent.changes));
}

bool WithdrawChange(Context& context, ChangeKind kind, const std::string& job) {
  std::deque<Change>& queue = context.state.writer.queue;
  const auto it =
      std::find_if(queue.begin(), queue.end(), [&](const Change& c) {
        return c.kind == kind && c.job == job && !c.may_be_applied;
      });
  if (it == queue.end()) {
    return false;
  }
  queue.erase(it);
  return true;
}

}  // namespace burdockrock::engine
