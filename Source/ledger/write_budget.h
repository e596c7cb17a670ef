// Keeps the writes of one process to the platform below a rate.
#ifndef BURDOCKROCK_LEDGER_WRITE_BUDGET_H_
#define BURDOCKROCK_LEDGER_WRITE_BUDGET_H_

#include "model/time.h"

namespace burdockrock {

struct WriteBudgetOptions {
  double writes_per_second = 20;
  double burst = 10;
  // Tokens that only urgent writes may use, so that a backlog of ordinary
  // commits never delays an urgent one by a whole refill.
  double urgent_reserve = 2;
};

// A token bucket that all logs of a process share.
class WriteBudget {
 public:
  explicit WriteBudget(const WriteBudgetOptions& options);

  // Takes one write if the budget allows it now.
  bool TryTake(bool urgent, Time now);

  // The earliest time at which TryTake can succeed if nobody else takes.
  Time NextTime(bool urgent, Time now) const;

 private:
  double TokensAt(Time now) const;
  double Needed(bool urgent) const;

  WriteBudgetOptions options_;
  double tokens_;
  Time updated_{0};
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_WRITE_BUDGET_H_
