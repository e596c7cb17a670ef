// A durable log in the platform's key-value service, ordered by the platform's
// compare-and-swap alone. docs/design/0003-durable-log.md gives the reasons.
#ifndef BURDOCKROCK_LEDGER_SLOT_LOG_H_
#define BURDOCKROCK_LEDGER_SLOT_LOG_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/append_queue.h"
#include "ledger/log_batch.h"
#include "ledger/log_replay.h"
#include "ledger/retry_backoff.h"
#include "ledger/write_budget.h"
#include "model/platform.h"
#include "model/time.h"

namespace burdockrock {

struct SlotLogOptions {
  std::string name;    // "jobs/neihu-a/entry-1-e17", "claims/3"
  std::string writer;  // instance and incarnation; never used twice for a name
  // A journal with one writer at a time: another's batch fences this writer.
  // Otherwise several writers append and absorb each other's records.
  bool exclusive = false;
  // How long the first pending record waits for others to share its write.
  Duration commit_interval = std::chrono::milliseconds(10);
  std::size_t max_batch_bytes = 900'000;
  // Slots of the ring; the same for all users of a log, for its whole life.
  std::uint32_t ring_slots = 64;
  // Before a write, a log that had no answer for this long is read again; and
  // a write answered later than this is read back. See PurgeDelay().
  Duration verify_after = std::chrono::minutes(10);
  RetryBackoffOptions retry = {};
  // Asked for each pending record after records of others were absorbed, and
  // before it is written; `current` is the record of its key that stands in
  // the log or is pending before it, or null. On false the record is dropped.
  // Unset: every record stays wanted.
  std::function<bool(const LogRecord& pending, const LogRecord* current)>
      still_wanted = nullptr;
  // Asked when the slot of a standing record is about to be overwritten; on
  // false the record is dropped from the log (past its retention). Must never
  // refuse a record that is still needed. Unset: every record is kept.
  std::function<bool(const LogRecord& standing)> keep = nullptr;
};

enum class AppendOutcome {
  kCommitted,   // in the log, and every earlier batch was absorbed
  kFenced,      // another owns the log; not written
  kNotWritten,  // not written, and it never will be
  kUnknown,     // given up on while a write was under way
  kDropped,     // still_wanted said no; not written
};

const char* AppendOutcomeName(AppendOutcome outcome);

struct TicketOutcome {
  Ticket ticket = 0;
  AppendOutcome outcome = AppendOutcome::kUnknown;

  auto operator<=>(const TicketOutcome&) const = default;
};

// A call that the caller must make; its result goes to OnAnswer. The caller
// bounds the wait and then answers PlatformUnavailable.
struct LedgerCall {
  std::uint64_t call_id = 0;
  PlatformOperation operation;

  auto operator<=>(const LedgerCall&) const = default;
};

// What one step of a log asks for and tells.
struct LedgerProgress {
  std::vector<LedgerCall> calls;
  // Each ticket is here once.
  std::vector<TicketOutcome> finished;
  // What became of tickets that were kUnknown: kCommitted, kFenced,
  // kNotWritten or kDropped. A ticket may never be here.
  std::vector<TicketOutcome> settled_late;
  // Records of other writers, in log order, since the log was opened.
  std::vector<LogRecord> absorbed;
  bool opened = false;   // Open finished in this step
  bool adopted = false;  // Adopt finished in this step
  bool closed = false;   // the log was found or made closed in this step
  bool purged = false;   // Purge finished in this step
  // More batches passed than the ring holds; `absorbed` is incomplete and
  // records() has to be compared.
  bool missed_batches = false;
  bool fenced = false;    // in this step; the log is of no more use
  std::string fenced_by;  // the writer that owns the log now; empty if gone

  auto operator<=>(const LedgerProgress&) const = default;
};

// A pure state machine: no sockets and no clock. At most one call is under way
// at a time. After any step, and after Append, the caller calls OnTime when
// next_time() has come.
//
// The lists of a step are complete before the caller acts on any of them, so
// a hook never sees a log half way through a step of absorbing.
class SlotLog {
 public:
  // `budget` is shared with other logs and outlives this one.
  SlotLog(SlotLogOptions options, WriteBudget& budget);

  // Reads the log and replays it. An exclusive log is then only read until
  // Adopt. Retries until the platform answers.
  LedgerProgress Open(Time now);

  // Starts a log under a name that was never used, without reading.
  LedgerProgress Create(Time now);

  // Takes over an exclusive log that Open has read: appends an owner batch,
  // absorbing what the former owner still managed to write. A second adopter
  // that comes first fences this one.
  LedgerProgress Adopt(Time now);

  // Queues a record for the next commit. Allowed in any state: in a fenced or
  // closed log it is answered kFenced, before the log is open it waits.
  Ticket Append(LogRecord record, const AppendOptions& options, Time now);

  // Answers a ticket at once, as its caller's deadline has passed:
  // kNotWritten if no write with it can be under way, else kUnknown. Nothing
  // if it was answered before.
  LedgerProgress GiveUp(Ticket ticket, Time now);

  // Ends an exclusive log that this writer owns and in which nothing stands
  // or is pending; otherwise does nothing. Its slots stay until Purge.
  LedgerProgress Close(Time now);

  // Deletes the slots of a log that has been known as closed for PurgeDelay();
  // does nothing before that.
  LedgerProgress Purge(Time now);

  // The result of a call. Results of calls that are no longer awaited (late
  // or doubled) are ignored.
  LedgerProgress OnAnswer(std::uint64_t call_id,
                          const PlatformResult& result,
                          Time now);

  LedgerProgress OnTime(Time now);

  // When OnTime has something to do; kForever if it waits for an answer.
  Time next_time() const;

