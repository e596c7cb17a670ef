// What callers send to the members, as digests report it.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_MEMBER_LOAD_H_
#define BURDOCKROCK_ENGINE_MEMBERS_MEMBER_LOAD_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Whether the deployment has a use for the loads: it has teams.
bool UsesLoad(const State& state);

// The load of this instance.
MemberLoad OwnLoad(Context& context);

// The member reported its load.
void OnMemberLoad(Context& context,
                  const std::string& from,
                  const MemberLoad& load);

// Removes the load of a member that left.
void ForgetMemberLoad(State& state, const std::string& member);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_MEMBER_LOAD_H_
