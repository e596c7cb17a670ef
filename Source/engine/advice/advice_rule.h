// When one more call for advice on a step is worth its turn.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_RULE_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_RULE_H_

#include <cstddef>

#include "model/time.h"

namespace burdockrock::engine {

// The share of workers that a queue's policy allows, as its answers show.
class AllowedShare {
 public:
  double value() const { return share_; }

  // An answer about so many workers of which nothing was known.
  void Update(std::size_t allowed, std::size_t named);

  bool operator==(const AllowedShare&) const = default;

 private:
  double share_ = 0.4;  // before any answer; it may turn out to be any
};

// A call that is being put together.
struct AdviceCallDraft {
  std::size_t waiting = 0;  // tasks of the step
  bool gang = false;
  std::size_t named = 0;  // workers so far
  double starts = 0;      // that they promise, by the share that is allowed
  double max_starts = 0;  // starts if all of them are allowed
  double ticketed = 0;    // starts at other workers with tickets
};

// Whether it names enough workers. Too few of them cost another decision, which
// takes the service far longer than one more worker.
bool HasEnoughWorkers(const AdviceCallDraft& call);

// Whether a step that was asked for before, `since_call` ago, should be asked
// for again. Little room is free at a time under load; asked for by all that
// wait it would fill all turns. A step that has not asked for a while takes
// what there is. A gang starts whole or not at all.
bool IsWorthACall(const AdviceCallDraft& call, Duration since_call);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_RULE_H_
