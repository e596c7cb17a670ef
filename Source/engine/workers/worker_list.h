// The platform's list of workers, as read from the store, and the workers that
// have left it and may still run tasks.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_LIST_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_LIST_H_

#include "engine/context.h"

namespace burdockrock::engine {

void OnWorkerItem(Context& context, const StoreItem& item);
void OnWorkerRemoved(Context& context, const std::string& key);

// Forgets workers that left the list more than kUnlistedWorkerKeptFor ago,
// except those that this instance owns.
void DriveWorkerList(Context& context);

// The incarnation of the worker with this id that the store lists; the id
// itself if it lists none.
std::string ListedIncarnation(const State& state, const std::string& id);

// Null when the worker is not known, or no longer known.
const ListedWorker* FindWorker(const State& state, const std::string& id);

// Whether tasks may run there: the worker is known and not reported as lost.
// The table of workers alone does not tell: a lost worker is added to it again
// when the list is reread before its entry expires, and stays for
// kUnlistedWorkerKeptFor.
bool MayRunTasks(const State& state, const std::string& worker);

// A description of a worker that left the list, for a member that may not know
// it. Nothing when the worker is listed.
std::optional<RememberedWorker> RememberedFor(const State& state,
                                              const std::string& worker);

// All workers that left the list and may still run tasks.
std::vector<RememberedWorker> AllRemembered(const State& state);

// Whether the list of workers is read and its recent changes are known.
bool FollowsWorkerList(const Context& context);

// Whether workers may have been listed and removed again since the last known
// change of the list.
bool MayHaveMissedWorkers(const Context& context);

// Adds workers that a member remembers and this instance may not know.
void OnWorkersRemembered(Context& context,
                         const std::vector<RememberedWorker>& workers);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_LIST_H_
