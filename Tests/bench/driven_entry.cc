#include "bench/driven_entry.h"

#include <malloc.h>

#include <chrono>
#include <stdexcept>
#include <utility>
#include <variant>

#include <fmt/format.h>

namespace burdockrock::bench {

namespace {

constexpr char kPeer[] = "d0-peer";
constexpr char kPeerIncarnation[] = "7";
constexpr Duration kBetweenEvents = std::chrono::microseconds(10);

const CallWorker* FindCall(const Effects& effects) {
  for (const Effect& it : effects) {
    if (const auto* call = std::get_if<CallWorker>(&it)) {
      return call;
    }
  }
  return nullptr;
}

double HeapInUse() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace

DrivenEntry::DrivenEntry(EntryGroup& group)
    : state_(group.state("d0-e0")), now_(group.now()) {}

Effects DrivenEntry::Step(EventBody body, Sample& took) {
  now_ += kBetweenEvents;
  const Event event{.now = now_, .body = std::move(body)};
  const auto start = std::chrono::steady_clock::now();
  Effects effects = burdockrock::Step(state_, event);
  const std::chrono::duration<double, std::micro> span =
      std::chrono::steady_clock::now() - start;
  took.Add(span.count());
  return effects;
}

void DrivenEntry::Arrive(Sample& took) {
  const Effects effects =
      Step(RequestArrived{.reply = next_reply_++,
                          .request = {.service = "desk",
                                      .deadline = std::chrono::seconds(60),
                                      .payload = "answer=ok;sleep_ms=80"}},
           took);
  if (const CallWorker* call = FindCall(effects)) {
    runs_.push_back(call->call);
  }
}

void DrivenEntry::EndOne(Sample& took) {
  const std::size_t at = random_() % runs_.size();
  const CallId call = runs_[at];
  runs_[at] = runs_.back();
  runs_.pop_back();
  Step(WorkerAnswered{.call = call, .result = RunEnded{.answer = "ok"}}, took);
}

void DrivenEntry::Offer(const Resources& resources, Sample& took) {
  ++next_offer_;
  const TaskOffer offer{
      .sequence = next_offer_,
      .to_incarnation = state_.self.incarnation,
      .generation = 1,
      .attempt = {.job = fmt::format("{}.{}-{}", kPeer, kPeerIncarnation,
                                     next_offer_),
                  .task = 0,
                  .number = next_offer_},
      .resources = resources,
      .payload = "answer=ok;sleep_ms=80"};
  const Effects effects =
      Step(PeerMessageReceived{.from = kPeer,
                               .incarnation = kPeerIncarnation,
                               .domain = "d0",
                               .message = offer},
           took);
  const CallWorker* call = FindCall(effects);
  if (call == nullptr) {
    throw std::runtime_error("an offer was not started");
  }
  Sample unused;
  Step(WorkerAnswered{.call = call->call, .result = StartDone{}}, unused);
}

void DrivenEntry::ReceiveDigest(const std::string& from, Sample& took) {
  const Peer& peer = state_.membership.peers.at(from);
  Digest digest = peer.digest;
  digest.sequence = ++next_digest_;
  Step(PeerMessageReceived{.from = from,
                           .incarnation = peer.incarnation,
                           .domain = peer.domain,
                           .message = std::move(digest)},
       took);
}

void DrivenEntry::AnswerRenewal(Sample& took) {
  auto& workers = state_.ownership.workers;
  auto it = workers.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random_() % workers.size()));
  RenewDone done{.version = it->second.version};
  for (const auto& [attempt, booking] : it->second.bookings) {
    done.attempts.push_back(
        {.attempt = attempt, .resources = booking.resources});
  }
  Step(WorkerAnswered{.call = it->second.poll, .result = std::move(done)},
       took);
  // The next renewal goes out by a timer, which is due at once.
  Sample unused;
  Step(TimerFired{}, unused);
}

double HeapBytesOf(State& state) {
  const double before = HeapInUse();
  { const State gone = std::move(state); }
  return before - HeapInUse();
}

}  // namespace burdockrock::bench
