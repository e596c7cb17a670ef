// Gangs: all tasks start, or none.
//
// A gang is assembled in two steps. Each task is first held: its worker takes
// the room and waits. When all are held, all are told to go. Room is held for
// gang.hold at most, then given back with a jittered backoff, so that two
// gangs which each hold half of what both need can't wait for each other.
#ifndef BURDOCKROCK_SCHEDULER_GANGS_H_
#define BURDOCKROCK_SCHEDULER_GANGS_H_

#include <string>

#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

// Tries to find room for all tasks at once. False when there is none now.
bool AssembleGang(Context& context, Job& job);

// A task of the gang is held.
void OnGangTaskHeld(Context& context, Job& job);

// A task of the gang was refused, failed or was lost: all others are stopped,
// and the gang is tried again as a whole.
void BackOffGang(Context& context, Job& job, const std::string& why);

// The attempts of an adopted gang have been looked for: it goes on if all run.
void RecoverGang(Context& context, Job& job);

// The hold or the backoff ends.
void OnGangTimer(Context& context, const std::string& id);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_GANGS_H_
