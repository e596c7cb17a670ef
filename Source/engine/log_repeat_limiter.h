// Limits how often a lasting condition is logged.
#ifndef BURDOCKROCK_ENGINE_LOG_REPEAT_LIMITER_H_
#define BURDOCKROCK_ENGINE_LOG_REPEAT_LIMITER_H_

#include <cstddef>
#include <map>
#include <string>

#include "model/time.h"

namespace burdockrock::engine {

// In each round the caller checks every condition that lasts. A line about one
// is due when it has lasted for kFirstDelay, and again after pauses that double
// up to kMaxPause.
class LogRepeatLimiter {
 public:
  // Long enough that two lost commands or queries in a row are not logged.
  static constexpr Duration kFirstDelay = std::chrono::milliseconds(1000);
  static constexpr Duration kMaxPause = std::chrono::milliseconds(8000);
  // Keeps the log short when a failure domain is lost and hundreds of
  // conditions last at the same time.
  static constexpr std::size_t kMaxPerRound = 4;

  // Whether a line about the condition `key`, which has lasted since `since`,
  // is due.
  bool IsDue(const std::string& key, Time now, Time since);

  // Ends the round and removes the conditions that it did not check, which are
  // over.
  void EndRound();

 private:
  struct Entry {
    Time next{0};
    Duration pause{0};
    bool checked = true;
  };

  std::map<std::string, Entry> entries_;
  std::size_t logged_ = 0;  // lines in this round
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_LOG_REPEAT_LIMITER_H_
