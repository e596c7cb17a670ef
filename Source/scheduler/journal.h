// The journals of accepted jobs, and the adoption of a lost process's journals.
#ifndef BURDOCKROCK_SCHEDULER_JOURNAL_H_
#define BURDOCKROCK_SCHEDULER_JOURNAL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "ledger/slot_log.h"
#include "model/time.h"
#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

// What an append is for; decides who handles its outcome.
struct JobAppend {
  std::string job;
};
struct EndAppend {
  std::string job;
  std::uint32_t task = 0;
};
struct DispatchAppend {
  std::string job;
  std::uint32_t task = 0;
};
struct StartAppend {
  std::string job;
  std::uint32_t task = 0;
};
struct CancelAppend {
  std::string job;
};
struct ClaimAppend {
  std::string id;  // of a request or job
};

struct GenerationAppend {
  std::string log;
};

struct CheckAppend {
  std::string log;
  std::string worker;
  Epoch epoch = 0;  // under which the worker was claimed
};

using AppendPurpose = std::variant<JobAppend,
                                   EndAppend,
                                   DispatchAppend,
                                   StartAppend,
                                   CancelAppend,
                                   ClaimAppend,
                                   GenerationAppend,
                                   CheckAppend>;

// An open log on the platform, with its pending appends.
struct OpenLog {
  std::unique_ptr<SlotLog> log;
  std::unordered_map<Ticket, AppendPurpose> tickets;
  Time timer_at = kForever;
};

// By name.
using OpenLogs = std::map<std::string, OpenLog>;

// Sends the platform calls of a step of a log and handles its outcomes. The
// name is passed by value: the step may remove the job that holds it.
void ApplyLedgerProgress(Context& context,
                         std::string name,
                         LedgerProgress progress);

void OnLedgerTimer(Context& context, const std::string& name);

// Appends a record; the outcome goes to the handler of `purpose`, if given.
// Returns 0 if the log is not open.
Ticket AppendTo(Context& context,
                const std::string& name,
                LogRecord record,
                const AppendOptions& options,
                std::optional<AppendPurpose> purpose);

// Returns this process's own journal, which is created at the first use.
Journal& OwnJournal(Context& context);

// Journal records of a job.
LogRecord RecordOfJob(const Job& job);
LogRecord RecordOfEnd(const Job& job, std::uint32_t task);
LogRecord RecordOfDispatch(const Job& job, std::uint32_t task);
LogRecord RecordOfCancel(const Job& job);
// The crashes under a task, and whether an attempt of it was started since.
LogRecord RecordOfCrashes(const Job& job, std::uint32_t task);

LogRecord RecordOfGeneration(const Journal& journal);

// Adds a log and returns it; the caller has to open or create it.
OpenLog& AddLog(Context& context, SlotLogOptions options);

// Erases the records of a finished job from its journal.
void EraseJobRecords(Context& context, const Job& job);

// Adopts the journal of a process that was lost or that hands it over.
void AdoptJournal(Context& context, const std::string& name);
// Scan the platform for journals without a live writer and adopt those that
// this process is chosen for.
void OnOrphanScanTimer(Context& context);
void OnOrphanScan(Context& context, const PlatformResult& result);

// Removes a journal that another process writes or that was purged, with its
// jobs.
void ForgetJournal(Context& context, const std::string& name);

// Closes empty journals and purges closed ones.
void OnJournalTimer(Context& context, const std::string& name);

// Journal names: "jobs.DOMAIN.INSTANCE.INCARNATION-NUMBER".
std::string JournalName(const std::string& domain,
                        const std::string& instance,
                        const std::string& incarnation);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOURNAL_H_
