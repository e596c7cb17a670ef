// Asks the advice service which workers may run a step, ahead of its turn.
#ifndef BURDOCKROCK_ENGINE_ADVICE_H_
#define BURDOCKROCK_ENGINE_ADVICE_H_

#include "engine/context.h"

namespace burdockrock::engine {

void DriveAdvice(Context& context);

void OnAdviceAnswered(Context& context, const AdviceAnswered& event);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_H_
