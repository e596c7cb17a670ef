// Keeps the store's records of the jobs that this instance owns up to date.
#ifndef BURDOCKROCK_ENGINE_JOBS_JOB_PROGRESS_H_
#define BURDOCKROCK_ENGINE_JOBS_JOB_PROGRESS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// The entry under kOwnedPrefix for a job that this instance owns.
OwnedEntry OwnedEntryOf(const Job& job);

// Queues the creation of a new job.
void QueueCreation(Context& context, const Job& job);

// Queues writes of the progress that is due to be stored.
void DriveProgress(Context& context);

// Removes ended jobs that callers may no longer query.
void ForgetEnded(Context& context);

// Results of the queued writes, with the record's new revision or the record
// that conflicted.
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

// Called when the registration was lost: other instances may have adopted the
// jobs. No task of them is started until a write to the store has confirmed the
// ownership. Otherwise an instance that was cut off for a while would start
// tasks again whose end their new owner has already received.
void MarkOwnershipUnverified(Context& context);

// Drops a job that another instance owns now, or that has no record any more.
void DropJob(Context& context, const std::string& id, const char* cause);

// Called when an end is in the job's progress: acknowledges it to the worker's
// owner `from` once that progress is stored.
void ConfirmWhenStored(Context& context,
                       Job& job,
                       const std::string& from,
                       const EndReport& report);

// The store rejected the write and will do so again. The job was not created;
// its callers are told.
void OnCreateRejected(Context& context,
                      const std::string& id,
                      const std::string& detail);
// The job goes on, and its progress is written again after a pause.
void OnSaveRejected(Context& context, const std::string& id);

// Encodes a job's record within the bounds of the store, and logs when it has
// to be shortened.
std::string EncodeRecord(Context& context,
                         const std::string& job,
                         JobRecord record);

// The job's progress as it is stored.
JobRecord RecordOf(const Context& context, const Job& job);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_JOB_PROGRESS_H_
