// Drives one SlotLog by hand against a FakePlatform: a test decides what
// becomes of each call.
#ifndef BURDOCKROCK_LEDGER_LOG_DRIVER_H_
#define BURDOCKROCK_LEDGER_LOG_DRIVER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fake_platform.h"
#include "ledger/slot_log.h"

namespace burdockrock {

class LogDriver {
 public:
  LogDriver(SlotLogOptions options, WriteBudget& budget, FakePlatform& platform)
      : platform_(&platform), log_(std::move(options), budget) {}

  SlotLog& log() { return log_; }

  // Keeps what a step asked for and told.
  void Take(LedgerProgress progress);

  Ticket Append(const std::string& key, const std::string& body, Time now);

  bool has_call() const { return call_.has_value(); }
  const PlatformOperation& operation() const { return call_->operation; }

  // The platform carries the call out and answers.
  void Answer(Time now);
  // The platform carries it out; the answer is lost.
  void LoseAnswer(Time now);
  // The call stays in the network; the caller stops waiting. Returns it for a
  // later FakePlatform::Execute.
  PlatformOperation Delay(Time now);
  // The call never left this process.
  void Refuse(Time now);
  // Hands over a result as it is.
  void AnswerWith(const PlatformResult& result, Time now);

  // Answers all calls, and moves the time on to each next_time, until nothing
  // is left to do. Returns the time reached.
  Time Settle(Time now);

  std::optional<AppendOutcome> outcome(Ticket ticket) const;
  std::optional<AppendOutcome> late_outcome(Ticket ticket) const;
  const std::vector<LogRecord>& absorbed() const { return absorbed_; }
  const std::string& fenced_by() const { return fenced_by_; }

 private:
  FakePlatform* platform_;
  SlotLog log_;
  std::optional<LedgerCall> call_;
  std::map<Ticket, AppendOutcome> outcomes_;
  std::map<Ticket, AppendOutcome> late_;
  std::vector<LogRecord> absorbed_;
  std::string fenced_by_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_LOG_DRIVER_H_
