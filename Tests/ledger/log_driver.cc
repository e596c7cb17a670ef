#include "log_driver.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace burdockrock {
namespace {

PlatformUnavailable Lost() {
  return {.may_have_taken_effect = true, .message = "no answer"};
}

PlatformUnavailable NotSent() {
  return {.may_have_taken_effect = false, .message = "no connection"};
}

}  // namespace

LogDriver::LogDriver(SlotLogOptions options,
                     WriteBudget& budget,
                     standin::PlatformStore& store)
    : store_(&store), log_(std::move(options), budget) {}

void LogDriver::Take(LedgerProgress progress) {
  for (LedgerCall& it : progress.calls) {
    REQUIRE_MESSAGE(!call_, "two calls under way at once");
    if (const auto* put = std::get_if<KvPut>(&it.operation)) {
      put_bytes_ += put->value.size();
    }
    call_ = std::move(it);
  }
  for (const TicketOutcome& it : progress.finished) {
    REQUIRE_MESSAGE(!outcomes_.contains(it.ticket), "answered twice");
    outcomes_[it.ticket] = it.outcome;
    news_.push_back(it);
  }
  for (const TicketOutcome& it : progress.settled_late) {
    REQUIRE(outcomes_.at(it.ticket) == AppendOutcome::kUnknown);
    REQUIRE_MESSAGE(!late_.contains(it.ticket), "settled twice");
    late_[it.ticket] = it.outcome;
    news_.push_back(it);
  }
  absorbed_.insert(absorbed_.end(), progress.absorbed.begin(),
                   progress.absorbed.end());
  if (progress.fenced) {
    fenced_by_ = progress.fenced_by;
  }
  missed_batches_ |= progress.missed_batches;
  purged_ |= progress.purged;
}

Ticket LogDriver::Append(LogRecord record, Time now) {
  const Ticket ticket = log_.Append(std::move(record), {.urgent = true}, now);
  Take(log_.OnTime(now));
  return ticket;
}

Ticket LogDriver::Append(const std::string& key,
                         const std::string& body,
                         Time now) {
  return Append({.key = key, .kind = "set", .body = body}, now);
}

void LogDriver::Answer(Time now) {
  const LedgerCall call = TakeCall();
  AnswerWith(call, store_->Apply(call.operation, now), now);
}

void LogDriver::AnswerTwice(Time now) {
  const LedgerCall call = TakeCall();
  const PlatformResult first = store_->Apply(call.operation, now);
  const PlatformResult second = store_->Apply(call.operation, now);
  AnswerWith(call, first, now);
  AnswerWith(call, second, now);
}

void LogDriver::LoseAnswer(Time now) {
  const LedgerCall call = TakeCall();
  store_->Apply(call.operation, now);
  AnswerWith(call, Lost(), now);
}

PlatformOperation LogDriver::Delay(Time now) {
  const LedgerCall call = TakeCall();
  AnswerWith(call, Lost(), now);
  return call.operation;
}

void LogDriver::Refuse(Time now) {
  AnswerWith(TakeCall(), NotSent(), now);
}

LedgerCall LogDriver::TakeCall() {
  REQUIRE(call_);
  return *std::exchange(call_, std::nullopt);
}

void LogDriver::AnswerWith(const LedgerCall& call,
                           const PlatformResult& result,
                           Time now) {
  Take(log_.OnAnswer(call.call_id, result, now));
}

Time LogDriver::Settle(Time now) {
  constexpr int kMaxSteps = 10'000;
  for (int i = 0; i < kMaxSteps; ++i) {
    if (call_) {
      Answer(now);
    } else if (log_.next_time() == kForever) {
      return now;
    } else {
      now = std::max(now, log_.next_time());
      Take(log_.OnTime(now));
    }
  }
  FAIL("the log does not come to rest");
  return now;
}

std::optional<AppendOutcome> LogDriver::outcome(Ticket ticket) const {
  const auto it = outcomes_.find(ticket);
  return it == outcomes_.end() ? std::nullopt : std::optional(it->second);
}

std::optional<AppendOutcome> LogDriver::late_outcome(Ticket ticket) const {
  const auto it = late_.find(ticket);
  return it == late_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<TicketOutcome> LogDriver::TakeNews() {
  return std::exchange(news_, {});
}

}  // namespace burdockrock
