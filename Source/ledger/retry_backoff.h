// Delays between attempts while the platform does not answer.
#ifndef BURDOCKROCK_LEDGER_RETRY_BACKOFF_H_
#define BURDOCKROCK_LEDGER_RETRY_BACKOFF_H_

#include <cstdint>

#include "model/time.h"

namespace burdockrock {

struct RetryBackoffOptions {
  Duration initial = std::chrono::milliseconds(50);
  Duration maximum = std::chrono::seconds(5);
  std::uint64_t seed = 1;  // of the jitter
};

// Exponential backoff. Each delay is drawn from the upper half of its step, so
// that writers which lost the platform together do not return together.
class RetryBackoff {
 public:
  explicit RetryBackoff(const RetryBackoffOptions& options);

  // The delay before the next attempt; each call doubles the step.
  Duration NextDelay();

  // A delay in [0, limit) that does not change the step.
  Duration Jitter(Duration limit);

  void Reset();

 private:
  std::uint64_t Random();

  RetryBackoffOptions options_;
  Duration step_;
  std::uint64_t state_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_RETRY_BACKOFF_H_
