// What a step's requests for advice have led to, for the log.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_HISTORY_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_HISTORY_H_

#include <compare>
#include <cstddef>
#include <cstdint>

namespace burdockrock::engine {

struct AdviceHistory {
  std::uint32_t asked = 0;    // requests that were sent
  std::uint32_t refused = 0;  // of these, declined, failed or without a reply
  // Replies after which tasks waited and no worker with a ticket had room.
  std::uint32_t room_gone = 0;
  // Among the steps of this instance that wait to send a request; 0: none of
  // them.
  std::size_t place = 0;

  auto operator<=>(const AdviceHistory&) const = default;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_HISTORY_H_
