// Removes the records of jobs that ended long ago and whose owner is gone: each
// owner removes its own, so that only these would stay for ever.
#ifndef BURDOCKROCK_ENGINE_RECORDS_RECORD_SWEEP_H_
#define BURDOCKROCK_ENGINE_RECORDS_RECORD_SWEEP_H_

#include "engine/context.h"

namespace burdockrock::engine {

// At one member at a time.
void DriveSweep(Context& context);

void OnSweepPage(Context& context, const StoreAnswer& answer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_RECORD_SWEEP_H_