  bool is_open() const { return phase_ == Phase::kReady; }
  bool is_fenced() const { return phase_ == Phase::kFenced; }
  bool is_closed() const { return phase_ == Phase::kClosed; }
  // True when this writer may append.
  bool is_writable() const;
  // False from the first failed call until the next answer.
  bool is_reachable() const { return failures_ == 0; }
  // When the platform last answered a call of this log; 0 if never.
  Time last_contact() const { return last_contact_; }
  std::size_t pending_count() const;
  // The records that stand, by key.
  const std::map<std::string, LiveRecord>& records() const;
  const LogReplay& replay() const { return replay_; }
  const SlotLogOptions& options() const { return options_; }
  // What is wrong with the log's keys; empty if nothing. Needs an operator.
  const std::string& problem() const { return problem_; }
  std::uint64_t puts_sent() const { return puts_sent_; }
  std::uint64_t conflicts() const { return conflicts_; }

  // How long a closed log keeps its slots. A writer that was paused, or whose
  // write was delayed, finds its slot still taken; one that comes later still
  // notices by its own clock (verify_after, twice) that it must read first.
  Duration PurgeDelay() const;

 private:
  enum class Phase { kNew, kReading, kReady, kFenced, kClosed };
  enum class CallKind { kRange, kPut, kGet, kDelete };

  // The batch whose write is under way or not settled. Its text never
  // changes, so that whichever of its writes took effect is the same.
  struct OpenBatch {
    LogBatch batch;
    std::string text;
    Revision expect = 0;
    std::vector<PendingRecord> own;
    std::size_t own_bytes = 0;
    bool urgent = false;
    bool may_be_written = false;  // a write of it was not answered
  };

  struct CallUnderWay {
    std::uint64_t id = 0;
    CallKind kind = CallKind::kRange;
    Time sent{0};
  };

  // Sends what is due, if no call is under way.
  void Advance(Time now, LedgerProgress& out);
  void Send(CallKind kind,
            PlatformOperation operation,
            Time now,
            LedgerProgress& out);
  void SendPut(Time now, LedgerProgress& out);
  void SendDelete(Time now, LedgerProgress& out);
  bool TakeBudget(Time now);
  bool IsStale(Time now) const;
  bool IsUrgent() const;
  bool WantsBatch() const;
  Time BatchTime() const;
  void BuildBatch();
  std::vector<LogRecord> CarriedRecords() const;

  void OnUnreachable(const CallUnderWay& call,
                     const PlatformUnavailable& failure,
                     Time now,
                     LedgerProgress& out);
  void OnRange(const CallUnderWay& call,
               const PlatformResult& result,
               Time now,
               LedgerProgress& out);
  void OnPut(const CallUnderWay& call,
             const PlatformResult& result,
             Time now,
             LedgerProgress& out);
  void OnGet(const CallUnderWay& call,
             const PlatformResult& result,
             Time now,
             LedgerProgress& out);
  void OnSlot(const KvItem& item, Time now, LedgerProgress& out);
  void OnDelete(LedgerProgress& out);
  void OnConflict(Time now);
  void OnTooLarge(Time now, LedgerProgress& out);
  void OnDamage(const std::string& problem, Time now, LedgerProgress& out);
  void OnLoaded(LoadedLog loaded, Time now, LedgerProgress& out);
  void TakeOver(LoadedLog loaded, LedgerProgress& out);
  bool LostToOther(const LoadedLog& loaded) const;
  void ListForPurge(const std::vector<KvItem>& items, LedgerProgress& out);

  // Ends of the open batch: it is in the log; it is known not to be and never
  // will be; it cannot be found out.
  void FinishCommitted(Time now, LedgerProgress& out);
  void ReturnToPending(LedgerProgress& out);
  void FinishUnknown(LedgerProgress& out);
  void SettleAgainstReplay(Time now, LedgerProgress& out);

  void AbsorbForeign(const LogBatch& batch,
                     Revision revision,
                     Time now,
                     LedgerProgress& out);
  void ReportAbsorbed(const LogBatch& batch, LedgerProgress& out) const;
  void DropUnwanted(LedgerProgress& out);
  void RefuseUnreachable(LedgerProgress& out);
  void Fence(const std::string& by, LedgerProgress& out);
  void EnterClosed(Time now, LedgerProgress& out);
  void FailPending(AppendOutcome outcome, LedgerProgress& out);
  void RetryLater(Time now);
  LedgerProgress TakeDeferred();

  SlotLogOptions options_;
  WriteBudget* budget_;
  RetryBackoff backoff_;
  LogReplay replay_;
  Phase phase_ = Phase::kNew;
  bool owner_ = false;     // of an exclusive log
  bool adopting_ = false;  // the next batch is an owner batch
  bool closing_ = false;   // the next batch is the closed batch
  bool purging_ = false;
  bool must_read_ = false;  // a range read is due
  bool must_get_ = false;   // the open batch's slot has to be read back
  AppendQueue pending_;
  std::optional<OpenBatch> open_batch_;
  std::optional<CallUnderWay> call_;
  std::vector<TicketOutcome> deferred_;
  Time retry_at_{0};
  Time budget_at_{0};
  Time last_contact_{0};
  // The log was as replay_ says at this time or later.
  Time verified_at_{0};
  Time closed_since_{0};
  std::vector<KvDelete> to_delete_;  // from the back
  std::uint64_t failures_ = 0;
  std::uint64_t conflicts_in_row_ = 0;
  std::uint64_t next_call_ = 1;
  Ticket next_ticket_ = 1;
  std::uint64_t next_number_ = 1;
  std::uint64_t puts_sent_ = 0;
  std::uint64_t conflicts_ = 0;
  std::string problem_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_SLOT_LOG_H_
