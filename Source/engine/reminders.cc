#include "engine/reminders.h"

#include <algorithm>

namespace burdockrock::engine {

bool Reminders::IsDue(const std::string& key, Time now, Time since) {
  Entry& entry =
      entries_.try_emplace(key, Entry{.next = since + kFirst, .pause = kFirst})
          .first->second;
  entry.asked = true;
  if (now < entry.next || told_ >= kPerRound) {
    return false;
  }
  ++told_;
  entry.next = now + entry.pause;
  entry.pause = std::min(2 * entry.pause, kLongest);
  return true;
}

void Reminders::EndRound() {
  std::erase_if(entries_, [](const auto& it) { return !it.second.asked; });
  for (auto& [key, it] : entries_) {
    it.asked = false;
  }
  told_ = 0;
}

}  // namespace burdockrock::engine
