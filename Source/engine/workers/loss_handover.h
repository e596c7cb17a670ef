// Losses of workers that were announced by members that have left since.
#ifndef BURDOCKROCK_ENGINE_WORKERS_LOSS_HANDOVER_H_
#define BURDOCKROCK_ENGINE_WORKERS_LOSS_HANDOVER_H_

#include "engine/context.h"

namespace burdockrock::engine {

// Continues the announcements of members that were declared lost, so that one
// which starts later does not wait for the lost workers.
void TakeOverLosses(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_LOSS_HANDOVER_H_
