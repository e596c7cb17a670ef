// What a message to a member is about: its place in the order of sending, and
// which earlier messages it makes superfluous.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_MESSAGE_SUBJECT_H_
#define BURDOCKROCK_ENGINE_MEMBERS_MESSAGE_SUBJECT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "engine/members/peer_message.h"

namespace burdockrock::engine {

// Messages of an earlier class are sent before those of a later one. Within a
// class the order stays.
enum class MessageClass {
  kLeases,   // how long workers may go on
  kRuns,     // what runs, ends or is to start
  kReplies,  // what others wait for
  kQueries,  // repeated without a reply
  kDigests,  // repeated anyway, and requests for them
};
inline constexpr std::size_t kMessageClasses = 5;

struct MessageSubject {
  MessageClass order = MessageClass::kRuns;
  // Digests of what the message asks or tells, sorted. It replaces an earlier
  // message of its kind whose parts it all has; empty: it neither replaces a
  // message nor is replaced.
  std::vector<std::uint64_t> parts{};

  auto operator<=>(const MessageSubject&) const = default;
};

MessageSubject SubjectOf(const PeerMessage& message);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_MESSAGE_SUBJECT_H_
