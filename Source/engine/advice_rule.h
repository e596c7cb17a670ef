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

// A call that is being put together.
struct AdviceCall {
  std::size_t waiting = 0;  // tasks of the step
  bool gang = false;
  std::size_t named = 0;  // workers so far
  double starts = 0;      // that they promise
};

// Whether it names enough workers. A decision takes the service as long as 70
// more workers: too few of them cost another call, and too many a little time.
bool NamesEnough(const AdviceCall& call);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_RULE_H_
