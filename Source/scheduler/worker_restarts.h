// Workers that start again under the id that they had. The new process holds
// and knows nothing of before.
#ifndef BURDOCKROCK_SCHEDULER_WORKER_RESTARTS_H_
#define BURDOCKROCK_SCHEDULER_WORKER_RESTARTS_H_

#include <cstdint>

#include "model/worker_message.h"
#include "scheduler/calls.h"

namespace burdockrock {

class Context;
struct WorkerRecord;

// Which process of the worker an answer tells of.
enum class Teller {
  kPresent,  // the present one, or it is not known
  kOther,    // one before, or the present one of a command to one before
};

// Learns from an answer which process of the worker is the present one. If it
// is a new one, the attempts of the one before have ended, and the owner claims
// the new one.
Teller NoteProcess(Context& context,
                   WorkerRecord& worker,
                   const WorkerPurpose& purpose,
                   const WorkerResult& result);

// Handles the answer to a command that was meant for a process that is gone. It
// says nothing of the present one.
void OnOtherProcess(Context& context,
                    WorkerRecord& worker,
                    const WorkerPurpose& purpose,
                    const WorkerResult& result);

// The platform lists the worker with a later start than that known. The owner
// has to claim it then.
void OnProcessListed(Context& context, WorkerRecord& worker, std::int64_t born);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_WORKER_RESTARTS_H_
