// Keeps the store's records of the own jobs up to date.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_PROGRESS_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_PROGRESS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Queues the creation of a new job.
void QueueCreation(Context& context, const Job& job);

// Queues the progress that is due to be stored.
void DriveProgress(Context& context);

// Forgets ended jobs of which callers may no longer ask.
void ForgetEnded(Context& context);

void OnCreated(Context& context, const std::string& id, std::uint64_t revision);
void OnCreateConflict(Context& context,
                      const std::string& id,
                      const StoreItem& item);
void OnSaved(Context& context,
             const std::string& id,
             std::uint64_t version,
             std::uint64_t revision);
void OnSaveConflict(Context& context,
                    const std::string& id,
                    const StoreItem& item);

// The registration was lost: the jobs may be others' by now. Nothing of them is
// started until the store has confirmed the ownership. Otherwise an instance
// that comes back would start tasks again that their new owner has seen end.
void MarkOwnershipUnverified(Context& context);

// Another instance owns the job now.
void DropJob(Context& context, const std::string& id, const char* cause);

// An end is in the job's progress; its worker may forget it once that is
// stored.
void ConfirmWhenStored(Context& context,
                       Job& job,
                       const std::string& from,
                       const EndReport& report);

JobRecord RecordOf(const Context& context, const Job& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_PROGRESS_H_
