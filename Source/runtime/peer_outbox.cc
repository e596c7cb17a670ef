#include "runtime/peer_outbox.h"

#include <algorithm>
#include <utility>

namespace burdockrock {

std::optional<QueuedMessage> PeerOutbox::Add(QueuedMessage message) {
  if (waiting_.size() >= options_.max_waiting && !DropOldestDigest()) {
    return message;
  }
  waiting_.push_back(std::move(message));
  return std::nullopt;
}

std::vector<QueuedMessage> PeerOutbox::TakeBatch() {
  std::vector<QueuedMessage> batch;
  std::size_t bytes = 0;
  while (!waiting_.empty() && batch.size() < options_.max_batch) {
    bytes += waiting_.front().text.size();
    if (!batch.empty() && bytes > options_.max_batch_bytes) {
      break;
    }
    batch.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  return batch;
}

bool PeerOutbox::DropOldestDigest() {
  const auto it =
      std::ranges::find_if(waiting_, [](const QueuedMessage& queued) {
        return std::holds_alternative<Digest>(queued.message);
      });
  if (it == waiting_.end()) {
    return false;
  }
  waiting_.erase(it);
  return true;
}

std::string JoinBatch(const std::vector<QueuedMessage>& batch) {
  std::string body = "[";
  for (const QueuedMessage& it : batch) {
    body += body.size() > 1 ? "," : "";
    body += it.text;
  }
  body += "]";
  return body;
}

}  // namespace burdockrock
