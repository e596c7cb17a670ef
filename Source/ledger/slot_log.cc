// What a log is asked to do and what it sends. slot_log_answers.cc has what it
// makes of the platform's answers.
#include "ledger/slot_log.h"

#include <algorithm>
#include <utility>

namespace burdockrock {
namespace {

// Of the ring's room, the part that standing and pending records may take, so
// that carrying always leaves room for new records.
constexpr std::size_t kUsableShare = 2;

constexpr int kPurgeDelayFactor = 3;

}  // namespace

const char* AppendOutcomeName(AppendOutcome outcome) {
  switch (outcome) {
    case AppendOutcome::kCommitted:
      return "committed";
    case AppendOutcome::kFenced:
      return "fenced";
    case AppendOutcome::kNotWritten:
      return "not_written";
    case AppendOutcome::kUnknown:
      return "unknown";
    case AppendOutcome::kDropped:
      return "dropped";
  }
  return "unknown";
}

SlotLog::SlotLog(SlotLogOptions options, WriteBudget& budget)
    : options_(std::move(options)),
      budget_(&budget),
      backoff_(options_.retry),
      replay_(options_.ring_slots) {}

LedgerProgress SlotLog::Open(Time now) {
  LedgerProgress out = TakeDeferred();
  if (phase_ == Phase::kNew) {
    phase_ = Phase::kReading;
    must_read_ = true;
  }
  Advance(now, out);
  return out;
}

LedgerProgress SlotLog::Create(Time now) {
  LedgerProgress out = TakeDeferred();
  if (phase_ == Phase::kNew) {
    phase_ = Phase::kReady;
    owner_ = true;
    verified_at_ = now;
    out.opened = true;
  }
  Advance(now, out);
  return out;
}

LedgerProgress SlotLog::Adopt(Time now) {
  LedgerProgress out = TakeDeferred();
  if (options_.exclusive && !owner_) {
    adopting_ = true;
  }
  Advance(now, out);
  return out;
}

Ticket SlotLog::Append(LogRecord record,
                       const AppendOptions& options,
                       Time now) {
  const Ticket ticket = next_ticket_++;
  if (options.urgent) {
    budget_at_ = Time(0);  // was computed for an ordinary write
  }
  const std::size_t bytes = EncodedBytes(record);
  const std::size_t room =
      options_.max_batch_bytes - EncodedHeaderBytes(options_.writer);
  const std::size_t capacity =
      options_.ring_slots * options_.max_batch_bytes / kUsableShare;
  const std::size_t under_way = open_batch_ ? open_batch_->own_bytes : 0;
  const std::size_t used = replay_.live_bytes() + pending_.bytes() + under_way;
  const bool ended =
      phase_ == Phase::kFenced || phase_ == Phase::kClosed || closing_;
  const bool refused =
      options.refuse_when_unreachable && now < retry_at_ && !is_reachable();
  if (ended) {
    deferred_.push_back({ticket, AppendOutcome::kFenced});
  } else if (refused || bytes > room || used + bytes > capacity) {
    deferred_.push_back({ticket, AppendOutcome::kNotWritten});
  } else {
    pending_.Push({.ticket = ticket,
                   .record = std::move(record),
                   .options = options,
                   .since = now,
                   .bytes = bytes});
  }
  return ticket;
}

LedgerProgress SlotLog::GiveUp(Ticket ticket, Time now) {
  LedgerProgress out = TakeDeferred();
  if (pending_.Remove(ticket)) {
    out.finished.push_back({ticket, AppendOutcome::kNotWritten});
  } else if (open_batch_) {
    for (PendingRecord& it : open_batch_->own) {
      if (it.ticket == ticket && !it.given_up) {
        it.given_up = true;
        out.finished.push_back({ticket, AppendOutcome::kUnknown});
      }
    }
  }
  Advance(now, out);
  return out;
}

LedgerProgress SlotLog::Close(Time now) {
  LedgerProgress out = TakeDeferred();
  if (options_.exclusive && is_writable() && pending_count() == 0 &&
      records().empty()) {
    closing_ = true;
  }
  Advance(now, out);
  return out;
}

LedgerProgress SlotLog::Purge(Time now) {
  LedgerProgress out = TakeDeferred();
  if (phase_ == Phase::kClosed && !purging_ &&
      now - closed_since_ >= PurgeDelay()) {
    purging_ = true;
    must_read_ = true;
  }
  Advance(now, out);
  return out;
}

LedgerProgress SlotLog::OnTime(Time now) {
  LedgerProgress out = TakeDeferred();
  Advance(now, out);
  return out;
}

Time SlotLog::next_time() const {
  if (!deferred_.empty()) {
    return Time(0);
  }
  if (call_ || phase_ == Phase::kNew || phase_ == Phase::kFenced) {
    return kForever;
  }
  if (must_read_ || must_get_) {
    return retry_at_;
  }
  const Time writable_at = std::max(retry_at_, budget_at_);
  if (open_batch_ || purging_) {
    return writable_at;
  }
  return WantsBatch() ? std::max(BatchTime(), writable_at) : kForever;
}

bool SlotLog::is_writable() const {
  return phase_ == Phase::kReady && (owner_ || !options_.exclusive) &&
         !closing_;
}

std::size_t SlotLog::pending_count() const {
  return pending_.size() + (open_batch_ ? open_batch_->own.size() : 0);
}

const std::map<std::string, LiveRecord>& SlotLog::records() const {
  return replay_.records();
}

Duration SlotLog::PurgeDelay() const {
  return kPurgeDelayFactor * options_.verify_after;
}

void SlotLog::Advance(Time now, LedgerProgress& out) {
  if (call_ || phase_ == Phase::kNew || phase_ == Phase::kFenced ||
      now < retry_at_) {
    return;
  }
  const bool wants_put = open_batch_ || (WantsBatch() && now >= BatchTime());
  if (wants_put && IsStale(now)) {
    must_read_ = true;
  }
  if (must_read_) {
    Send(CallKind::kRange, KvRange{.prefix = LogPrefix(options_.name)}, now,
         out);
  } else if (must_get_) {
    const std::uint64_t slot = replay_.SlotOf(open_batch_->batch.position);
    Send(CallKind::kGet, KvGet{.key = SlotKey(options_.name, slot)}, now, out);
  } else if (purging_) {
    SendDelete(now, out);
  } else if (wants_put) {
    SendPut(now, out);
  }
}

void SlotLog::Send(CallKind kind,
                   PlatformOperation operation,
                   Time now,
                   LedgerProgress& out) {
  call_ = CallUnderWay{.id = next_call_++, .kind = kind, .sent = now};
  out.calls.push_back(
      {.call_id = call_->id, .operation = std::move(operation)});
}

void SlotLog::SendPut(Time now, LedgerProgress& out) {
  if (!open_batch_) {
    DropUnwanted(out);
  }
  const bool wants_put = open_batch_ || WantsBatch();
  if (!wants_put || !TakeBudget(now)) {
    return;
  }
  if (!open_batch_) {
    BuildBatch();
  }
  ++puts_sent_;
  const std::uint64_t slot = replay_.SlotOf(open_batch_->batch.position);
  Send(CallKind::kPut,
       KvPut{.key = SlotKey(options_.name, slot),
             .value = open_batch_->text,
             .expect = open_batch_->expect},
       now, out);
}

void SlotLog::SendDelete(Time now, LedgerProgress& out) {
  if (TakeBudget(now)) {
    Send(CallKind::kDelete, to_delete_.back(), now, out);
  }
}

bool SlotLog::TakeBudget(Time now) {
  const bool urgent = IsUrgent();
  if (budget_->TryTake(urgent, now)) {
    return true;
  }
  budget_at_ = budget_->NextTime(urgent, now);
  return false;
}

// A log that was not seen for long may have been adopted, closed and purged.
// Its slots are then free again: a put would succeed and leave a journal in
// pieces, which every later reader reports as damaged. Reading first shows the
// log gone and nothing is written.
bool SlotLog::IsStale(Time now) const {
  return now - verified_at_ > options_.verify_after;
}

bool SlotLog::IsUrgent() const {
  return adopting_ || pending_.has_urgent() ||
         (open_batch_ && open_batch_->urgent);
}

bool SlotLog::WantsBatch() const {
  if (phase_ != Phase::kReady) {
    return false;
  }
  if (adopting_ || closing_) {
    return true;
  }
  return is_writable() && !pending_.empty();
}

Time SlotLog::BatchTime() const {
  const bool at_once = adopting_ || closing_ || pending_.has_urgent();
  return at_once ? Time(0) : pending_.oldest() + options_.commit_interval;
}

void SlotLog::BuildBatch() {
  OpenBatch open;
  open.urgent = IsUrgent();
  open.expect = replay_.ExpectedRevision();
  open.batch = LogBatch{.position = replay_.next_position(),
                        .ring_slots = options_.ring_slots,
                        .writer = options_.writer,
                        .number = next_number_++,
                        .kind = BatchKind::kAppend,
                        .records = CarriedRecords()};
  if (adopting_) {
    open.batch.kind = BatchKind::kOwner;
  } else if (closing_) {
    open.batch.kind = BatchKind::kClosed;
  } else {
    std::size_t bytes = EncodedHeaderBytes(options_.writer);
    for (const LogRecord& it : open.batch.records) {
      bytes += EncodedBytes(it);
    }
    const std::size_t room =
        options_.max_batch_bytes - std::min(bytes, options_.max_batch_bytes);
    open.own = pending_.Take(room);
  }
  for (const PendingRecord& it : open.own) {
    open.batch.records.push_back(it.record);
    open.own_bytes += it.bytes;
  }
  open.text = EncodeBatch(open.batch);
  open_batch_ = std::move(open);
}

std::vector<LogRecord> SlotLog::CarriedRecords() const {
  std::vector<LogRecord> carried = replay_.OverwrittenRecords();
  if (options_.keep) {
    std::erase_if(carried,
                  [this](const LogRecord& it) { return !options_.keep(it); });
  }
  return carried;
}

LedgerProgress SlotLog::TakeDeferred() {
  LedgerProgress out;
  out.finished = std::exchange(deferred_, {});
  return out;
}

}  // namespace burdockrock
