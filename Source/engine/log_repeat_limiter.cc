#include "engine/log_repeat_limiter.h"

#include <algorithm>

namespace burdockrock::engine {

bool LogRepeatLimiter::IsDue(const std::string& key, Time now, Time since) {
  Entry& entry = entries_
                     .try_emplace(key, Entry{.next = since + kFirstDelay,
                                             .pause = kFirstDelay})
                     .first->second;
  entry.checked = true;
  if (now < entry.next || logged_ >= kMaxPerRound) {
    return false;
  }
  ++logged_;
  entry.next = now + entry.pause;
  entry.pause = std::min(2 * entry.pause, kMaxPause);
  return true;
}

void LogRepeatLimiter::EndRound() {
  std::erase_if(entries_, [](const auto& it) { return !it.second.checked; });
  for (auto& [key, it] : entries_) {
    it.checked = false;
  }
  logged_ = 0;
}

}  // namespace burdockrock::engine
