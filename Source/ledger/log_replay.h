// The state that the batches of a log add up to.
#ifndef BURDOCKROCK_LEDGER_LOG_REPLAY_H_
#define BURDOCKROCK_LEDGER_LOG_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ledger/log_batch.h"
#include "model/platform.h"

namespace burdockrock {

// A record that stands, and the position of the batch that holds it.
struct LiveRecord {
  LogRecord record;
  LogPosition position = 0;

  auto operator<=>(const LiveRecord&) const = default;
};

// A log is a ring of slots: position P lives in slot P modulo `ring_slots`
// and overwrites position P - ring_slots. A batch carries what still stands
// of the batch that it overwrites; what it does not carry is dropped. So the
// state after a position is the same for a reader that saw every batch and
// for one that reads only the ring.
class LogReplay {
 public:
  explicit LogReplay(std::uint32_t ring_slots);

  // Applies the batch at next_position().
  void Apply(const LogBatch& batch, Revision revision);

  // Starts at `position`, as a reader that finds older slots overwritten.
  void StartAt(LogPosition position);

  LogPosition next_position() const { return next_position_; }
  std::uint64_t SlotOf(LogPosition position) const;

  // The revision of the slot that next_position() overwrites; 0 if unused.
  Revision ExpectedRevision() const;

  // What stands of the batch that next_position() overwrites, by key.
  std::vector<LogRecord> OverwrittenRecords() const;

  // True when the ring holds this batch: position, writer, number and records.
  // The records count too, because a process that starts a log anew under the
  // same name and writer counts its batches anew as well.
  bool Holds(const LogBatch& batch) const;

  // True when `position` was overwritten.
  bool IsOverwritten(LogPosition position) const;

  const std::map<std::string, LiveRecord>& records() const { return records_; }

  // The writer of the last batch; empty in an empty log.
  const std::string& last_writer() const { return last_writer_; }
  bool is_closed() const { return closed_; }
  std::size_t used_slots() const;
  std::size_t live_bytes() const { return live_bytes_; }
  std::size_t stored_bytes() const;

 private:
  struct Slot {
    bool used = false;
    LogPosition position = 0;
    Revision revision = 0;
    std::string writer;
    std::uint64_t number = 0;
    std::size_t digest = 0;  // of the records
    std::size_t bytes = 0;
    std::set<std::string> keys;  // that its batch sets
  };

  void DropOverwritten(const Slot& slot);
  void Set(const LogRecord& record, LogPosition position);
  void Erase(const std::string& key);

  std::vector<Slot> slots_;
  LogPosition next_position_ = 0;
  std::map<std::string, LiveRecord> records_;
  std::string last_writer_;
  bool closed_ = false;
  std::size_t live_bytes_ = 0;
};

// A log as read in one range.
struct LoadedLog {
  LogReplay replay;
  std::vector<LogBatch> batches;  // by position
};

// What is wrong with the keys of a log: a slot that does not parse, or one
// that is missing between others.
struct LogDamage {
  std::string problem;
  auto operator<=>(const LogDamage&) const = default;
};

// Replays what KvRange answered for LogPrefix(name).
std::variant<LoadedLog, LogDamage> LoadLog(std::string_view name,
                                           std::uint32_t ring_slots,
                                           const std::vector<KvItem>& items);

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_LOG_REPLAY_H_
