// Whether an instance that has just started knows all workers that may run
// tasks of adopted jobs. The list alone is not enough: the entries of workers
// that are cut off lapse while these keep running.
#ifndef BURDOCKROCK_ENGINE_JOBS_UNSEEN_WORKERS_H_
#define BURDOCKROCK_ENGINE_JOBS_UNSEEN_WORKERS_H_

#include <string>
#include <vector>

#include "engine/context.h"
#include "engine/workers/upkeep_rule.h"

namespace burdockrock::engine {

// The list of workers was read anew after a gap in which workers may have been
// listed and removed again. Everything is asked anew.
void NoteUnseenWorkers(Context& context);

// Whether workers that this instance never saw in the list may run tasks.
bool MayMissWorkers(Context& context);

// Whether all workers that may run an adopted job's tasks are known. Once it is
// so, it stays so until the next registration or gap in the list, unless no
// list of machines could be read.
bool KnowsAllWorkers(Context& context);

// What is missing for that, for the log.
std::string DescribeUnknown(Context& context);

// Queries other members for workers that were never seen here.
// Called while no job recovers: what a member knows is lost when it stops.
void AskForUnseen(Context& context);

// Takes in what a member remembers of workers that have left the list.
void NoteReportOfUnseen(Context& context,
                        const std::string& from,
                        const AdoptReport& report);

// Adds what this instance remembers of workers for the member `to`, and whether
// that is all there are. If it isn't, AnswerOpenQueries reports again. Leaves
// out the workers of the last report, if its digest is `known`.
void AddRememberedWorkers(Context& context,
                          const std::string& to,
                          std::uint64_t known,
                          AdoptReport& report);

// The digest of the member's workers to name in queries to it; 0: none.
std::uint64_t KnownWorkersOf(Context& context, const std::string& member);

// Reports to the members whose queries came before this instance knew all
// workers, once it does.
void AnswerOpenQueries(Context& context);

// Whether the member has still to report what it remembers of workers, or that
// it has compared the machines.
bool AwaitsReportOfUnseen(const Context& context, const std::string& member);

// Whether this instance has compared the list of machines with that of workers
// since its registration, or has no need to, as it knows all workers. After a
// restart of all no member remembers workers that left the list before; one
// member finds them so, in an order given by hashing.
bool HasCompared(Context& context);

// Adds the listed workers that no member has claimed yet: they may have come
// back since the comparison, and the receiver may read the list later.
void AddUnclaimed(const State& state, std::vector<RememberedWorker>& workers);

// Whether the list of machines is to be requested for that now.
bool NeedsMachinesForUnseen(Context& context);

// Remembers the workers of the listed machines that are not in the list of
// workers. They are waited for until they are listed or their leases end.
void CompareMachines(Context& context,
                     const MachineList& machines,
                     Time requested_at);

// The list of machines could not be read. `refused`: for the rate of calls, so
// that another try soon is likely to succeed.
void OnMachinesUnread(Context& context, bool refused);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_JOBS_UNSEEN_WORKERS_H_
