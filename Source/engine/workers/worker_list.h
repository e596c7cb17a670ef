// The platform's list of workers.
#ifndef BURDOCKROCK_ENGINE_WORKERS_WORKER_LIST_H_
#define BURDOCKROCK_ENGINE_WORKERS_WORKER_LIST_H_

#include "engine/context.h"

namespace burdockrock::engine {

void OnWorkerItem(Context& context, const StoreItem& item);
void OnWorkerRemoved(Context& context, const std::string& key);

// Forgets workers that left the list long ago.
void DriveWorkerList(Context& context);

// Null when it is not known (any more).
const ListedWorker* FindWorker(const State& state, const std::string& id);

// Something may run there: the worker is known, and no end of it was reported.
// The table alone is not enough: an ended worker comes back into it when the
// list is read anew before its entry lapses, and stays for
// kUnlistedWorkerKeptFor.
bool MayRunTasks(const State& state, const std::string& worker);

// What to tell of a worker that left the list to a member that may not know it;
// nothing when it is listed.
std::optional<RememberedWorker> RememberedFor(const State& state,
                                              const std::string& worker);

// All workers that left the list and where something may run.
std::vector<RememberedWorker> AllRemembered(const State& state);

// With the store's list they are all: this instance has followed it for as long
// as a worker is remembered.
bool RemembersAll(const Context& context);

// Workers that a member remembers and that this instance may not have seen.
void OnWorkersRemembered(Context& context,
                         const std::vector<RememberedWorker>& workers);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_WORKER_LIST_H_
