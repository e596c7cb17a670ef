// Writes changes of jobs to the store, many in one transaction.
#ifndef BURDOCKROCK_ENGINE_RECORDS_RECORD_WRITER_H_
#define BURDOCKROCK_ENGINE_RECORDS_RECORD_WRITER_H_

#include "engine/context.h"

namespace burdockrock::engine {

void QueueChange(Context& context, Change change);

// Sends what waits.
void DriveWriter(Context& context);

void OnBatchAnswer(Context& context,
                   std::uint64_t batch,
                   const StoreAnswer& answer);

// Takes back a change that was never sent. False when it may be in the store.
bool WithdrawChange(Context& context, ChangeKind kind, const std::string& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_RECORD_WRITER_H_
