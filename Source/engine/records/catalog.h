// Cache of the store's records and specs of jobs that this instance does not
// own.
#ifndef BURDOCKROCK_ENGINE_RECORDS_CATALOG_H_
#define BURDOCKROCK_ENGINE_RECORDS_CATALOG_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Requests a read of the job's record, which starts at once unless a read is in
// flight or began a moment ago.
void RequestRecord(Context& context, const std::string& job);

// Records the owner of a job. Queries of an owner that is new here are answered
// only with what is established after its first query.
void NoteOwner(KnownJob& known,
               const std::string& owner,
               std::uint64_t generation);

// Requests a read of the job's spec, unless it is cached.
void RequestSpec(Context& context, const std::string& job);

// Starts the requested reads, up to the limit of reads in flight.
void DriveCatalog(Context& context);

// Removes entries that were not used for a while.
void ForgetUnused(Context& context);

// Answers to the reads.
void OnJobRead(Context& context,
               const std::string& job,
               const StoreAnswer& answer);
void OnSpecRead(Context& context,
                const std::string& job,
                const StoreAnswer& answer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_CATALOG_H_
