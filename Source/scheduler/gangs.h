// Gangs: all tasks start, or none.
//
// A gang is assembled in two phases. First each task is held: its worker
// reserves the room and waits. A task that is refused is offered elsewhere
// while the others stay held. When all tasks are held, the go is sent to all.
// Room is held for gang.hold at most, then released, and the gang is retried
// after a jittered backoff. Of two gangs that each hold half of what both need,
// the one of the lower rank gives up at once.
#ifndef BURDOCKROCK_SCHEDULER_GANGS_H_
#define BURDOCKROCK_SCHEDULER_GANGS_H_

#include <string>

#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

// Tries to find room for all tasks at once, or, in assembly, for those that
// were refused. Returns false if there is none now.
bool AssembleGang(Context& context, Job& job);

// Called when a task of the gang is held; sends the go when all are.
void OnGangTaskHeld(Context& context, Job& job);

// Reason of a refusal: another gang of a higher rank holds room there.
inline constexpr char kOutranked[] = "outranked";

// Whether an owned worker holds room for another gang of a higher rank. Of two
// gangs that hold parts of the same room, only one may wait for the rest.
bool IsOutranked(const Context& context, const std::string& job);

// Lets the gangs of a lower rank that hold room on owned workers give up.
void OutrankOthers(Context& context, const std::string& job);

// Called when a gang of a higher rank lacks room that this one holds.
void OnGangOutranked(Context& context, Job& job);

// Called when a task of the gang that is queued again was refused. In assembly
// it is offered elsewhere, and the others keep their room, unless the gang is
// outranked.
void OnGangTaskRefused(Context& context, Job& job, const std::string& why);

// Called when a task of the gang failed or was lost. Stops all
// others and retries the gang as a whole after a backoff; fails the gang if one
// of its tasks has ended. `why` goes to the log.
void BackOffGang(Context& context, Job& job, const std::string& why);

// Called after the search for the attempts of an adopted gang. The gang
// continues if all its tasks run or have ended; otherwise it backs off.
void RecoverGang(Context& context, Job& job);

// Handles the end of the hold or of the backoff.
void OnGangTimer(Context& context, const std::string& id);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_GANGS_H_
