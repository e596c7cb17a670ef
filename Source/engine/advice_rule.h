// When one more call for advice on a step is worth its turn.
#ifndef BURDOCKROCK_ENGINE_ADVICE_RULE_H_
#define BURDOCKROCK_ENGINE_ADVICE_RULE_H_

#include <cstddef>

#include "model/time.h"

namespace burdockrock::engine {

// How many starts a call must promise for a step that was asked for before,
// where `waiting` tasks wait and the last call was made `since_call` ago. Under
// load many steps wait and little room is free at a time: asked for by all of
// them it would fill all turns. A step that has not asked for a while takes
// what there is, as room may never come in larger pieces: it makes at most two
// calls a second more.
double LeastStarts(std::size_t waiting, Duration since_call);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_RULE_H_
