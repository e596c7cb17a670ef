// Selects the entry instance that makes a call to the advice service, by the
// waits that the members report.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Whether a call with this expected service time counts as a long one.
bool IsLongCall(Duration expected);

// The instance where a call of this length waits least, among this one and the
// members that have sent an update since `updated_since`.
std::string ChooseAdviceCaller(const Context& context,
                               std::uint32_t priority,
                               Duration expected,
                               Time updated_since);

// Takes over the waits that the member reported.
void UpdateAdviceCaller(Context& context,
                        const std::string& member,
                        Duration wait,
                        Duration urgent_wait);

// Removes the state of a member that was removed from the store's list.
void ForgetAdviceCaller(Context& context, const std::string& member);

// Whether the query is lost: its member was lost, or its reply is overdue and
// the member has sent no update since the query.
bool IsQueryLost(const Context& context, const AdviceQuery& query);

// Estimated wait of one more call of this priority at the member: its last
// report and the queries sent to it that have no reply yet.
Duration WaitAt(const Context& context,
                const std::string& member,
                std::uint32_t priority);

// Estimated wait there by now: the reported calls were made meanwhile.
Duration WaitLeftAt(const Context& context,
                    const std::string& member,
                    std::uint32_t priority);

// The longest wait with which a query is sent. Steps that would wait longer
// keep their place in the line of their owner, which names workers when their
// turn has come.
Duration LongestWait(Duration expected);

// By how much the wait at a member may exceed its last report before the member
// declines a call.
Duration WaitTolerance(Duration expected);

// Called when the query is given up. Its member counts as busier than it
// reported, and as unresponsive if the query is lost, until its next report.
void AvoidAdviceCaller(Context& context, const AdviceQuery& query);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_CALLERS_H_
