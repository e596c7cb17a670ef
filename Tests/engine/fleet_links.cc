// Messages between instances of the fleet in batches, with the rules of
// runtime/engine_peers.cc.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "engine/fleet.h"
#include "engine/limits.h"
#include "engine/members/message_subject.h"
#include "engine/members/peer_codec.h"

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;

constexpr Duration kLatency = milliseconds(1);  // one-way
constexpr Duration kRequestTimeout = milliseconds(1000);
constexpr Duration kFirstPause = milliseconds(50);
constexpr Duration kLongestPause = milliseconds(1600);
constexpr Duration kLongestPauseIfHeard = milliseconds(400);
constexpr int kFailuresBeforeProbe = 2;
constexpr std::uint64_t kProbeNumber = 0;
constexpr Duration kStateUsefulFor = kRequestTimeout + milliseconds(250);
constexpr Duration kAdviceUsefulFor = milliseconds(500);
// Between two looks at whether a cut has ended.
constexpr Duration kCutCheckInterval = milliseconds(20);

Duration UsefulFor(const PeerMessage& message) {
  if (std::holds_alternative<PeerAdviceRequest>(message) ||
      std::holds_alternative<AdviceReply>(message)) {
    return kAdviceUsefulFor;
  }
  const bool tells_state = std::holds_alternative<RoomDigest>(message) ||
                           std::holds_alternative<RelayedDigests>(message) ||
                           std::holds_alternative<DigestRequest>(message) ||
                           std::holds_alternative<JobQuery>(message) ||
                           std::holds_alternative<JobReply>(message);
  return tells_state ? kStateUsefulFor : kBookingTimeout;
}

DigestScope ScopeOf(const PeerMessage& message) {
  const auto* digest = std::get_if<RoomDigest>(&message);
  if (digest == nullptr) {
    return DigestScope::kNoDigest;
  }
  if (digest->whole) {
    return DigestScope::kWhole;
  }
  return digest->workers.empty() && digest->waiting.empty()
             ? DigestScope::kUnchanged
             : DigestScope::kChanges;
}

// The numbers that the batch has in place of messages: "[3,4]".
std::vector<std::size_t> NumbersIn(const std::string& body) {
  std::vector<std::size_t> numbers;
  for (std::size_t at = 1; at < body.size();) {
    const std::size_t end = body.find_first_of(",]", at);
    numbers.push_back(std::stoul(body.substr(at, end - at)));
    at = end + 1;
  }
  return numbers;
}

}  // namespace

Fleet::Link& Fleet::LinkTo(const std::string& node,
                           const std::string& address) {
  auto& links = nodes_.at(node).links;
  const auto found = links.find(address);
  if (found != links.end()) {
    return found->second;
  }
  PeerChannelOptions options;
  options.on_dropped = [this](const char* kind) { on_dropped(kind); };
  options.on_resent = [this](const char* kind) { on_resent(kind); };
  return links
      .try_emplace(address, Link{.channel = PeerChannel(std::move(options))})
      .first->second;
}

void Fleet::AddToLink(const std::string& node, const SendPeer& send) {
  Link& link = LinkTo(node, send.address);
  link.channel.Add({.to = send.to,
                    .kind = PeerMethods()[send.message.index()],
                    .text = std::to_string(link_messages_.size()),
                    .digest = ScopeOf(send.message),
                    .subject = SubjectOf(send.message),
                    .queued_at = now_,
                    .useful_for = UsefulFor(send.message)});
  link_messages_.push_back(send.message);
  if (std::exchange(link.to, send.to) != send.to) {
    link.failures = 0;
    link.pause = Duration(0);
    link.retry_at = now_;
  }
  if (!link.in_flight) {
    FlushAt(node, send.address, std::max(now_, link.retry_at));
  }
}

void Fleet::FlushAt(const std::string& node,
                    const std::string& address,
                    Time at) {
  Link& link = LinkTo(node, address);
  link.in_flight = true;
  At(at, [this, node, incarnation = nodes_.at(node).incarnation, address,
          flush = ++link.flush] {
    if (nodes_.at(node).incarnation == incarnation &&
        LinkTo(node, address).flush == flush) {
      Flush(node, incarnation, address);
    }
  });
}

