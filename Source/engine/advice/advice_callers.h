// Which entry instance makes a call for advice.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Whether a call that the service takes so long for counts as a long one.
bool IsLongCall(Duration expected);

// The member, or this instance, where a call of this length waits the least.
std::string ChooseCaller(const Context& context, Duration expected);

// How long one more call would wait there, as far as is known here.
Duration WaitAt(const Context& context, const std::string& member);

// By how much the wait at the member may have grown since it told of it.
Duration WaitDoubt(Duration expected);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_
