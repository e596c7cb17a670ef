// Adopts jobs whose owner is no longer registered.
#ifndef BURDOCKROCK_ENGINE_JOBS_ADOPTION_H_
#define BURDOCKROCK_ENGINE_JOBS_ADOPTION_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Scans the store for the jobs of a member that was removed.
void ScanOrphansOf(Context& context, const std::string& incarnation);

// Scans the store for the jobs of all former members: at startup, and regularly
// in case the end of a registration was missed.
void ScanAllOrphans(Context& context);

// Handles one page of a scan's results and requests the next.
void OnOrphanPage(Context& context,
                  const std::string& prefix,
                  const StoreAnswer& answer);

// Starts scans and writes adoptions, as due, and advances the recovery of
// adopted jobs.
void DriveAdoption(Context& context);

// The adoption was stored at `revision`: restores the job from its record and
// begins its recovery.
void OnAdopted(Context& context, const std::string& id, std::uint64_t revision);

// The store rejected the adoption, which is tried again after a pause.
void OnAdoptRejected(Context& context, const std::string& id);

// The adoption was not written, as the store had changed: reads the record
// again.
void OnAdoptConflict(Context& context, const std::string& id);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_ADOPTION_H_
