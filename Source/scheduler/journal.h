// The journals of accepted jobs, and the taking over of a dead process's.
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
                                   CancelAppend,
                                   ClaimAppend,
                                   GenerationAppend,
                                   CheckAppend>;

// A log of the platform as this process uses it.
struct OpenLog {
  std::unique_ptr<SlotLog> log;
  std::unordered_map<Ticket, AppendPurpose> tickets;
  Time timer_at = kForever;
};

// By name.
using OpenLogs = std::map<std::string, OpenLog>;

// Carries out what a step of a log asks for. The name is copied: a step may
// end the job that it was taken from.
void ApplyLedgerProgress(Context& context,
                         std::string name,
                         LedgerProgress progress);

void OnLedgerTimer(Context& context, const std::string& name);

// Appends, for an answer to `purpose`; 0 when nothing waits for it.
Ticket AppendTo(Context& context,
                const std::string& name,
                LogRecord record,
                const AppendOptions& options,
                std::optional<AppendPurpose> purpose);

// This process's own journal, made at the first use.
Journal& OwnJournal(Context& context);

// Journal records of a job.
LogRecord RecordOfJob(const Job& job);
LogRecord RecordOfEnd(const Job& job, std::uint32_t task);
LogRecord RecordOfDispatch(const Job& job, std::uint32_t task);
LogRecord RecordOfCancel(const Job& job);

LogRecord RecordOfGeneration(const Journal& journal);

// Makes a log known and returns it; the caller opens it.
OpenLog& AddLog(Context& context, SlotLogOptions options);

// Drops a finished job from its journal.
void EraseJobRecords(Context& context, const Job& job);

// Takes over the journal of a process that died or hands it over.
void AdoptJournal(Context& context, const std::string& name);
void OnOrphanScanTimer(Context& context);
void OnOrphanScan(Context& context, const PlatformResult& result);

// Another process writes the journal now: its jobs are forgotten here.
void ForgetJournal(Context& context, const std::string& name);

// The purge of closed journals and the forgetting of finished jobs.
void OnJournalTimer(Context& context, const std::string& name);

// Journal names: "jobs.DOMAIN.INSTANCE.INCARNATION-NUMBER".
std::string JournalName(const std::string& domain,
                        const std::string& instance,
                        const std::string& incarnation);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOURNAL_H_
