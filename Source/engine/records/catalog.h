// What the store says of jobs that this instance does not own.
#ifndef BURDOCKROCK_ENGINE_RECORDS_CATALOG_H_
#define BURDOCKROCK_ENGINE_RECORDS_CATALOG_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Reads the job's record (again), unless it was read just now.
void RequestRecord(Context& context, const std::string& job);

// Notes whose a job is. Questions of an owner that is new here are answered
// only by what is proven after it first asked.
void NoteOwner(KnownJob& known,
               const std::string& owner,
               std::uint64_t generation);

// Reads the job's spec, unless it is known.
void RequestSpec(Context& context, const std::string& job);

// Starts the reads that are wanted.
void DriveCatalog(Context& context);

// Forgets what nobody has asked for for a while.
void ForgetUnused(Context& context);

void OnJobRead(Context& context,
               const std::string& job,
               const StoreAnswer& answer);
void OnSpecRead(Context& context,
                const std::string& job,
                const StoreAnswer& answer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_CATALOG_H_
