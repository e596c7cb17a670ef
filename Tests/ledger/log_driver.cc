#include "log_driver.h"

#include <doctest/doctest.h>

#include <utility>

namespace burdockrock {
namespace {

const PlatformUnavailable kLost{.may_have_taken_effect = true,
                                .message = "no answer"};
const PlatformUnavailable kNotSent{.may_have_taken_effect = false,
                                   .message = "no connection"};

}  // namespace

void LogDriver::Take(LedgerProgress progress) {
  for (LedgerCall& it : progress.calls) {
    REQUIRE_MESSAGE(!call_, "two calls under way at once");
    call_ = std::move(it);
  }
  for (const TicketOutcome& it : progress.finished) {
    REQUIRE_MESSAGE(!outcomes_.contains(it.ticket), "answered twice");
    outcomes_[it.ticket] = it.outcome;
  }
  for (const TicketOutcome& it : progress.settled_late) {
    REQUIRE(outcomes_.at(it.ticket) == AppendOutcome::kUnknown);
    REQUIRE_MESSAGE(!late_.contains(it.ticket), "settled twice");
    late_[it.ticket] = it.outcome;
  }
  absorbed_.insert(absorbed_.end(), progress.absorbed.begin(),
                   progress.absorbed.end());
  if (progress.fenced) {
    fenced_by_ = progress.fenced_by;
  }
}

Ticket LogDriver::Append(const std::string& key,
                         const std::string& body,
                         Time now) {
  const Ticket ticket = log_.Append({.key = key, .kind = "set", .body = body},
                                    {.urgent = true}, now);
  Take(log_.OnTime(now));
  return ticket;
}

void LogDriver::Answer(Time now) {
  REQUIRE(call_);
  AnswerWith(platform_->Execute(call_->operation), now);
}

void LogDriver::LoseAnswer(Time now) {
  REQUIRE(call_);
  platform_->Execute(call_->operation);
  AnswerWith(kLost, now);
}

PlatformOperation LogDriver::Delay(Time now) {
  REQUIRE(call_);
  PlatformOperation delayed = call_->operation;
  AnswerWith(kLost, now);
  return delayed;
}

void LogDriver::Refuse(Time now) {
  REQUIRE(call_);
  AnswerWith(kNotSent, now);
}

void LogDriver::AnswerWith(const PlatformResult& result, Time now) {
  const LedgerCall call = *std::exchange(call_, std::nullopt);
  Take(log_.OnAnswer(call.call_id, result, now));
}

Time LogDriver::Settle(Time now) {
  constexpr int kMaxSteps = 100'000;
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

}  // namespace burdockrock
