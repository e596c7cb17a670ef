// Takes over jobs whose owner is gone.
#ifndef BURDOCKROCK_ENGINE_JOBS_ADOPTION_H_
#define BURDOCKROCK_ENGINE_JOBS_ADOPTION_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Looks for the jobs of a member that is gone.
void ScanOrphansOf(Context& context, const std::string& incarnation);

// Looks for jobs of anybody who is gone; for a start, and now and then, should
// the end of a member have been missed.
void ScanAllOrphans(Context& context);

void OnOrphanPage(Context& context,
                  const std::string& prefix,
                  const StoreAnswer& answer);

// Writes adoptions, and learns what runs of the jobs that were adopted.
void DriveAdoption(Context& context);

void OnAdopted(Context& context, const std::string& id, std::uint64_t revision);
void OnAdoptConflict(Context& context, const std::string& id);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_ADOPTION_H_
