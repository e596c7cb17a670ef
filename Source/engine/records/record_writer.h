// Writes changes of jobs to the store, many in one transaction, within this
// instance's share of the store's write rate.
#ifndef BURDOCKROCK_ENGINE_RECORDS_RECORD_WRITER_H_
#define BURDOCKROCK_ENGINE_RECORDS_RECORD_WRITER_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Appends a change. It is repeated until the store has answered it.
void QueueChange(Context& context, Change change);

// Sends queued changes.
void DriveWriter(Context& context);

// Handles the store's answer to a transaction: passes the result on to each
// change, or queues the changes again.
void OnBatchAnswer(Context& context,
                   std::uint64_t batch,
                   const StoreAnswer& answer);

// Removes a change that was never sent from the queue. False if the store may
// already have it.
bool WithdrawChange(Context& context, ChangeKind kind, const std::string& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_RECORD_WRITER_H_
