// Failures of groups of workers: a rack or a failure domain whose workers crash
// at one moment. Such a crash says little about the tasks that ran there.
#ifndef BURDOCKROCK_ENGINE_WORKERS_GROUP_FAILURES_H_
#define BURDOCKROCK_ENGINE_WORKERS_GROUP_FAILURES_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/time.h"

namespace burdockrock::engine {

struct Context;
struct CrashSite;
struct OwnedWorker;
struct State;
struct WorkerInfo;

// A crash of a worker, as far as members have told each other.
struct KnownCrash {
  std::string domain{};
  std::string rack{};
  std::string service{};
  Time alive{0};  // last known to be alive
  Time dead{0};   // first known not to be
  Time since{0};  // when it became known here
};

// Workers of one group that may have crashed at one moment.
struct GroupFailure {
  std::string group{};
  Time moment{0};
  Time since{0};  // when the last of the crashes became known here
  std::set<std::string> workers{};
};

struct GroupFailures {
  std::map<std::string, KnownCrash> crashes{};  // by worker
  std::vector<GroupFailure> failures{};
  std::map<std::string, std::size_t> failure_of{};  // by worker
  bool stale = false;  // `crashes` has changed since `failures` was computed
  // Largest number of workers of each group since the first of the crashes.
  std::map<std::string, std::size_t> sizes{};
  Time counted_at = Time::min();
};

// The crash of an owned worker.
KnownCrash CrashOf(const OwnedWorker& worker, Time now);

void AddCrash(Context& context,
              const std::string& worker,
              const KnownCrash& crash);
void AddCrashSite(Context& context, const CrashSite& site);

// A crash that is known here, as it is told to members.
CrashSite CrashSiteToTell(const Context& context,
                          const std::string& worker,
                          const KnownCrash& crash);

// Computes the failures anew, as due, and forgets old crashes.
void DriveGroupFailures(Context& context);

// The failure of a group that the worker's crash is part of; null: none.
const GroupFailure* FindGroupFailure(const State& state,
                                     const std::string& worker);

// Whether the worker is in the group that failed.
bool IsInGroup(const GroupFailure& failure, const WorkerInfo& worker);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_GROUP_FAILURES_H_
