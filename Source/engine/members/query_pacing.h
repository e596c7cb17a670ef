// Paces queries that are repeated until they are answered. A member that is
// short of processor time would have to answer each repeat, and fall behind
// further; one that can't be reached needs none.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_QUERY_PACING_H_
#define BURDOCKROCK_ENGINE_MEMBERS_QUERY_PACING_H_

#include <string>

#include "engine/context.h"
#include "engine/members/query_pacing_state.h"

namespace burdockrock::engine {

// Whether a query that the member has had before may be sent to it again: the
// last one is answered, or has been without an answer for long enough.
bool MayRepeat(const Context& context,
               const std::string& member,
               RepeatedQuery query);

// Whether a query about something new may be sent. Not while the member leaves
// also a repeat unanswered: then it waits for the next repeat.
bool MayQuery(const Context& context,
              const std::string& member,
              RepeatedQuery query);

// The pause after which the query may be repeated doubles while the member
// leaves repeats unanswered.
void NoteQueried(Context& context,
                 const std::string& member,
                 RepeatedQuery query);
void NoteAnswered(Context& context,
                  const std::string& member,
                  RepeatedQuery query);

// A message of the member has arrived. After a silence all queries are due.
void NoteHeard(Context& context, const std::string& member);

void ForgetQueriesOfDeparted(Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_QUERY_PACING_H_
