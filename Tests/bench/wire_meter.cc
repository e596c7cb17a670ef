#include "bench/wire_meter.h"

#include <algorithm>
#include <variant>

#include "net/json.h"
#include "wire/peer_codec.h"
#include "wire/platform_codec.h"
#include "wire/worker_codec.h"

namespace burdockrock::bench {

namespace {

// A small answer: {"started":true}, {"revision":..} and the like.
constexpr std::uint64_t kSmallAnswer = 24;
constexpr std::size_t kIncarnationDigits = 16;
// "age_ms":1234567, in each report of a worker. The fake sends no ages, since
// nothing reads them, but the platform does; without them the figure of the
// renewals would be too low.
constexpr std::uint64_t kAgeBytes = 17;

std::uint64_t BytesOf(const HttpRequest& request) {
  return kHttpBytes + request.path.size() + request.body.size();
}

std::uint64_t BytesOfMessage(const std::string& entry,
                             const std::string& domain,
                             const PeerMessage& message) {
  const PeerSender sender{.from = entry,
                          .incarnation = std::string(kIncarnationDigits, '0'),
                          .domain = domain};
  return kHttpBytes + WriteJson(EncodePeerNotification(sender, message)).size();
}

// The answer as the worker would give it now. Nothing is changed by asking.
std::uint64_t AnswerBytes(EntryGroup& group,
                          const std::string& worker,
                          const RenewCommand& renew) {
  const standin::WorkerModel& model = group.worker(worker);
  const auto answer = model.AnswerRenew(renew);
  if (!answer) {
    return kHttpBytes;
  }
  const auto* done = std::get_if<RenewDone>(&*answer);
  const std::size_t reports = done == nullptr ? 0 : done->attempts.size();
  return kHttpBytes + reports * kAgeBytes +
         EncodeWorkerAnswer(WorkerCommandKind::kRenew, *answer,
                            model.in_force())
             .body.size();
}

std::uint64_t PeakOf(const std::map<std::int64_t, std::uint64_t>& by_second) {
  std::uint64_t peak = 0;
  for (const auto& [second, count] : by_second) {
    peak = std::max(peak, count);
  }
  return peak;
}

std::int64_t SecondOf(Time time) {
  return std::chrono::duration_cast<std::chrono::seconds>(time).count();
}

Flow Sum(const Flow& left, const Flow& right) {
  return {.messages = left.messages + right.messages,
          .bytes = left.bytes + right.bytes};
}

}  // namespace

std::uint64_t WireCounts::ControlBytes() const {
  return digests.bytes + digests_in.bytes + other_peer.bytes +
         other_peer_in.bytes + renewals.bytes + claims.bytes + platform.bytes;
}

std::uint64_t WireCounts::ControlMessages() const {
  return digests.messages + digests_in.messages + other_peer.messages +
         other_peer_in.messages + renewals.messages + claims.messages +
         platform.messages;
}

WireCounts& WireCounts::operator+=(const WireCounts& other) {
  digests = Sum(digests, other.digests);
  digests_in = Sum(digests_in, other.digests_in);
  other_peer = Sum(other_peer, other.other_peer);
  other_peer_in = Sum(other_peer_in, other.other_peer_in);
  forwards = Sum(forwards, other.forwards);
  forwards_in = Sum(forwards_in, other.forwards_in);
  renewals = Sum(renewals, other.renewals);
  claims = Sum(claims, other.claims);
  starts = Sum(starts, other.starts);
  platform = Sum(platform, other.platform);
  return *this;
}

WireMeter::WireMeter(EntryGroup& group)
    : group_(group), before_(group.on_effect) {
  for (const std::string& it : group.entries()) {
    counts_[it] = {};
  }
  group.on_effect = [this](const std::string& entry, const Effect& effect) {
    if (before_) {
      before_(entry, effect);
    }
    Note(entry, effect);
  };
}

WireMeter::~WireMeter() {
  group_.on_effect = before_;
}

void WireMeter::Note(const std::string& entry, const Effect& effect) {
  if (const auto* send = std::get_if<SendPeer>(&effect)) {
    NotePeer(entry, *send);
  } else if (const auto* worker = std::get_if<CallWorker>(&effect)) {
    NoteWorker(entry, *worker);
  } else if (const auto* platform = std::get_if<CallPlatform>(&effect)) {
    NotePlatform(entry, *platform);
  }
}

void WireMeter::NotePeer(const std::string& entry, const SendPeer& send) {
  ++peer_by_second_[SecondOf(group_.now())];
  const std::uint64_t bytes =
      BytesOfMessage(entry, group_.state(entry).self.domain, send.message);
  WireCounts& from = counts_[entry];
  WireCounts& to = counts_[send.peer];
  if (std::holds_alternative<Digest>(send.message)) {
    from.digests.Add(bytes);
    to.digests_in.Add(bytes);
  } else if (std::holds_alternative<ForwardRequest>(send.message) ||
             std::holds_alternative<ForwardAnswer>(send.message)) {
    from.forwards.Add(bytes);
    to.forwards_in.Add(bytes);
  } else {
    from.other_peer.Add(bytes);
    to.other_peer_in.Add(bytes);
  }
}

void WireMeter::NoteWorker(const std::string& entry, const CallWorker& call) {
  WireCounts& counts = counts_[entry];
  const std::uint64_t bytes = BytesOf(EncodeWorkerCommand(call.command));
  if (const auto* renew = std::get_if<RenewCommand>(&call.command)) {
    counts.renewals.Add(bytes + AnswerBytes(group_, call.worker, *renew));
  } else if (std::holds_alternative<ClaimCommand>(call.command)) {
    counts.claims.Add(bytes + kHttpBytes + kSmallAnswer);
  } else {
    counts.starts.Add(bytes + kHttpBytes + kSmallAnswer);
  }
}

void WireMeter::NotePlatform(const std::string& entry,
                             const CallPlatform& call) {
  ++platform_by_second_[SecondOf(group_.now())];
  counts_[entry].platform.Add(BytesOf(EncodePlatformOperation(call.operation)) +
                              kHttpBytes + kSmallAnswer);
}

WireCounts WireMeter::Total() const {
  WireCounts sum;
  for (const auto& [entry, it] : counts_) {
    sum += it;
  }
  return sum;
}

WireCounts WireMeter::Largest() const {
  WireCounts largest;
  for (const auto& [entry, it] : counts_) {
    if (it.ControlBytes() >= largest.ControlBytes()) {
      largest = it;
    }
  }
  return largest;
}

std::uint64_t WireMeter::PeakPlatformCalls() const {
  return PeakOf(platform_by_second_);
}

std::uint64_t WireMeter::PeakPeerMessages() const {
  return PeakOf(peer_by_second_);
}

}  // namespace burdockrock::bench
