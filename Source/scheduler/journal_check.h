// Verifies, after a worker was claimed, that this process still writes its
// journals.
//
// Peers that receive nothing from this process claim its workers and then adopt
// its journals. The process notices the adoption only when an append is fenced,
// which doesn't happen while it has nothing to write. A task could then run in
// two places: for the new writer, and on a worker that the old writer claimed
// back. Therefore a claimed worker starts nothing until a record appended after
// the claim is committed to each journal with unfinished jobs. A journal that
// is adopted later is harmless: its new writer first claims the worker.
#ifndef BURDOCKROCK_SCHEDULER_JOURNAL_CHECK_H_
#define BURDOCKROCK_SCHEDULER_JOURNAL_CHECK_H_

#include <string>
#include <vector>

#include "model/peer_message.h"
#include "scheduler/journal.h"

namespace burdockrock {

class Context;
struct WorkerRecord;

// Appends to the journals for a worker that has just been claimed.
void CheckJournals(Context& context, WorkerRecord& worker);

// Handles the commit of such an append.
void OnJournalChecked(Context& context, const CheckAppend& check);

// Ends the checks that wait for a journal that this process no longer writes.
void ForgetChecks(Context& context, const std::string& log);

// Handles the list of journals that a peer writes: this process gives up those
// that it writes under a lower generation, since the peer has adopted them.
void YieldJournals(Context& context,
                   const std::string& peer,
                   const std::vector<LedLog>& logs);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOURNAL_CHECK_H_
