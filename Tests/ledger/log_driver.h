// Drives one SlotLog by hand against a standin::PlatformStore: a test decides
// what becomes of each call.
#ifndef BURDOCKROCK_LEDGER_LOG_DRIVER_H_
#define BURDOCKROCK_LEDGER_LOG_DRIVER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/slot_log.h"
#include "standin/platform_store.h"

namespace burdockrock {

class LogDriver {
 public:
  LogDriver(SlotLogOptions options,
            WriteBudget& budget,
            standin::PlatformStore& store);

  SlotLog& log() { return log_; }
  const SlotLog& log() const { return log_; }

  // Keeps what a step asked for and told.
  void Take(LedgerProgress progress);

  Ticket Append(LogRecord record, Time now);
  Ticket Append(const std::string& key, const std::string& body, Time now);

  bool has_call() const { return call_.has_value(); }

  // The platform carries the call out and answers.
  void Answer(Time now);
  // The platform carries it out twice and answers twice.
  void AnswerTwice(Time now);
  // The platform carries it out; the answer is lost.
  void LoseAnswer(Time now);
  // The call stays in the network and the caller stops waiting. Returns it for
  // a later standin::PlatformStore::Apply.
  PlatformOperation Delay(Time now);
  // The call never left this process.
  void Refuse(Time now);
  // Takes the call as sent, without an answer yet.
  LedgerCall TakeCall();
  void AnswerWith(const LedgerCall& call,
                  const PlatformResult& result,
                  Time now);

  // Answers all calls, and moves the time on to each next_time, until nothing
  // is left to do. Returns the time reached.
  Time Settle(Time now);

  std::optional<AppendOutcome> outcome(Ticket ticket) const;
  std::optional<AppendOutcome> late_outcome(Ticket ticket) const;
  // Outcomes, and late ones, since the last call of this.
  std::vector<TicketOutcome> TakeNews();
  const std::vector<LogRecord>& absorbed() const { return absorbed_; }
  const std::string& fenced_by() const { return fenced_by_; }
  bool missed_batches() const { return missed_batches_; }
  bool purged() const { return purged_; }
  // Of the values of all puts sent.
  std::size_t put_bytes() const { return put_bytes_; }

 private:
  standin::PlatformStore* store_;
  SlotLog log_;
  std::optional<LedgerCall> call_;
  std::map<Ticket, AppendOutcome> outcomes_;
  std::map<Ticket, AppendOutcome> late_;
  std::vector<TicketOutcome> news_;
  std::vector<LogRecord> absorbed_;
  std::string fenced_by_;
  bool missed_batches_ = false;
  bool purged_ = false;
  std::size_t put_bytes_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_LOG_DRIVER_H_
