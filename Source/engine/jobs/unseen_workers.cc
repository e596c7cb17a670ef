#include "engine/jobs/unseen_workers.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include <xxhash.h>

#include "engine/members/member_features.h"
#include "engine/members/membership.h"
#include "engine/records/watches.h"
#include "engine/workers/service_workers.h"
#include "engine/workers/worker_list.h"
#include "model/worker_incarnation.h"

namespace burdockrock::engine {

namespace {

constexpr const char* kComparison = "machines";

// All times from a reset: the registration, or a gap in the list of workers.
//
// Until the list of workers counts as settled. A worker whose entry lapsed in
// an outage of the store is listed again within about 2 s; until then an
// instance that has just started knows neither the worker nor what runs there.
constexpr Duration kListSettleTime = milliseconds(2300);
// Until the machines are listed, which takes a few calls. Most workers that
// return are listed again by then.
constexpr Duration kCompareAfter = milliseconds(1800);
// In which refused calls are tried again. Many members list machines after a
// restart of all.
constexpr Duration kRefusedFor = milliseconds(5000);
// How much later each next member compares the machines, if it has not heard
// that one before it has. Longer than a listing and the query after it take.
constexpr Duration kComparisonStep = milliseconds(1000);
// Time from the registration until the first query that serves no recovery.
// Members that registered at the same time are listed by then.
constexpr Duration kAskAfter = milliseconds(500);
// Between two queries that serve no recovery; a repeat, in case the query or
// its answer got lost.
constexpr Duration kAskInterval = milliseconds(3000);
// Between two checks of whether open queries can be answered.
constexpr Duration kAnswerInterval = milliseconds(200);
// How long reports share a list of workers.
constexpr Duration kListInterval = milliseconds(100);

// The reports since the last registration or gap in the list of workers;
// earlier ones don't count, as this instance may have missed workers that were
// listed and removed in between.
UnseenWorkers& UnseenNow(Context& context) {
  UnseenWorkers& unseen = context.state.unseen_workers;
  const Time registered_at = context.state.members.registered_at;
  if (unseen.reset_at < registered_at) {
    unseen = UnseenWorkers{.reset_at = registered_at};
  }
  return unseen;
}

bool HasPassedSinceReset(Context& context, Duration span) {
  return HasPassed(context.now, UnseenNow(context).reset_at, span);
}

// Whether a process of the worker is known, under any time of its start.
bool KnowsProcess(const State& state, const std::string& worker) {
  const std::string_view id = WorkerIdOf(worker);
  const auto it = state.workers.lower_bound(std::string(id));
  return it != state.workers.end() && WorkerIdOf(it->first) == id;
}

bool IsStandby(const Configuration& configuration, const std::string& pool) {
  return std::any_of(
      configuration.services.begin(), configuration.services.end(),
      [&](const ServicePolicy& it) { return it.name == pool && it.standby; });
}

bool IsMissing(const State& state, const Machine& machine) {
  const auto view = state.view.find(machine.worker);
  const bool lost = view != state.view.end() && view->second.lost;
  return machine.state == MachineState::kUp && !machine.worker.empty() &&
         !lost && !IsStandby(state.configuration, machine.pool) &&
         !KnowsProcess(state, machine.worker);
}

std::string ChosenToCompare(const State& state) {
  return ChooseMember(state, kComparison, {});
}

// Time from a reset until it is this instance's turn to compare. The
// members before it may be lost, or unable to list the machines.
Duration TimeToTurn(Context& context) {
  UnseenWorkers& unseen = UnseenNow(context);
  if (unseen.rank_version != context.state.members.version) {
    unseen.rank_version = context.state.members.version;
    unseen.rank = RankOfMember(context.state, kComparison, context.self());
  }
  return kComparisonStep * static_cast<std::int64_t>(unseen.rank);
}

// Whether the machines were compared here or at another member.
bool HasComparison(const UnseenWorkers& unseen) {
  return unseen.machines_compared || !unseen.compared_by.empty();
}

// The first member in the order always compares, the others while their jobs
// wait for that.
bool AwaitsComparison(Context& context) {
  const bool recovers = context.state.recovery.queried_at != Time::min();
  return IsRegistered(context.state) && MayMissWorkers(context) &&
         !HasComparison(UnseenNow(context)) &&
         !UnseenNow(context).machines_unread &&
         (recovers || TimeToTurn(context) == Duration(0));
}

// Whether a member announces a worker that is in no list here: the list is read
// at intervals, and the worker was listed or reported since.
bool HasUnlistedOwned(const State& state) {
  return std::any_of(state.view.begin(), state.view.end(), [&](const auto& it) {
    return !it.second.lost && FindWorker(state, it.first) == nullptr &&
           FindMember(state, it.second.owner) != nullptr;
  });
}

// Whether this or another member has compared: it has followed the list since,
// and names what it found. Where the machines can't be listed, nobody waits for
// it. An earlier release never says so.
bool IsCompared(Context& context) {
  const UnseenWorkers& unseen = UnseenNow(context);
  return HasComparison(unseen) || unseen.machines_unread ||
         !KnowsRelays(ChosenToCompare(context.state));
}

// Whether a member announces the worker as its own. Asked of all workers with
// each report, so that it uses what placement has looked up lately.
bool IsClaimed(const State& state,
               const std::string& id,
               const ListedWorker& worker) {
  const RoomView* view = worker.view;
  if (view == nullptr) {
    const auto it = state.view.find(id);
    view = it == state.view.end() ? nullptr : &it->second;
  }
  return view != nullptr && IsOwnerMember(state, *view);
}

std::uint64_t Extend(std::uint64_t digest, std::string_view text) {
  return XXH64(text.data(), text.size(), digest + text.size());
}

std::uint64_t DigestOf(const RememberedWorker& it) {
  std::uint64_t digest = it.draining ? 1 : 0;
  for (const std::string* text :
       {&it.worker, &it.address, &it.domain, &it.service}) {
    digest = Extend(digest, *text);
  }
  return digest;
}

RememberedWorker DescriptionOf(const std::string& id, const WorkerInfo& info) {
  return {.worker = id,
          .address = info.address,
          .domain = info.domain,
          .service = info.service,
          .draining = info.draining};
}

// `sorted` are the digests of all workers. 0 if there are none.
std::uint64_t DigestOf(const std::vector<std::uint64_t>& sorted) {
  constexpr int kDroppedBits = 11;  // the others are exact in JSON
  const std::size_t bytes = sorted.size() * sizeof(std::uint64_t);
  return sorted.empty()
             ? 0
             : XXH64(sorted.data(), bytes, sorted.size()) >> kDroppedBits;
}

std::shared_ptr<const ReportedWorkers> MakeList(Context& context,
                                                bool with_unclaimed) {
  State& state = context.state;
  auto list = std::make_shared<ReportedWorkers>(
      ReportedWorkers{.made_at = context.now,
                      .members_version = state.members.version,
                      .unlisted_version = state.unlisted_version});
  for (auto& [id, it] : state.workers) {
    const bool is_told = it.listed ? with_unclaimed && !IsClaimed(state, id, it)
                                   : MayRunTasks(state, id);
    if (!is_told) {
      continue;
    }
    list->workers.push_back(DescriptionOf(id, it.info));
    if (!it.description_digest) {
      it.description_digest = DigestOf(list->workers.back());
    }
    list->digests.push_back(*it.description_digest);
  }
  list->known = list->digests;
  std::sort(list->known.begin(), list->known.end());
  list->digest = DigestOf(list->known);
  return list;
}

// A worker that has left the list must be in the next report: the receiver may
// have read the list since. What is claimed meanwhile may be in it as well.
bool IsCurrent(const Context& context, const ReportedWorkers& list) {
  return list.members_version == context.state.members.version &&
         list.unlisted_version == context.state.unlisted_version &&
         !HasPassed(context.now, list.made_at, kListInterval);
}

std::shared_ptr<const ReportedWorkers> ListToReport(Context& context,
                                                    bool with_unclaimed) {
  auto& list = UnseenNow(context).reported[with_unclaimed];
  if (!list || !IsCurrent(context, *list)) {
    list = MakeList(context, with_unclaimed);
  }
  return list;
}

// The receiver has read the last report if it names its digest.
void AddList(const std::shared_ptr<const ReportedWorkers>& list,
             std::shared_ptr<const ReportedWorkers>& told,
             std::uint64_t known,
             AdoptReport& report) {
  const bool leaves_out = told && known != 0 && known == told->digest;
  report.workers_digest = list->digest;
  if (!leaves_out) {
    report.remembered = list->workers;
  } else if (told->digest != list->digest) {
    for (std::size_t it = 0; it < list->workers.size(); ++it) {
      if (!std::binary_search(told->known.begin(), told->known.end(),
                              list->digests[it])) {
        report.remembered.push_back(list->workers[it]);
      }
    }
  }
  told = list;
}

std::vector<std::string> MembersWithoutReport(Context& context) {
  std::vector<std::string> missing = OtherMembers(context);
  std::erase_if(missing, [&](const std::string& it) {
    return UnseenNow(context).reported_by.contains(it);
  });
  return missing;
}

// The next of the other members in turn; empty if there is none.
std::string NextToAsk(Context& context) {
  const std::vector<std::string> others = OtherMembers(context);
  if (others.empty()) {
    return {};
  }
  std::string& last = context.state.unseen_workers.last_asked;
  const auto next = std::upper_bound(others.begin(), others.end(), last);
  last = next == others.end() ? others.front() : *next;
  return last;
}

// The first member in the order queries all, so that it knows all workers soon.
// The others query that one, and one more in turn in case it can't be reached.
std::set<std::string> MembersToAsk(Context& context) {
  std::set<std::string> members;
  if (TimeToTurn(context) == Duration(0)) {
    const std::vector<std::string> missing = MembersWithoutReport(context);
    members.insert(missing.begin(), missing.end());
  } else {
    members.insert(ChosenToCompare(context.state));
  }
  members.insert(NextToAsk(context));
  members.erase(std::string());
  members.erase(context.self());
  return members;
}

}  // namespace

void NoteUnseenWorkers(Context& context) {
  UnseenWorkers& unseen = context.state.unseen_workers;
  unseen = UnseenWorkers{.reset_at = context.now,
                         .askers = std::move(unseen.askers)};
}

bool MayMissWorkers(Context& context) {
  return !UnseenNow(context).knows_all &&
         !HasPassedSinceReset(context, kUnlistedWorkerKeptFor);
}

bool KnowsAllWorkers(Context& context) {
  if (!ListsAreRead(context.state)) {
    return false;
  }
  if (!MayMissWorkers(context)) {
    return true;
  }
  const bool knows =
      HasPassedSinceReset(context, kListSettleTime) && IsCompared(context) &&
      MembersWithoutReport(context).empty() && !HasUnlistedOwned(context.state);
  // A member that registers later may remember a worker that no list of
  // machines has shown.
  UnseenWorkers& unseen = UnseenNow(context);
  unseen.knows_all =
      knows && (HasComparison(unseen) || !unseen.machines_unread);
  return knows;
}

std::string DescribeUnknown(Context& context) {
  if (!ListsAreRead(context.state) || !MayMissWorkers(context)) {
    return {};
  }
  std::string text;
  const auto add = [&](std::string_view what) {
    text += (text.empty() ? "" : " ");
    text += what;
  };
  if (!HasPassedSinceReset(context, kListSettleTime)) {
    add("settling");
  }
  if (!IsCompared(context)) {
    add("comparison@" + ChosenToCompare(context.state));
  }
  const std::vector<std::string> missing = MembersWithoutReport(context);
  if (!missing.empty()) {
    add("report@" + missing.front());
  }
  if (HasUnlistedOwned(context.state)) {
    add("unlisted");
  }
  return text;
}

void AskForUnseen(Context& context) {
  UnseenWorkers& unseen = UnseenNow(context);
  if (!IsRegistered(context.state) || context.state.stop.requested ||
      !HasPassedSinceReset(context, kAskAfter) ||
      !HasPassed(context.now, unseen.asked_at, kAskInterval) ||
      !ListsAreRead(context.state)) {
    return;
  }
  unseen.asked_at = context.now;
  if (KnowsAllWorkers(context) && !MayMissWorkers(context)) {
    return;
  }
  for (const std::string& it : MembersToAsk(context)) {
    Send(context, it,
         AdoptQuery{.wants_workers = true,
                    .known_workers = KnownWorkersOf(context, it)});
  }
}

std::uint64_t KnownWorkersOf(Context& context, const std::string& member) {
  const auto& lists = UnseenNow(context).lists_read;
  const auto it = lists.find(member);
  return it == lists.end() ? 0 : it->second;
}

void NoteReportOfUnseen(Context& context,
                        const std::string& from,
                        const AdoptReport& report) {
  // A worker that is removed after the report and before the list is read here
  // is in neither.
  if (!ListsAreRead(context.state)) {
    return;
  }
  UnseenWorkers& unseen = UnseenNow(context);
  unseen.reported_by.insert(from);
  if (report.workers_digest != 0) {
    unseen.lists_read[from] = report.workers_digest;
  }
  if (report.machines_compared) {
    unseen.compared_by.insert(from);
  }
  unseen.machines_unread = unseen.machines_unread || report.machines_unread;
  if (report.all_remembered) {
    unseen.knows_all = true;
    unseen.askers.erase(from);
  }
}

void AddRememberedWorkers(Context& context,
                          const std::string& to,
                          std::uint64_t known,
                          AdoptReport& report) {
  const bool follows = FollowsWorkerList(context);
  report.all_remembered = follows && !MayMissWorkers(context);
  report.machines_compared = KnowsRelays(to) && follows && HasCompared(context);
  report.machines_unread = follows && !report.machines_compared &&
                           UnseenNow(context).machines_unread;
  AddList(
      ListToReport(context, report.machines_compared || report.machines_unread),
      UnseenNow(context).told[to], known, report);
  if (!report.all_remembered && to != context.self()) {
    UnseenNow(context).askers.insert(to);
  }
}

void AnswerOpenQueries(Context& context) {
  UnseenWorkers& unseen = UnseenNow(context);
  if (unseen.askers.empty() ||
      !HasPassed(context.now, unseen.answer_checked_at, kAnswerInterval)) {
    return;
  }
  unseen.answer_checked_at = context.now;
  if (!FollowsWorkerList(context) || !KnowsAllWorkers(context) ||
      MayMissWorkers(context)) {
    return;
  }
  for (const std::string& it : std::exchange(unseen.askers, {})) {
    if (FindMember(context.state, it) != nullptr) {
      AdoptReport report;
      AddRememberedWorkers(context, it, 0, report);
      Send(context, it, std::move(report));
    }
  }
}

bool AwaitsReportOfUnseen(const Context& context, const std::string& member) {
  const UnseenWorkers& unseen = context.state.unseen_workers;
  const bool compares = KnowsRelays(member) &&
                        ChosenToCompare(context.state) == member &&
                        !unseen.compared_by.contains(member);
  return !unseen.reported_by.contains(member) || compares;
}

bool HasCompared(Context& context) {
  return UnseenNow(context).machines_compared || !MayMissWorkers(context);
}

void AddUnclaimed(const State& state, std::vector<RememberedWorker>& workers) {
  for (const auto& [id, it] : state.workers) {
    if (it.listed && !IsClaimed(state, id, it)) {
      workers.push_back(DescriptionOf(id, it.info));
    }
  }
}

bool NeedsMachinesForUnseen(Context& context) {
  return ListsAreRead(context.state) && AwaitsComparison(context) &&
         HasPassedSinceReset(context, kCompareAfter + TimeToTurn(context));
}

void CompareMachines(Context& context,
                     const MachineList& machines,
                     Time requested_at) {
  if (!AwaitsComparison(context) ||
      requested_at < UnseenNow(context).reset_at + kCompareAfter) {
    return;
  }
  UnseenNow(context).machines_compared = true;
  std::vector<RememberedWorker> missing;
  for (const auto& [name, it] : machines) {
    if (IsMissing(context.state, it)) {
      missing.push_back(
          {.worker = it.worker, .domain = it.domain, .service = it.pool});
      context.Log(EventNumber::kWorkerRemoved,
                  {{"worker", it.worker}, {"machine", name}});
    }
  }
  OnWorkersRemembered(context, missing);
}

void OnMachinesUnread(Context& context, bool refused) {
  const Duration limit = refused ? kRefusedFor : kListSettleTime;
  if (AwaitsComparison(context) &&
      HasPassedSinceReset(context, limit + TimeToTurn(context))) {
    UnseenNow(context).machines_unread = true;
  }
}

}  // namespace burdockrock::engine
