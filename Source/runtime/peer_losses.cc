#include "runtime/peer_losses.h"

#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace burdockrock {

namespace {

// Between two lines about the same peer.
constexpr Duration kLineInterval = std::chrono::seconds(10);

// "job_query:3,run_reports:1"
std::string ToText(const PeerLosses::Counts& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : ",", name, count);
  }
  return text;
}

}  // namespace

const char* PeerFailureName(PeerFailure failure) {
  switch (failure) {
    case PeerFailure::kNotConnected:
      return "not_connected";
    case PeerFailure::kBroken:
      return "broken";
    case PeerFailure::kNoAnswer:
      return "no_answer";
    case PeerFailure::kRefused:
      return "refused";
  }
  return "refused";
}

PeerLosses::PeerLosses(std::function<void(const LogLine&)> log)
    : log_(std::move(log)) {}

void PeerLosses::NoteFailedBatch(const std::string& address,
                                 PeerFailure failure) {
  const char* cause = PeerFailureName(failure);
  ++failed_batches_[cause];
  ++unlogged_[address].failed_batches[cause];
}

void PeerLosses::NoteDropped(const std::string& address, const char* kind) {
  ++dropped_[kind];
  ++unlogged_[address].dropped[kind];
}

void PeerLosses::WriteLines(Time now) {
  for (auto it = unlogged_.begin(); it != unlogged_.end();) {
    auto& [address, peer] = *it;
    if (now >= peer.next_line && peer.dropped.empty()) {
      it = unlogged_.erase(it);
      continue;
    }
    if (now >= peer.next_line) {
      log_({.number = EventNumber::kPeerMessagesLost,
            .fields = {{"remote", address},
                       {"lost", ToText(peer.dropped)},
                       {"failed_batches", ToText(peer.failed_batches)}}});
      peer = {.next_line = now + kLineInterval};
    }
    ++it;
  }
}

}  // namespace burdockrock
