// The reducer's own agenda: what it wants to look at again, and when.
#ifndef BURDOCKROCK_SCHEDULER_TIMERS_H_
#define BURDOCKROCK_SCHEDULER_TIMERS_H_

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "model/time.h"

namespace burdockrock {

enum class TimerKind {
  kDigest,           // send digests, review who is alive
  kRenew,            // id: worker
  kClaim,            // id: worker
  kLeaseBound,       // id: worker; an uncertain or silent worker's lease ends
  kProbe,            // id: worker in quarantine
  kRequestDeadline,  // id: request
  kLedger,           // id: log
  kWatch,            // watch the configuration and the list of instances
  kOrphanScan,       // look for journals without a writer
  kJournal,          // id: log; close or purge it if it is empty
  kForgetJob,        // id: job; a finished one
  kSearch,           // id: log; next round of an attempt search
  kOffers,           // repeat unanswered offers and updates
  kGang,             // id: job; the hold or the backoff ends
  kRetryTask,        // id: job; a failed task may be tried again
  kJobDeadline,      // id: job
  kSchedule,         // place waiting tasks
  kDrain,            // see whether the planned stop is complete
};

struct Timer {
  Time at{0};
  std::uint64_t sequence = 0;  // keeps timers of one time in order
  TimerKind kind = TimerKind::kDigest;
  std::string id;

  auto operator<=>(const Timer&) const = default;
};

// Timers are never withdrawn: a handler finds out itself whether its timer
// still matters.
class Timers {
 public:
  void Add(Time at, TimerKind kind, std::string id);

  // The earliest timer that is due; nothing when none is.
  std::optional<Timer> PopDue(Time now);

  Time next() const;
  std::size_t size() const { return heap_.size(); }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> heap_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_TIMERS_H_
