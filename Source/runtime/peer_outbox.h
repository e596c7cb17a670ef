// The messages to one peer that wait to be sent.
#ifndef BURDOCKROCK_RUNTIME_PEER_OUTBOX_H_
#define BURDOCKROCK_RUNTIME_PEER_OUTBOX_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "model/peer_message.h"

namespace burdockrock {

struct PeerOutboxOptions {
  std::size_t max_waiting = 10'000;
  std::size_t max_batch = 256;
  std::size_t max_batch_bytes = 1'048'576;
};

struct QueuedMessage {
  PeerMessage message;
  std::string text;  // its JSON-RPC notification
};

// Bounded: while a peer does not answer, messages would pile up without end.
class PeerOutbox {
 public:
  explicit PeerOutbox(PeerOutboxOptions options = {}) : options_(options) {}

  // When full, drops the oldest digest, which the next one replaces anyway; if
  // there is none, gives back `message`, which is not sent.
  std::optional<QueuedMessage> Add(QueuedMessage message);

  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }

  // Takes the next messages in order, at least one if there are any.
  std::vector<QueuedMessage> TakeBatch();

 private:
  bool DropOldestDigest();

  PeerOutboxOptions options_;
  std::deque<QueuedMessage> waiting_;
};

// The body of one HTTP request: a JSON-RPC batch.
std::string JoinBatch(const std::vector<QueuedMessage>& batch);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_PEER_OUTBOX_H_