void Fleet::NoteHeard(const std::string& node, const std::string& from) {
  for (auto& [address, link] : nodes_.at(node).links) {
    const Time retry_at = link.failed_at + kLongestPauseIfHeard;
    if (link.to == from && link.retry_at > std::max(now_, retry_at)) {
      link.pause = std::min(link.pause, kLongestPauseIfHeard);
      link.retry_at = retry_at;
      FlushAt(node, address, std::max(now_, retry_at));
    }
  }
}

void Fleet::Flush(const std::string& node,
                  std::uint64_t incarnation,
                  const std::string& address) {
  const Node& from = nodes_.at(node);
  if (from.incarnation != incarnation || !from.state) {
    return;
  }
  Link& link = LinkTo(node, address);
  if (!link.channel.HasMessages(now_)) {
    link.in_flight = false;
    return;
  }
  link.probing = link.failures >= kFailuresBeforeProbe;
  std::optional<ChannelBatch> batch;
  if (link.probing) {
    batch = {.to = link.to, .number = kProbeNumber, .body = "[]"};
  } else {
    batch = link.channel.TakeBatch(now_);
  }
  if (!batch) {
    link.in_flight = false;
    return;
  }
  const auto answer = [this, node, incarnation, address,
                       request = ++link.request](BatchResult it) {
    EndRequest(node, incarnation, address, request, it);
  };
  At(now_ + kRequestTimeout, [answer] { answer(BatchResult::kFailed); });
  const auto answer_later = [this, node, address, answer](BatchResult it) {
    if (!is_cut(address, node)) {
      At(now_ + kLatency, [answer, it] { answer(it); });
    }
  };
  const auto deliver = [this, sender = from.state->options.self.incarnation,
                        address, batch = *std::move(batch), answer_later] {
    TakeBatch(sender, address, batch, answer_later);
  };
  if (is_cut(node, address)) {
    return DeliverAfterCut(node, address, deliver);
  }
  At(now_ + kLatency, deliver);
}

void Fleet::DeliverAfterCut(const std::string& from,
                            const std::string& to,
                            std::function<void()> deliver) {
  if (options_.held_after_cut == kForever) {
    return;
  }
  if (!is_cut(from, to)) {
    return At(now_ + options_.held_after_cut, std::move(deliver));
  }
  At(now_ + kCutCheckInterval, [this, from, to, deliver = std::move(deliver)] {
    DeliverAfterCut(from, to, deliver);
  });
}

void Fleet::EndRequest(const std::string& node,
                       std::uint64_t incarnation,
                       const std::string& address,
                       std::uint64_t request,
                       BatchResult result) {
  const Node& from = nodes_.at(node);
  if (from.incarnation != incarnation || !from.state) {
    return;
  }
  Link& link = LinkTo(node, address);
  if (link.request != request) {
    return;
  }
  ++link.request;  // a later result of the same request does not count
  if (result == BatchResult::kFailed) {
    ++link.failures;
    link.channel.NoteFailure();
    link.pause = std::clamp(2 * link.pause, kFirstPause, kLongestPause);
    link.failed_at = now_;
    link.retry_at = now_ + link.pause;
    return FlushAt(node, address, link.retry_at);
  }
  if (link.probing) {
    link.failures = kFailuresBeforeProbe - 1;
  } else {
    if (result == BatchResult::kRefused) {
      link.channel.DropBatch();
    }
    link.failures = 0;
    link.pause = Duration(0);
    link.channel.Acknowledge();
  }
  Flush(node, incarnation, address);
}

void Fleet::TakeBatch(const std::string& sender,
                      const std::string& address,
                      const ChannelBatch& batch,
                      std::function<void(BatchResult)> answer) {
  Node& to = nodes_.at(address);
  if (!to.state) {
    return answer(BatchResult::kFailed);
  }
  if (to.state->options.self.incarnation != batch.to) {
    return answer(BatchResult::kRefused);
  }
  std::vector<Arrival> arrivals;
  NoteHeard(address, sender);
  std::uint64_t& taken = to.taken[sender];
  if (batch.number > taken) {
    taken = batch.number;
    for (const std::size_t it : NumbersIn(batch.body)) {
      arrivals.push_back({.body = PeerMessageReceived{
                              .from = sender, .message = link_messages_[it]}});
    }
  } else {
    arrivals.emplace_back();
  }
  arrivals.back().on_handled = [answer = std::move(answer)] {
    answer(BatchResult::kTaken);
  };
  for (Arrival& it : arrivals) {
    it.at = now_;
    Deliver(address, to.incarnation, std::move(it));
  }
}

}  // namespace burdockrock::engine
