// Removes the records of jobs that ended long ago and whose owner is no longer
// a member. Each owner removes its own records; without the sweep these would
// remain indefinitely.
#ifndef BURDOCKROCK_ENGINE_RECORDS_RECORD_SWEEP_H_
#define BURDOCKROCK_ENGINE_RECORDS_RECORD_SWEEP_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Starts a sweep if one is due and this member is the one chosen for it.
void DriveSweep(Context& context);

// Removes what a page lists and reads the next one.
void OnSweepPage(Context& context, const StoreAnswer& answer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_RECORD_SWEEP_H_
