#include "scheduler/context.h"

#include <utility>

#include <xxhash.h>

namespace burdockrock {

void Context::Log(EventNumber number, std::vector<LogField> fields) {
  effects_.emplace_back(
      WriteLog{.line = {.number = number, .fields = std::move(fields)}});
}

void Context::Answer(ReplyId reply, CallerAnswer answer) {
  if (reply != 0) {
    effects_.emplace_back(
        AnswerCaller{.reply = reply, .answer = std::move(answer)});
  }
}

void Context::Send(const std::string& peer, PeerMessage message) {
  const auto it = state_.membership.peers.find(peer);
  if (it == state_.membership.peers.end() || it->second.address.empty()) {
    return;
  }
  effects_.emplace_back(SendPeer{.peer = peer,
                                 .address = it->second.address,
                                 .message = std::move(message)});
}

CallId Context::CallPlatform(PlatformOperation operation,
                             Duration timeout,
                             PlatformPurpose purpose) {
  const CallId call = state_.calls.next++;
  state_.calls.platform.emplace(call, std::move(purpose));
  ++state_.counters.platform_calls;
  effects_.emplace_back(burdockrock::CallPlatform{
      .call = call, .operation = std::move(operation), .timeout = timeout});
  return call;
}

CallId Context::CallWorker(const std::string& worker,
                           const std::string& address,
                           WorkerCommand command,
                           Duration timeout,
                           WorkerPurpose purpose) {
  const CallId call = state_.calls.next++;
  state_.calls.workers.emplace(call, std::move(purpose));
  effects_.emplace_back(burdockrock::CallWorker{.call = call,
                                                .worker = worker,
                                                .address = address,
                                                .command = std::move(command),
                                                .timeout = timeout});
  return call;
}

void Context::ScheduleAt(Time at, TimerKind kind, std::string id) {
  state_.timers.Add(at, kind, std::move(id));
}

void Context::ScheduleAfter(Duration wait, TimerKind kind, std::string id) {
  ScheduleAt(now_ + wait, kind, std::move(id));
}

double Context::Random() {
  return std::uniform_real_distribution<double>(0, 1)(state_.random);
}

Duration Context::Jitter(Duration duration) {
  const double factor = 0.5 + Random() / 2;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

std::uint64_t StableHash(std::string_view first, std::string_view second) {
  const std::uint64_t seed = XXH3_64bits(first.data(), first.size());
  return XXH3_64bits_withSeed(second.data(), second.size(), seed);
}

}  // namespace burdockrock
