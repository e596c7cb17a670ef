// The records of a log that wait for a commit.
#ifndef BURDOCKROCK_LEDGER_APPEND_QUEUE_H_
#define BURDOCKROCK_LEDGER_APPEND_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "ledger/log_batch.h"
#include "model/time.h"

namespace burdockrock {

// Names one Append of one SlotLog.
using Ticket = std::uint64_t;

struct AppendOptions {
  // Commits at once, if the budget allows it, instead of after
  // commit_interval.
  bool urgent = false;
  // Answers kNotWritten as soon as the platform is found unreachable, unless a
  // write of the record may be under way. Otherwise the record is retried
  // until GiveUp.
  bool refuse_when_unreachable = false;

  auto operator<=>(const AppendOptions&) const = default;
};

struct PendingRecord {
  Ticket ticket = 0;
  LogRecord record;
  AppendOptions options = {};
  Time since{0};
  std::size_t bytes = 0;  // EncodedBytes(record)
  bool given_up = false;  // its caller was answered kUnknown

  auto operator<=>(const PendingRecord&) const = default;
};

// First in, first out.
class AppendQueue {
 public:
  void Push(PendingRecord pending);

  // Puts records that were taken back at the front, in their order.
  void PutBack(std::vector<PendingRecord> taken);

  // Takes from the front while the sum of bytes stays within `max_bytes`.
  std::vector<PendingRecord> Take(std::size_t max_bytes);

  std::optional<PendingRecord> Remove(Ticket ticket);

  // Removes and returns those for which `selected` is true. It is asked for
  // each in order, before any is moved.
  std::vector<PendingRecord> RemoveIf(
      const std::function<bool(const PendingRecord&)>& selected);

  bool empty() const { return records_.empty(); }
  std::size_t size() const { return records_.size(); }
  std::size_t bytes() const { return bytes_; }
  bool has_urgent() const { return urgent_count_ > 0; }

  // When the first in the queue was appended.
  Time oldest() const { return records_.front().since; }

 private:
  void Count(const PendingRecord& pending);
  void Discount(const PendingRecord& pending);

  std::deque<PendingRecord> records_;
  std::size_t bytes_ = 0;
  std::size_t urgent_count_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_APPEND_QUEUE_H_
