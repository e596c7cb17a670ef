// Which entry instance makes a call for advice.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Whether a call that the service takes so long for counts as a long one.
bool IsLongCall(Duration expected);

// The member, or this instance, where a call of this length waits the least,
// among those that have sent something since `heard_since`.
std::string ChooseCaller(const Context& context,
                         std::uint32_t priority,
                         Duration expected,
                         Time heard_since);

// The member reported its wait.
void HearOfCaller(Context& context,
                  const std::string& member,
                  Duration wait,
                  Duration urgent_wait);

// The member left.
void ForgetCaller(Context& context, const std::string& member);

// Whether whoever was asked has gone, and the question with it, or owes the
// answer and has sent nothing since it was asked.
bool IsLost(const Context& context, const AdviceQuery& question);

// How long one more call of this priority would wait there, as far as is known
// here.
Duration WaitAt(const Context& context,
                const std::string& member,
                std::uint32_t priority);

// By how much the wait at the member may have grown since its report.
Duration WaitDoubt(Duration expected);

// The question is given up: its member is avoided until it reports its wait.
void LeaveCaller(Context& context, const AdviceQuery& question);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_
