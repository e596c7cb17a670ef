#include "runtime/peer_channel.h"

#include <utility>

namespace burdockrock {

namespace {

// Removes the digests that a later one replaces. Returns their bytes.
std::size_t RemoveReplaced(std::deque<ChannelMessage>& messages,
                           DigestScope later) {
  if (later == DigestScope::kNoDigest) {
    return 0;
  }
  std::size_t bytes = 0;
  std::erase_if(messages, [&](const ChannelMessage& it) {
    const bool replaced =
        it.digest == DigestScope::kUnchanged ||
        (it.digest != DigestScope::kNoDigest && later == DigestScope::kWhole);
    bytes += replaced ? it.text.size() : 0;
    return replaced;
  });
  return bytes;
}

}  // namespace

PeerChannel::PeerChannel(PeerChannelOptions options)
    : options_(std::move(options)) {}

void PeerChannel::Add(ChannelMessage message) {
  waiting_bytes_ -= RemoveReplaced(waiting_, message.digest);
  waiting_bytes_ += message.text.size();
  waiting_.push_back(std::move(message));
  while (waiting_bytes_ > options_.max_waiting_bytes && waiting_.size() > 1) {
    waiting_bytes_ -= waiting_.front().text.size();
    options_.on_dropped(waiting_.front().kind);
    waiting_.pop_front();
  }
}

std::optional<ChannelBatch> PeerChannel::TakeBatch(Time now) {
  for (const ChannelMessage& it : waiting_) {
    RemoveReplaced(batch_, it.digest);
  }
  DropStale(batch_, now);
  for (const ChannelMessage& it : batch_) {
    options_.on_resent(it.kind);
  }
  if (batch_.empty()) {
    waiting_bytes_ -= DropStale(waiting_, now);
    FillBatch();
  }
  if (batch_.empty()) {
    return std::nullopt;
  }
  return ChannelBatch{.to = batch_.front().to,
                      .number = number_,
                      .messages = batch_.size(),
                      .body = BodyOfBatch()};
}

void PeerChannel::Acknowledge() {
  batch_.clear();
}

void PeerChannel::DropBatch() {
  for (const ChannelMessage& it : batch_) {
    options_.on_dropped(it.kind);
  }
  batch_.clear();
}

std::size_t PeerChannel::DropStale(std::deque<ChannelMessage>& messages,
                                   Time now) const {
  std::size_t bytes = 0;
  std::erase_if(messages, [&](const ChannelMessage& it) {
    const bool stale = now >= it.queued_at + it.useful_for;
    if (stale) {
      bytes += it.text.size();
      options_.on_dropped(it.kind);
    }
    return stale;
  });
  return bytes;
}

void PeerChannel::FillBatch() {
  number_ += waiting_.empty() ? 0 : 1;
  std::size_t bytes = 0;
  while (!waiting_.empty() && bytes < options_.max_batch_bytes &&
         (batch_.empty() || waiting_.front().to == batch_.front().to)) {
    bytes += waiting_.front().text.size();
    waiting_bytes_ -= waiting_.front().text.size();
    batch_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
}

std::string PeerChannel::BodyOfBatch() const {
  std::string body = "[";
  for (const ChannelMessage& it : batch_) {
    body += body.size() > 1 ? "," : "";
    body += it.text;
  }
  return body + "]";
}

}  // namespace burdockrock
