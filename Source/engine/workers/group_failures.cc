#include "engine/workers/group_failures.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include "engine/context.h"

namespace burdockrock::engine {

namespace {

// Fewer workers are no group failure.
constexpr std::size_t kMinGroupFailure = 3;
// Delays of messages and replies make moments that far uncertain.
constexpr Duration kMomentSlack = milliseconds(200);
// Between two counts of the groups' workers.
constexpr Duration kCountInterval = milliseconds(1000);
// A crashed worker whose owner has never heard of it was alive that long ago at
// the earliest.
constexpr Duration kLongestUnheard = milliseconds(15'000);

using Crash = std::pair<const std::string, KnownCrash>;

// The rack and the domain of a worker, or its service if it has no domain. A
// service that fails as a whole does so in each of its domains.
std::array<std::string, 2> GroupsOf(const std::string& domain,
                                    const std::string& rack,
                                    const std::string& service) {
  std::array<std::string, 2> groups;
  groups[0] = rack.empty() ? rack : "rack/" + domain + "/" + rack;
  groups[1] = domain.empty() ? "service/" + service : "domain/" + domain;
  return groups;
}

void CountGroups(Context& context, GroupFailures& known) {
  if (!HasPassed(context.now, known.counted_at, kCountInterval)) {
    return;
  }
  known.counted_at = context.now;
  std::map<std::string, std::size_t> sizes;
  for (const auto& [id, worker] : context.state.workers) {
    if (!worker.listed) {
      continue;
    }
    const WorkerInfo& info = worker.info;
    for (const std::string& it :
         GroupsOf(info.domain, info.rack(), info.service)) {
      ++sizes[it];
    }
  }
  for (const auto& [group, size] : sizes) {
    known.sizes[group] = std::max(known.sizes[group], size);
  }
}

// Removes the largest set of crashes with a moment at which each of them may
// have happened, and returns it.
GroupFailure TakeLargest(std::vector<const Crash*>& crashes) {
  std::vector<std::pair<Time, int>> bounds;
  for (const Crash* it : crashes) {
    bounds.emplace_back(it->second.alive - kMomentSlack, 0);
    bounds.emplace_back(it->second.dead + kMomentSlack, 1);
  }
  std::sort(bounds.begin(), bounds.end());
  std::size_t open = 0;
  std::size_t most = 0;
  GroupFailure failure;
  for (const auto& [at, ends] : bounds) {
    open = ends == 0 ? open + 1 : open - 1;
    if (open > most) {
      most = open;
      failure.moment = at;
    }
  }
  std::erase_if(crashes, [&](const Crash* it) {
    const KnownCrash& crash = it->second;
    const bool fits = crash.alive - kMomentSlack <= failure.moment &&
                      failure.moment <= crash.dead + kMomentSlack;
    if (fits) {
      failure.workers.insert(it->first);
      failure.since = std::max(failure.since, crash.since);
    }
    return fits;
  });
  return failure;
}

// Adds the failures of one group.
void AddFailures(const std::string& group,
                 std::vector<const Crash*> crashes,
                 std::size_t size,
                 GroupFailures& known) {
  while (crashes.size() >= kMinGroupFailure) {
    GroupFailure failure = TakeLargest(crashes);
    if (failure.workers.size() < kMinGroupFailure ||
        2 * failure.workers.size() < size) {
      return;
    }
    failure.group = group;
    const std::size_t number = known.failures.size();
    known.failures.push_back(std::move(failure));
    const auto& workers = known.failures.back().workers;
    for (const std::string& it : workers) {
      const auto [of, is_first] = known.failure_of.try_emplace(it, number);
      if (!is_first &&
          known.failures[of->second].workers.size() < workers.size()) {
        of->second = number;
      }
    }
  }
}

void Compute(Context& context, GroupFailures& known) {
  CountGroups(context, known);
  known.failures.clear();
  known.failure_of.clear();
  std::map<std::string, std::vector<const Crash*>> groups;
  for (const Crash& it : known.crashes) {
    for (std::string& group :
         GroupsOf(it.second.domain, it.second.rack, it.second.service)) {
      if (!group.empty()) {
        groups[std::move(group)].push_back(&it);
      }
    }
  }
  for (auto& [group, crashes] : groups) {
    AddFailures(group, std::move(crashes), known.sizes[group], known);
  }
}

}  // namespace

KnownCrash CrashOf(const OwnedWorker& worker, Time now) {
  Time alive = std::max(worker.last_reply_at, now - kLongestUnheard);
  for (const auto& [task, run] : worker.runs) {
    alive = std::max(alive, run.confirmed);
  }
  const Time dead = worker.unanswered_at > alive ? worker.unanswered_at : now;
  return {.domain = worker.info.domain,
          .rack = worker.info.rack(),
          .service = worker.info.service,
          .alive = alive,
          .dead = dead};
}

void AddCrash(Context& context,
              const std::string& worker,
              const KnownCrash& crash) {
  GroupFailures& known = context.state.group_failures;
  const auto [it, is_new] = known.crashes.try_emplace(worker, crash);
  if (is_new) {
    it->second.since = context.now;
    known.stale = true;
  }
}

void AddCrashSite(Context& context, const CrashSite& site) {
  AddCrash(context, site.worker,
           {.domain = site.domain,
            .rack = site.rack,
            .service = site.service,
            .alive = context.now - site.alive_ago,
            .dead = context.now - site.dead_ago});
}

CrashSite CrashSiteToTell(const Context& context,
                          const std::string& worker,
                          const KnownCrash& crash) {
  return {.worker = worker,
          .domain = crash.domain,
          .rack = crash.rack,
          .service = crash.service,
          .alive_ago = context.now - crash.alive,
          .dead_ago = context.now - crash.dead};
}

void DriveGroupFailures(Context& context) {
  GroupFailures& known = context.state.group_failures;
  if (known.crashes.empty()) {
    return;
  }
  const std::size_t forgotten =
      std::erase_if(known.crashes, [&](const auto& it) {
        return HasPassed(context.now, it.second.since, kCrashReportedFor);
      });
  if (known.crashes.empty()) {
    known = GroupFailures();
    return;
  }
  if (std::exchange(known.stale, false) || forgotten > 0) {
    Compute(context, known);
  }
}

const GroupFailure* FindGroupFailure(const State& state,
                                     const std::string& worker) {
  const GroupFailures& known = state.group_failures;
  const auto it = known.failure_of.find(worker);
  return it == known.failure_of.end() ? nullptr : &known.failures[it->second];
}

bool IsInGroup(const GroupFailure& failure, const WorkerInfo& worker) {
  const auto groups = GroupsOf(worker.domain, worker.rack(), worker.service);
  return std::find(groups.begin(), groups.end(), failure.group) != groups.end();
}

}  // namespace burdockrock::engine
