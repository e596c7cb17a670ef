// Learns what of adopted jobs runs before anything of them is started.
#ifndef BURDOCKROCK_ENGINE_JOBS_RECOVERY_H_
#define BURDOCKROCK_ENGINE_JOBS_RECOVERY_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// The job was adopted just now: all members and workers are to be heard.
void BeginRecovery(Context& context, Job& job);

// Asks whoever has more to tell; ends recoveries.
void DriveRecovery(Context& context);

void OnAdoptReport(Context& context,
                   const std::string& from,
                   const AdoptReport& report);

// A worker was listed that an adopted job's runs may be on.
void OnWorkerListed(Context& context, const std::string& worker);

// Nothing runs there any more.
void OnWorkerCleared(Context& context, const std::string& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_RECOVERY_H_
