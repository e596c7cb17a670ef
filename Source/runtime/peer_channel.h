// Keeps the messages to one peer until the peer has acknowledged them.
#ifndef BURDOCKROCK_RUNTIME_PEER_CHANNEL_H_
#define BURDOCKROCK_RUNTIME_PEER_CHANNEL_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "engine/members/message_subject.h"
#include "model/time.h"

namespace burdockrock {

// What a message tells of the sender's state. A later digest replaces one
// without changes, and a whole one replaces all before it.
enum class DigestScope { kNoDigest, kUnchanged, kChanges, kWhole };

struct ChannelMessage {
  std::string to{};       // an incarnation
  const char* kind = "";  // of engine::PeerMethods()
  std::string text{};     // a notification
  DigestScope digest = DigestScope::kNoDigest;
  engine::MessageSubject subject{};
  Time queued_at{0};
  Duration useful_for{0};  // it is not sent later than that

  auto operator<=>(const ChannelMessage&) const = default;
};

// A batch keeps its number when it is sent again, so that a peer that has taken
// it knows it. It may have lost messages since, but gets no other ones.
struct ChannelBatch {
  std::string to{};  // the incarnation that all of its messages are for
  std::uint64_t number = 0;
  std::size_t messages = 0;
  std::string body{};

  auto operator<=>(const ChannelBatch&) const = default;
};

struct PeerChannelOptions {
  std::size_t max_waiting_bytes = 1'048'576;
  std::size_t max_batch_bytes = 262'144;
  // Of the first batch after a failure. Each batch that is acknowledged doubles
  // the bound for the next one.
  std::size_t min_batch_bytes = 4096;
  // Called with the kind of each message that is given up undelivered, of each
  // that is sent again, and of each that a later one replaces.
  std::function<void(const char*)> on_dropped = [](const char*) {};
  std::function<void(const char*)> on_resent = [](const char*) {};
  std::function<void(const char*)> on_replaced = [](const char*) {};
};

class PeerChannel {
 public:
  explicit PeerChannel(PeerChannelOptions options);

  // Removes the waiting messages that this one replaces. Beyond the bound it
  // drops the oldest messages of the last class that has any.
  void Add(ChannelMessage message);

  // The batch that failed, or else the next one, which begins with the first
  // class; none when there is nothing to send. Only after the batch before was
  // acknowledged or failed.
  std::optional<ChannelBatch> TakeBatch(Time now);
  // The peer has taken the last batch.
  void Acknowledge();
  // The peer will never take it.
  void DropBatch();
  // The peer did not answer in time. The next batches are small.
  void NoteFailure();
  // Whether a message is left that is of use to the peer.
  bool HasMessages(Time now);

 private:
  using Messages = std::deque<ChannelMessage>;

  void Remove(Messages& messages,
              const std::function<bool(const ChannelMessage&)>& condition,
              const std::function<void(const char*)>& on_removed);
  void RemoveReplaced(Messages& messages, const ChannelMessage& later);
  // Drops what is of no use to the peer any more.
  void DropStale(Messages& messages, Time now);
  void DropOldest();
  void FillBatch();
  std::string BodyOfBatch() const;

  PeerChannelOptions options_;
  std::array<Messages, engine::kMessageClasses> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::size_t waiting_messages_ = 0;
  Messages batch_;               // the last one, until acknowledged
  std::uint64_t number_ = 0;     // of the last batch
  std::size_t batch_bytes_ = 0;  // bound for the next batch
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PEER_CHANNEL_H_
