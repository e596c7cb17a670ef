// Calls of the fleet's instances to its workers.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "engine/fleet.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

// From the step that makes a call to the time that the runtime notes for it.
constexpr Duration kCallStamp = std::chrono::microseconds(20);

}  // namespace

void Fleet::HandleWorkerCall(const std::string& node, const CallWorker& call) {
  const std::uint64_t incarnation = nodes_.at(node).incarnation;
  FakeWorker* target = FindWorkerAt(call.address);
  const CommandFault fault =
      target == nullptr || unresponsive_.contains(call.address)
          ? CommandFault::kUnreached
          : command_fault(node, call.address, call.request);
  const Time called_at = now_ + kCallStamp;
  const auto answer = [this, node, incarnation, call,
                       called_at](WorkerAnswer it) {
    Deliver(node, incarnation,
            WorkerAnswered{.worker = call.worker,
                           .request = call.request,
                           .answer = std::move(it),
                           .called_at = called_at});
  };
  const auto crashed = crashed_.find(call.address);
  const bool silent = is_worker_cut(node, call.address) ||
                      (crashed != crashed_.end() && crashed->second);
  if (silent) {
    return At(now_ + call.timeout, [answer] { answer(WorkerUnreached()); });
  }
  if (crashed != crashed_.end()) {
    return At(now_ + 2 * worker_latency,
              [answer] { answer(WorkerUnreached{.may_have_run = false}); });
  }
  if (fault == CommandFault::kUnhealthy) {
    return At(now_ + 2 * worker_latency, [answer] {
      answer(WorkerRefused{.kind = WorkerRefusalKind::kUnhealthy});
    });
  }
  if (fault != CommandFault::kNone) {
    At(now_ + call.timeout, [answer] { answer(WorkerUnreached()); });
  }
  if (fault == CommandFault::kUnreached) {
    return;
  }
  const Duration latency =
      fault == CommandFault::kLate ? late_delay : worker_latency;
  // A late command waits at the network and may meet the next process.
  const bool late = fault == CommandFault::kLate;
  At(now_ + latency, [this, node, incarnation, call, called_at, answer, fault,
                      target, late, born = target->info().born] {
    if (crashed_.contains(call.address) ||
        (!late && target->info().born != born)) {
      return fault == CommandFault::kNone
                 ? AnswerGone(call, called_at, born, answer)
                 : void();
    }
    if (target->info().id != WorkerIdOf(call.worker)) {
      return answer(WorkerRefused{.kind = WorkerRefusalKind::kReplaced});
    }
    const auto* poll = std::get_if<PollWorker>(&call.request);
    if (poll != nullptr && fault == CommandFault::kNone) {
      return AnswerPoll(node, incarnation, call, called_at, now_ + poll->wait,
                        target->info().born);
    }
    if (poll != nullptr && poll->acknowledged > 0 &&
        !HasAnswered(node, incarnation, *target)) {
      return;  // its connection ended with the process that it was meant for
    }
    const auto result = target->Handle(now_, call.request);
    ExpectCrash(call.address);
    if (fault == CommandFault::kNone) {
      AnswerInTime(node, call.address, called_at + call.timeout, *result,
                   answer);
    }
  });
}

void Fleet::AnswerPoll(const std::string& node,
                       std::uint64_t incarnation,
                       const CallWorker& call,
                       Time called_at,
                       Time until,
                       std::int64_t born) {
  FakeWorker* target = FindWorkerAt(call.address);
  PollWorker poll = std::get<PollWorker>(call.request);
  std::optional<WorkerAnswer> result;
  const auto answer = [this, node, incarnation, call, called_at,
                       born](WorkerAnswer it) {
    if (std::holds_alternative<WorkerDone>(it)) {
      answered_[{node, incarnation, call.address}] = born;
    }
    Deliver(node, incarnation,
            WorkerAnswered{.worker = call.worker,
                           .request = call.request,
                           .answer = std::move(it),
                           .called_at = called_at});
  };
  if (crashed_.contains(call.address) || target->info().born != born) {
    return AnswerGone(call, called_at, born, answer);
  }
  if (target->info().id != WorkerIdOf(call.worker)) {
    result = WorkerRefused{.kind = WorkerRefusalKind::kReplaced};
  } else {
    poll.wait = now_ >= until ? Duration(0) : poll.wait;
    if (poll.acknowledged > 0 && !HasAnswered(node, incarnation, *target)) {
      poll.acknowledged = 0;
      poll.wait = Duration(0);
    }
    result = target->Handle(now_, poll);
  }
  if (!result) {
    return At(now_ + kCheckInterval,
              [this, node, incarnation, call, called_at, until, born] {
                AnswerPoll(node, incarnation, call, called_at, until, born);
              });
  }
  AnswerInTime(node, call.address, called_at + call.timeout, *result, answer);
}

void Fleet::AnswerGone(const CallWorker& call,
                       Time called_at,
                       std::int64_t born,
                       const std::function<void(WorkerAnswer)>& answer) {
  const bool dark = dark_ends_.contains({call.address, born});
  const Time at =
      dark ? std::max(now_, called_at + call.timeout) : now_ + worker_latency;
  At(at, [answer] { answer(WorkerUnreached()); });
}

bool Fleet::HasAnswered(const std::string& node,
                        std::uint64_t incarnation,
                        const FakeWorker& worker) const {
  const auto it = answered_.find({node, incarnation, worker.info().address});
  return it != answered_.end() && it->second == worker.info().born;
}

void Fleet::AnswerInTime(const std::string& node,
                         const std::string& worker,
                         Time deadline,
                         const WorkerAnswer& result,
                         const std::function<void(WorkerAnswer)>& answer) {
  const Time at = now_ + worker_latency;
  if (at <= deadline && !is_worker_cut(node, worker)) {
    return At(at, [answer, result] { answer(result); });
  }
  At(std::max(now_, deadline), [answer] { answer(WorkerUnreached()); });
}

std::int64_t MostRunning(const Fleet& fleet, Time from) {
  std::vector<std::pair<Time, int>> changes;
  for (const SeenRun& it : fleet.seen) {
    changes.emplace_back(it.began, 1);
    if (it.ended != kForever) {
      changes.emplace_back(it.ended, -1);
    }
  }
  std::sort(changes.begin(), changes.end());
  std::int64_t running = 0;
  std::int64_t most = 0;
  for (const auto& [at, change] : changes) {
    running += change;
    most = change > 0 && at >= from ? std::max(most, running) : most;
  }
  return most;
}

}  // namespace burdockrock::engine
