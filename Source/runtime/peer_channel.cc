#include "runtime/peer_channel.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace burdockrock {

namespace {

bool IsDigestReplaced(DigestScope earlier, DigestScope later) {
  if (earlier == DigestScope::kNoDigest || later == DigestScope::kNoDigest) {
    return false;
  }
  return earlier == DigestScope::kUnchanged || later == DigestScope::kWhole;
}

bool MayReplace(const ChannelMessage& later) {
  return later.digest != DigestScope::kNoDigest || !later.subject.parts.empty();
}

bool IsReplaced(const ChannelMessage& earlier, const ChannelMessage& later) {
  if (IsDigestReplaced(earlier.digest, later.digest)) {
    return true;
  }
  const auto& parts = earlier.subject.parts;
  const auto& all = later.subject.parts;
  return !parts.empty() && parts.size() <= all.size() &&
         std::strcmp(earlier.kind, later.kind) == 0 && earlier.to == later.to &&
         std::ranges::includes(all, parts);
}

}  // namespace

PeerChannel::PeerChannel(PeerChannelOptions options)
    : options_(std::move(options)), batch_bytes_(options_.max_batch_bytes) {}

void PeerChannel::Add(ChannelMessage message) {
  Messages& messages =
      waiting_[static_cast<std::size_t>(message.subject.order)];
  RemoveReplaced(messages, message);
  waiting_bytes_ += message.text.size();
  ++waiting_messages_;
  messages.push_back(std::move(message));
  while (waiting_bytes_ > options_.max_waiting_bytes && waiting_messages_ > 1) {
    DropOldest();
  }
}

std::optional<ChannelBatch> PeerChannel::TakeBatch(Time now) {
  for (const Messages& messages : waiting_) {
    for (const ChannelMessage& it : messages) {
      RemoveReplaced(batch_, it);
    }
  }
  if (!HasMessages(now)) {
    return std::nullopt;
  }
  if (batch_.empty()) {
    FillBatch();
  } else {
    for (const ChannelMessage& it : batch_) {
      options_.on_resent(it.kind);
    }
  }
  return ChannelBatch{.to = batch_.front().to,
                      .number = number_,
                      .messages = batch_.size(),
                      .body = BodyOfBatch()};
}

void PeerChannel::Acknowledge() {
  batch_.clear();
  batch_bytes_ = std::min(2 * batch_bytes_, options_.max_batch_bytes);
}

void PeerChannel::DropBatch() {
  for (const ChannelMessage& it : batch_) {
    options_.on_dropped(it.kind);
  }
  batch_.clear();
}

void PeerChannel::NoteFailure() {
  batch_bytes_ = std::min(options_.min_batch_bytes, options_.max_batch_bytes);
}

bool PeerChannel::HasMessages(Time now) {
  DropStale(batch_, now);
  for (Messages& messages : waiting_) {
    DropStale(messages, now);
  }
  return !batch_.empty() || waiting_messages_ > 0;
}

void PeerChannel::Remove(
    Messages& messages,
    const std::function<bool(const ChannelMessage&)>& condition,
    const std::function<void(const char*)>& on_removed) {
  std::erase_if(messages, [&](const ChannelMessage& it) {
    if (!condition(it)) {
      return false;
    }
    on_removed(it.kind);
    if (&messages != &batch_) {
      waiting_bytes_ -= it.text.size();
      --waiting_messages_;
    }
    return true;
  });
}

void PeerChannel::RemoveReplaced(Messages& messages,
                                 const ChannelMessage& later) {
  if (MayReplace(later)) {
    Remove(
        messages,
        [&](const ChannelMessage& it) { return IsReplaced(it, later); },
        options_.on_replaced);
  }
}

void PeerChannel::DropStale(Messages& messages, Time now) {
  Remove(
      messages,
      [&](const ChannelMessage& it) {
        return now >= it.queued_at + it.useful_for;
      },
      options_.on_dropped);
}

void PeerChannel::DropOldest() {
  const auto last =
      std::find_if(waiting_.rbegin(), waiting_.rend(),
                   [](const Messages& it) { return !it.empty(); });
  options_.on_dropped(last->front().kind);
  waiting_bytes_ -= last->front().text.size();
  --waiting_messages_;
  last->pop_front();
}

void PeerChannel::FillBatch() {
  ++number_;
  std::size_t bytes = 0;
  for (Messages& messages : waiting_) {
    while (!messages.empty() && bytes < batch_bytes_ &&
           (batch_.empty() || messages.front().to == batch_.front().to)) {
      bytes += messages.front().text.size();
      waiting_bytes_ -= messages.front().text.size();
      --waiting_messages_;
      batch_.push_back(std::move(messages.front()));
      messages.pop_front();
    }
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
