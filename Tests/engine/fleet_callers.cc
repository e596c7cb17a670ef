// Callers of the fleet, and planned stops of instances with open requests.
#include <chrono>
#include <utility>

#include <doctest/doctest.h>

#include "engine/fleet.h"

namespace burdockrock::engine {

std::uint64_t Fleet::SendRequest(const std::string& node,
                                 CallerRequest request) {
  const std::uint64_t call = ++last_call_;
  nodes_.at(node).unanswered.insert(call);
  Deliver(node, nodes_.at(node).incarnation,
          CallerRequestReceived{.call = call, .request = std::move(request)});
  return call;
}

std::uint64_t Fleet::Submit(const std::string& node,
                            const std::string& job,
                            JobSpec spec) {
  return SendRequest(node, {.query = CallerQuery::kSubmit,
                            .host = "h",
                            .path = "/q/" + job,
                            .spec = std::move(spec)});
}

std::uint64_t Fleet::SubmitWithKey(const std::string& node,
                                   const std::string& job,
                                   JobSpec spec,
                                   const std::string& key) {
  return SendRequest(node, {.query = CallerQuery::kSubmit,
                            .host = "h",
                            .path = "/q/" + job,
                            .key = DigestOf(key),
                            .spec = std::move(spec)});
}

std::uint64_t Fleet::QueryState(const std::string& node,
                                const std::string& job) {
  return SendRequest(
      node, {.query = CallerQuery::kState, .host = "h", .path = "/q/" + job});
}

std::uint64_t Fleet::Cancel(const std::string& node, const std::string& job) {
  // Before the call, which may be answered at once.
  cancel_calls_[last_call_ + 1] = job;
  return SendRequest(
      node, {.query = CallerQuery::kCancel, .host = "h", .path = "/q/" + job});
}

void Fleet::RecordAnswer(const std::string& node, const AnswerCaller& it) {
  answers[it.call] = it.answer;
  nodes_.at(node).unanswered.erase(it.call);
  if (nodes_.at(node).drained) {
    EndWhenAnswered(node);
  }
  const auto* taken = std::get_if<CancelAccepted>(&it.answer);
  const auto call = cancel_calls_.find(it.call);
  if (taken != nullptr && taken->state == JobState::kCancelled &&
      call != cancel_calls_.end()) {
    cancelled.emplace(call->second, now_);
  }
}

std::optional<JobState> Fleet::StateOf(const std::string& node,
                                       const std::string& job) {
  const std::uint64_t call = QueryState(node, job);
  RunUntil([&] { return answers.contains(call); }, std::chrono::seconds(3));
  const auto it = answers.find(call);
  const auto* shown =
      it == answers.end() ? nullptr : std::get_if<JobStateFound>(&it->second);
  return shown == nullptr ? std::nullopt : std::optional(shown->state);
}

void Fleet::StopPlanned(const std::string& node) {
  const std::uint64_t incarnation = nodes_.at(node).incarnation;
  Deliver(node, incarnation, StopRequested());
  At(now_ + Bounds().grace, [this, node, incarnation] {
    if (nodes_.at(node).incarnation == incarnation) {
      Kill(node);
    }
  });
}

bool Fleet::TakesCalls(const std::string& node) const {
  return IsUp(node) && !nodes_.at(node).drained;
}

// Ends the process, as a real one, once all requests that it has read are
// answered.
void Fleet::EndWhenAnswered(const std::string& node) {
  Node& ending = nodes_.at(node);
  ending.drained = true;
  if (!ending.unanswered.empty()) {
    return;
  }
  At(now_, [this, node, incarnation = ending.incarnation] {
    const Node& it = nodes_.at(node);
    if (it.incarnation == incarnation && it.unanswered.empty()) {
      Kill(node);
    }
  });
}

void CancelNow(Fleet& fleet, const std::string& node, const std::string& job) {
  const std::uint64_t call = fleet.Cancel(node, job);
  REQUIRE(fleet.RunUntil([&] { return fleet.answers.contains(call); },
                         std::chrono::seconds(2)));
  REQUIRE(std::holds_alternative<CancelAccepted>(fleet.answers[call]));
}

}  // namespace burdockrock::engine
