// What a log makes of the platform's answers: commits, conflicts, fencing,
// and the settling of writes whose answer was lost.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "ledger/slot_log.h"

namespace burdockrock {
namespace {

// After so many slots taken by others in a row, one range read catches up
// with fewer calls than a put and a get for each slot.
constexpr std::uint64_t kConflictsBeforeRange = 3;

}  // namespace

LedgerProgress SlotLog::OnAnswer(std::uint64_t call_id,
                                 const PlatformResult& result,
                                 Time now) {
  LedgerProgress out = TakeDeferred();
  if (!call_ || call_->id != call_id) {
    return out;
  }
  const CallUnderWay call = *std::exchange(call_, std::nullopt);
  if (const auto* failure = std::get_if<PlatformUnavailable>(&result)) {
    OnUnreachable(call, *failure, now, out);
    Advance(now, out);
    return out;
  }
  failures_ = 0;
  backoff_.Reset();
  last_contact_ = now;
  switch (call.kind) {
    case CallKind::kRange:
      OnRange(call, result, now, out);
      break;
    case CallKind::kPut:
      OnPut(call, result, now, out);
      break;
    case CallKind::kGet:
      OnGet(call, result, now, out);
      break;
    case CallKind::kDelete:
      OnDelete(out);
      break;
  }
  Advance(now, out);
  return out;
}

void SlotLog::OnUnreachable(const CallUnderWay& call,
                            const PlatformUnavailable& failure,
                            Time now,
                            LedgerProgress& out) {
  ++failures_;
  RetryLater(now);
  if (call.kind == CallKind::kPut) {
    open_batch_->may_be_written |= failure.may_have_taken_effect;
    // The write may have taken effect though its answer was lost. Writing the
    // records again at another position would double them; the slot tells.
    must_get_ = open_batch_->may_be_written;
    if (!must_get_) {
      ReturnToPending(out);
    }
  }
  RefuseUnreachable(out);
}

void SlotLog::OnRange(const CallUnderWay& call,
                      const PlatformResult& result,
                      Time now,
                      LedgerProgress& out) {
  const auto* items = std::get_if<KvItems>(&result);
  if (items == nullptr && !std::holds_alternative<KvMissing>(result)) {
    problem_ = "the platform answered a range read with something else";
    RetryLater(now);
    return;
  }
  const std::vector<KvItem> none;
  const std::vector<KvItem>& found = items == nullptr ? none : items->items;
  auto loaded = LoadLog(options_.name, options_.ring_slots, found);
  if (const auto* damage = std::get_if<LogDamage>(&loaded)) {
    OnDamage(damage->problem, now, out);
    return;
  }
  problem_.clear();
  must_read_ = false;
  must_get_ = false;
  verified_at_ = call.sent;
  if (purging_) {
    ListForPurge(found, out);
    return;
  }
  OnLoaded(std::get<LoadedLog>(std::move(loaded)), now, out);
}

void SlotLog::OnLoaded(LoadedLog loaded, Time now, LedgerProgress& out) {
  const bool lost = LostToOther(loaded);
  TakeOver(std::move(loaded), out);
  SettleAgainstReplay(now, out);
  if (phase_ == Phase::kClosed) {
    return;
  }
  if (replay_.is_closed()) {
    EnterClosed(now, out);
    return;
  }
  if (lost) {
    Fence(replay_.last_writer(), out);
    return;
  }
  out.opened = phase_ == Phase::kReading;
  phase_ = Phase::kReady;
  DropUnwanted(out);
}

void SlotLog::TakeOver(LoadedLog loaded, LedgerProgress& out) {
  const LogPosition known = replay_.next_position();
  if (phase_ != Phase::kReading) {
    const bool shrank = loaded.replay.next_position() < known;
    const bool passed =
        !loaded.batches.empty() && loaded.batches.front().position > known;
    out.missed_batches = shrank || passed;
    for (const LogBatch& it : loaded.batches) {
      if (it.position >= known && it.writer != options_.writer) {
        ReportAbsorbed(it, out);
      }
    }
  }
  replay_ = std::move(loaded.replay);
}

// Only the owner appends to an exclusive log, so its last batch names the
// owner. A log that became shorter was closed and purged.
bool SlotLog::LostToOther(const LoadedLog& loaded) const {
  if (!options_.exclusive) {
    return false;
  }
  const LogPosition known = replay_.next_position();
  const LogReplay& replay = loaded.replay;
  if (owner_) {
    return replay.next_position() < known ||
           (replay.next_position() > 0 &&
            replay.last_writer() != options_.writer);
  }
  if (!adopting_ || phase_ == Phase::kReading) {
    return false;
  }
  return std::any_of(loaded.batches.begin(), loaded.batches.end(),
                     [this, known](const LogBatch& it) {
                       return it.position >= known &&
                              it.kind == BatchKind::kOwner &&
                              it.writer != options_.writer;
                     });
}

void SlotLog::OnPut(const CallUnderWay& call,
                    const PlatformResult& result,
                    Time now,
                    LedgerProgress& out) {
  if (std::holds_alternative<KvTooLarge>(result)) {
    OnTooLarge(now, out);
    return;
  }
  const auto* done = std::get_if<KvDone>(&result);
  if (done == nullptr) {
    OnConflict(now);
    return;
  }
  // The slot may have been purged and free before this write took effect;
  // then the log is no longer the one that this writer knows.
  if (now - verified_at_ > 2 * options_.verify_after) {
    open_batch_->may_be_written = true;
    must_read_ = true;
    return;
  }
  verified_at_ = call.sent;
  replay_.Apply(open_batch_->batch, done->revision);
  FinishCommitted(now, out);
}

void SlotLog::OnConflict(Time now) {
  ++conflicts_;
  ++conflicts_in_row_;
  must_read_ = conflicts_in_row_ >= kConflictsBeforeRange;
  must_get_ = !must_read_;
  // Writers that collide again and again spread out.
  if (conflicts_in_row_ > 1) {
    retry_at_ = now + backoff_.Jitter(options_.commit_interval);
  }
}

// Cannot happen while max_batch_bytes keeps below the platform's limit.
void SlotLog::OnTooLarge(Time now, LedgerProgress& out) {
  problem_ = "the platform refuses a batch as too large; lower the batch size";
  for (const PendingRecord& it : open_batch_->own) {
    auto& list = it.given_up ? out.settled_late : out.finished;
    list.push_back({it.ticket, AppendOutcome::kNotWritten});
  }
  open_batch_.reset();
  RetryLater(now);
}

void SlotLog::OnGet(const CallUnderWay& call,
                    const PlatformResult& result,
                    Time now,
                    LedgerProgress& out) {
  must_get_ = false;
  const auto* items = std::get_if<KvItems>(&result);
  const bool missing = std::holds_alternative<KvMissing>(result) ||
                       (items != nullptr && items->items.empty());
  // A missing slot is free if it never was in use: the write has not taken
  // effect yet, or never will. The same write again is one compare-and-swap on
  // one key, so at most one of them does.
  if (missing && open_batch_->expect == 0) {
    verified_at_ = call.sent;
    return;
  }
  if (missing || items == nullptr) {
    must_read_ = true;
    return;
  }
  OnSlot(items->items.front(), now, out);
  if (!must_read_) {
    verified_at_ = call.sent;
  }
}

void SlotLog::OnSlot(const KvItem& item, Time now, LedgerProgress& out) {
  const std::optional<LogBatch> found = ParseBatch(item.value);
  const LogBatch& own = open_batch_->batch;
  if (!found || found->ring_slots != own.ring_slots ||
      found->position > own.position ||
      now - verified_at_ > 2 * options_.verify_after) {
    must_read_ = true;
    return;
  }
  if (found->position < own.position) {
    must_read_ = item.revision != open_batch_->expect;
    return;
  }
  if (*found == own) {
    replay_.Apply(own, item.revision);
    FinishCommitted(now, out);
    return;
  }
  // The slot has another revision than the write expects, so a write of the
  // open batch that is still in the network is refused when it arrives.
  ReturnToPending(out);
  AbsorbForeign(*found, item.revision, now, out);
}

void SlotLog::AbsorbForeign(const LogBatch& batch,
                            Revision revision,
                            Time now,
                            LedgerProgress& out) {
  ReportAbsorbed(batch, out);
  replay_.Apply(batch, revision);
  const bool lost_adoption = adopting_ && batch.kind == BatchKind::kOwner;
  if (batch.kind == BatchKind::kClosed) {
    EnterClosed(now, out);
  } else if (options_.exclusive && (owner_ || lost_adoption)) {
    // This writer was taken for dead and slept through it. Answering
    // "accepted" now would promise work that the new owner never reads.
    Fence(batch.writer, out);
  } else {
    DropUnwanted(out);
  }
}

// Leaves out what the batch only carries on.
void SlotLog::ReportAbsorbed(const LogBatch& batch, LedgerProgress& out) const {
  for (const LogRecord& it : batch.records) {
    const auto standing = records().find(it.key);
    const bool known =
        it.kind == kEraseKind
            ? standing == records().end()
            : standing != records().end() && standing->second.record == it;
    if (!known) {
      out.absorbed.push_back(it);
    }
  }
}

// Asks for each pending record in order. One that stays wanted is what the next
// one of its key meets, so that two claims of one writer collide as well.
void SlotLog::DropUnwanted(LedgerProgress& out) {
  if (!options_.still_wanted) {
    return;
  }
  std::map<std::string, const LogRecord*> earlier;
  const auto unwanted = [this, &earlier](const PendingRecord& it) {
    const auto standing = records().find(it.record.key);
    const LogRecord* current =
        standing == records().end() ? nullptr : &standing->second.record;
    const auto overlay = earlier.find(it.record.key);
    if (overlay != earlier.end()) {
      current = overlay->second;
    }
    if (!options_.still_wanted(it.record, current)) {
      return true;
    }
    earlier[it.record.key] =
        it.record.kind == kEraseKind ? nullptr : &it.record;
    return false;
  };
  for (const PendingRecord& it : pending_.RemoveIf(unwanted)) {
    out.finished.push_back({it.ticket, AppendOutcome::kDropped});
  }
}

void SlotLog::RefuseUnreachable(LedgerProgress& out) {
  const auto refused = [](const PendingRecord& it) {
    return it.options.refuse_when_unreachable;
  };
  for (const PendingRecord& it : pending_.RemoveIf(refused)) {
    out.finished.push_back({it.ticket, AppendOutcome::kNotWritten});
  }
}

void SlotLog::FinishCommitted(Time now, LedgerProgress& out) {
  const OpenBatch done = *std::exchange(open_batch_, std::nullopt);
  conflicts_in_row_ = 0;
  for (const PendingRecord& it : done.own) {
    auto& list = it.given_up ? out.settled_late : out.finished;
    list.push_back({it.ticket, AppendOutcome::kCommitted});
  }
  if (done.batch.kind == BatchKind::kOwner) {
    owner_ = true;
    adopting_ = false;
    out.adopted = true;
  } else if (done.batch.kind == BatchKind::kClosed) {
    EnterClosed(now, out);
  }
}

void SlotLog::ReturnToPending(LedgerProgress& out) {
  OpenBatch open = *std::exchange(open_batch_, std::nullopt);
  std::vector<PendingRecord> wanted;
  for (PendingRecord& it : open.own) {
    if (it.given_up) {
      out.settled_late.push_back({it.ticket, AppendOutcome::kNotWritten});
    } else {
      wanted.push_back(std::move(it));
    }
  }
  pending_.PutBack(std::move(wanted));
}

void SlotLog::FinishUnknown(LedgerProgress& out) {
  if (!open_batch_) {
    return;
  }
  const OpenBatch open = *std::exchange(open_batch_, std::nullopt);
  for (const PendingRecord& it : open.own) {
    if (!it.given_up) {
      out.finished.push_back({it.ticket, AppendOutcome::kUnknown});
    }
  }
}

void SlotLog::SettleAgainstReplay(Time now, LedgerProgress& out) {
  if (!open_batch_) {
    return;
  }
  const LogBatch& own = open_batch_->batch;
  if (replay_.Holds(own)) {
    FinishCommitted(now, out);
    return;
  }
  const bool still_next = replay_.next_position() == own.position &&
                          replay_.ExpectedRevision() == open_batch_->expect;
  if (still_next && !replay_.is_closed()) {
    return;
  }
  const bool taken_by_other = replay_.next_position() > own.position &&
                              !replay_.IsOverwritten(own.position);
  if (taken_by_other || !open_batch_->may_be_written) {
    ReturnToPending(out);
  } else {
    FinishUnknown(out);
  }
}

void SlotLog::Fence(const std::string& by, LedgerProgress& out) {
  phase_ = Phase::kFenced;
  owner_ = false;
  adopting_ = false;
  closing_ = false;
  out.fenced = true;
  out.fenced_by = by;
  FailPending(AppendOutcome::kFenced, out);
}

void SlotLog::EnterClosed(Time now, LedgerProgress& out) {
  const bool by_other = replay_.last_writer() != options_.writer;
  if (by_other && (owner_ || adopting_)) {
    out.fenced = true;
    out.fenced_by = replay_.last_writer();
  }
  phase_ = Phase::kClosed;
  owner_ = false;
  adopting_ = false;
  closing_ = false;
  closed_since_ = now;
  out.closed = true;
  FailPending(AppendOutcome::kFenced, out);
}

void SlotLog::FailPending(AppendOutcome outcome, LedgerProgress& out) {
  const auto all = [](const PendingRecord&) { return true; };
  for (const PendingRecord& it : pending_.RemoveIf(all)) {
    out.finished.push_back({it.ticket, outcome});
  }
}

// The slots by position, the closed batch last: as long as any slot is left,
// the closed batch tells readers to ignore it.
void SlotLog::ListForPurge(const std::vector<KvItem>& items,
                           LedgerProgress& out) {
  to_delete_.clear();
  for (const KvItem& it : items) {
    const std::optional<LogBatch> batch = ParseBatch(it.value);
    const bool last = batch && batch->kind == BatchKind::kClosed;
    KvDelete call{.key = it.key, .expect = it.revision};
    const auto at = last ? to_delete_.begin() : to_delete_.end();
    to_delete_.insert(at, std::move(call));
  }
  if (to_delete_.empty()) {
    purging_ = false;
    out.purged = true;
  }
}

// Whatever was answered, the slot is deleted or is not this log's any more.
void SlotLog::OnDelete(LedgerProgress& out) {
  to_delete_.pop_back();
  if (to_delete_.empty()) {
    purging_ = false;
    out.purged = true;
  }
}

// An owner that finds its journal in pieces slept until others had adopted and
// purged it, and its own late write made a slot again. Nobody will read that.
void SlotLog::OnDamage(const std::string& problem,
                       Time now,
                       LedgerProgress& out) {
  problem_ = problem;
  if (owner_) {
    FinishUnknown(out);
    Fence("", out);
  } else {
    RetryLater(now);
  }
}

void SlotLog::RetryLater(Time now) {
  retry_at_ = now + backoff_.NextDelay();
}

}  // namespace burdockrock
