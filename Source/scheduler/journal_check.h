// Shows, after a worker was claimed, that this process still writes its
// journals.
//
// Peers that can't hear this process take its workers and then its journals.
// It does not hear of the second: without anything to write it is not fenced.
// It shows as a task that runs in two places, once for the new writer and once
// on a worker that the old one claimed back. So a claimed worker starts
// nothing until a record that was appended after the claim is committed to
// each journal with open jobs. A journal that is taken over later does no
// harm: its new writer first takes the worker away.
#ifndef BURDOCKROCK_SCHEDULER_JOURNAL_CHECK_H_
#define BURDOCKROCK_SCHEDULER_JOURNAL_CHECK_H_

#include <string>
#include <vector>

#include "model/peer_message.h"
#include "scheduler/journal.h"

namespace burdockrock {

class Context;
struct WorkerRecord;

// The worker was claimed just now: appends to the journals.
void CheckJournals(Context& context, WorkerRecord& worker);

// The answer to such an append.
void OnJournalChecked(Context& context, const CheckAppend& check);

// The journal is no longer this process's: nothing waits for it.
void ForgetChecks(Context& context, const std::string& log);

// A peer writes these journals: those of them that this process writes under a
// lower generation were taken from it.
void YieldJournals(Context& context,
                   const std::string& peer,
                   const std::vector<LedLog>& logs);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOURNAL_CHECK_H_
