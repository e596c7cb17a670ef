// The timers of the reducer.
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
  kDigest,      // send digests and check which peers are alive
  kRenew,       // id: worker
  kClaim,       // id: worker
  kLeaseBound,  // id: worker; leases of a removed or unresponsive one lapse
  kProbe,       // id: worker in quarantine
  kRequestDeadline,  // id: request
  kLedger,           // id: log
  kWatch,            // watch the configuration and the list of instances
  kOrphanScan,       // look for journals without a writer
  kJournal,          // id: log; close or purge it if it is empty
  kForgetJob,        // id: job; drop it some time after its end
  kSearch,           // id: log; next round of an attempt search
  kOffers,           // repeat unanswered offers and updates
  kGang,             // id: job; the hold or the backoff ends
  kRetryTask,        // id: job; a failed task may be tried again
  kJobDeadline,      // id: job
  kSchedule,         // place waiting tasks
  kSweep,            // place tasks behind many that wait
  kDrain,            // check whether the drain is complete
};

struct Timer {
  Time at{0};
  std::uint64_t sequence = 0;  // orders timers with the same time
  TimerKind kind = TimerKind::kDigest;
  std::string id;

  auto operator<=>(const Timer&) const = default;
};

// A priority queue of timers. Timers are never cancelled: each handler checks
// whether its timer still applies.
class Timers {
 public:
  void Add(Time at, TimerKind kind, std::string id);

  // Removes and returns the earliest due timer; nullopt if none is due.
  std::optional<Timer> PopDue(Time now);

  // When the earliest timer is due; kForever if there is none.
  Time next() const;
  std::size_t size() const { return heap_.size(); }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> heap_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_TIMERS_H_
