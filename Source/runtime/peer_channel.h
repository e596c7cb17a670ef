// Keeps the messages to one peer until the peer has acknowledged them.
#ifndef BURDOCKROCK_RUNTIME_PEER_CHANNEL_H_
#define BURDOCKROCK_RUNTIME_PEER_CHANNEL_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

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
  // Called with the kind of each message that is given up undelivered, and of
  // each that is sent again.
  std::function<void(const char*)> on_dropped = [](const char*) {};
  std::function<void(const char*)> on_resent = [](const char*) {};
};

class PeerChannel {
 public:
  explicit PeerChannel(PeerChannelOptions options);

  // Drops the oldest messages beyond the bound.
  void Add(ChannelMessage message);

  // The batch that failed, or else the next one; none when there is nothing to
  // send. Only after the batch before was acknowledged or failed.
  std::optional<ChannelBatch> TakeBatch(Time now);
  // The peer has taken the last batch.
  void Acknowledge();
  // The peer will never take it.
  void DropBatch();

 private:
  // Drops what is of no use to the peer any more. Returns its bytes.
  std::size_t DropStale(std::deque<ChannelMessage>& messages, Time now) const;
  void FillBatch();
  std::string BodyOfBatch() const;

  PeerChannelOptions options_;
  std::deque<ChannelMessage> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::deque<ChannelMessage> batch_;  // the last one, until acknowledged
  std::uint64_t number_ = 0;          // of the last batch
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PEER_CHANNEL_H_
