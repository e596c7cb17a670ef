// Tests of the watches on the lists in the store.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "engine/jobs/unseen_workers.h"
#include "engine/members/membership.h"
#include "engine/records/record.h"
#include "engine/records/watches.h"
#include "engine/reducer.h"

namespace burdockrock::engine {

namespace {

using std::chrono::seconds;

// Feeds the watch of workers. A worker's entry is "N" or "N draining", where N
// is the number of its heartbeat.
struct Follower {
  Follower() {
    EngineOptions options;
    options.documents.decode_worker =
        [this](
            std::string_view id,
            std::string_view text) -> std::variant<WorkerInfo, DocumentFault> {
      ++decoded;
      return WorkerInfo{.id = std::string(id),
                        .address = std::string(id),
                        .draining = text.ends_with("draining")};
    };
    options.documents.is_heartbeat = [](std::string_view before,
                                        std::string_view now) {
      return !before.empty() &&
             before.ends_with("draining") == now.ends_with("draining");
    };
    state = MakeState(std::move(options));
  }

  void Answer(StoreDone done) {
    Effects effects;
    Context context{
        .state = state, .effects = effects, .now = seconds(1000), .wall_ms = 0};
    OnWatchAnswer(context, WatchedList::kWorkers, done);
  }
  void PutEntry(const std::string& text) {
    Answer({.items = {{.key = "worker/w1", .value = text, .revision = ++last}},
            .revision = last});
  }

  int decoded = 0;
  std::uint64_t last = 1;
  State state{};
};

// Feeds the watch of members and the reads beside it.
struct MemberFollower {
  MemberFollower() : state(MakeState({})) { Watched({.revision = 90}); }

  static StoreItem Entry(std::uint64_t revision) {
    return {.key = MemberKey("m1"),
            .value = EncodeMember({.incarnation = "m1", .node = "m1"}),
            .revision = revision};
  }
  void Watched(StoreDone done) {
    Effects effects;
    Context context{
        .state = state, .effects = effects, .now = seconds(1000), .wall_ms = 0};
    OnWatchAnswer(context, WatchedList::kMembers, done);
  }
  void Read(StoreDone done) {
    Effects effects;
    Context context{
        .state = state, .effects = effects, .now = seconds(1000), .wall_ms = 0};
    RequestMembers(context);
    OnMembersRead(context, done);
  }
  bool HasMember() const { return state.members.present.contains("m1"); }

  State state;
};

}  // namespace

// Guards against needless decoding: on a site with 350 workers, each of 30
// instances decoded 233 entries per second in which only the heartbeat's number
// had changed.
TEST_CASE(
    "A worker's entry is decoded only if more than its heartbeat changed") {
  Follower follower;
  follower.PutEntry("1");
  CHECK(follower.decoded == 1);
  follower.PutEntry("2");
  follower.PutEntry("3");
  CHECK(follower.decoded == 1);
  follower.PutEntry("4 draining");
  CHECK(follower.decoded == 2);
  CHECK(follower.state.workers.at("w1").info.draining);
  follower.PutEntry("5 draining");
  CHECK(follower.decoded == 2);
}

// A worker that could not reach the store for a while is removed from the list
// and then writes the same entry as before. It must not be taken for a
// heartbeat and ignored.
TEST_CASE("A worker that returns with the same entry is listed again") {
  Follower follower;
  follower.PutEntry("1");
  follower.Answer(
      {.removed = {{.key = "worker/w1", .revision = 2}}, .revision = 2});
  CHECK_FALSE(follower.state.workers.at("w1").listed);
  follower.PutEntry("2");
  CHECK(follower.state.workers.at("w1").listed);
  follower.state.workers.erase("w1");  // declared lost
  follower.PutEntry("3");
  CHECK(follower.state.workers.contains("w1"));
  CHECK(follower.decoded == 3);
}

// Guards against a member that stays in the list for ever, is chosen as an
// owner and is waited for: a read of the list that was answered before its
// removal arrives after the watch has told of that.
TEST_CASE("A late read of the members does not undo a removal") {
  State state = MakeState({});
  Effects effects;
  Context context{
      .state = state, .effects = effects, .now = seconds(1000), .wall_ms = 0};
  const StoreItem item{
      .key = std::string(kMemberPrefix) + "n1-1",
      .value = EncodeMember({.incarnation = "n1-1", .node = "n1"}),
      .revision = 5};
  OnWatchAnswer(context, WatchedList::kMembers,
                StoreDone{.items = {item}, .revision = 5});
  REQUIRE(state.members.present.contains("n1-1"));
  OnWatchAnswer(
      context, WatchedList::kMembers,
      StoreDone{.removed = {{.key = item.key, .revision = 6}}, .revision = 6});
  OnMembersRead(context, StoreDone{.items = {item}, .revision = 5});
  CHECK_FALSE(state.members.present.contains("n1-1"));
  CHECK(state.members.departed.contains("n1-1"));
}

// Guards against a worker that is declared lost while a member renews its
// leases that came, claimed it and went between two answers of the watch.
TEST_CASE("Workers of a member that came and went in one answer are doubted") {
  EngineOptions options;
  options.self = {.incarnation = "n0-1", .node = "n0"};
  State state = MakeState(std::move(options));
  Effects effects;
  Context context{
      .state = state, .effects = effects, .now = seconds(1000), .wall_ms = 0};
  const auto item_of = [](const std::string& node, std::uint64_t revision) {
    return StoreItem{
        .key = std::string(kMemberPrefix) + node + "-1",
        .value = EncodeMember({.incarnation = node + "-1", .node = node}),
        .revision = revision};
  };
  OnWatchAnswer(context, WatchedList::kMembers,
                StoreDone{.items = {item_of("n0", 5)}, .revision = 5});
  for (int it = 0; it < 20; ++it) {
    state.owned["w" + std::to_string(it)] = {.claimed = true};
  }
  const StoreItem other = item_of("n1", 6);
  OnWatchAnswer(context, WatchedList::kMembers,
                StoreDone{.items = {other},
                          .removed = {{.key = other.key, .revision = 7}},
                          .revision = 7});
  CHECK_FALSE(state.members.present.contains("n1-1"));
  const auto doubted = std::count_if(
      state.owned.begin(), state.owned.end(), [&](const auto& it) {
        return it.second.unverified && it.second.foreign_bound > context.now;
      });
  CHECK(doubted > 0);
  CHECK(doubted < 20);
}

// Guards against an adopter that takes tasks for lost which run at a worker
// that was listed and removed while the changes of the list were not known:
// what the members remember counts as known since the registration.
TEST_CASE("Unseen workers are asked for anew after a gap in the list") {
  for (const Duration gap : {seconds(1), seconds(10)}) {
    CAPTURE(ToMilliseconds(gap));
    State state = MakeState({});
    const auto answer = [&](Time now, const StoreAnswer& it) {
      Effects effects;
      Context context{
          .state = state, .effects = effects, .now = now, .wall_ms = 0};
      OnWatchAnswer(context, WatchedList::kWorkers, it);
      return MayMissWorkers(context);
    };
    const Time start = seconds(1000);
    state.members.registered_at = seconds(900);
    CHECK_FALSE(answer(start, StoreDone{.revision = 2}));
    CHECK_FALSE(answer(start, StoreDone{.revision = 3}));
    CHECK_FALSE(answer(start + gap, StoreAbsent{}));
    const bool missed = answer(start + gap, StoreDone{.revision = 9});
    CHECK(missed == (gap > seconds(3)));
  }
}

// Guards against a member that departs, for this instance alone, because a
// watch tells late of a removal that was followed by its return.
TEST_CASE("A late removal leaves a member that was read as registered again") {
  MemberFollower follower;
  follower.Watched({.items = {MemberFollower::Entry(95)}, .revision = 95});
  follower.Read({.items = {MemberFollower::Entry(105)}, .revision = 105});
  follower.Watched({.removed = {{.key = MemberKey("m1"), .revision = 100}},
                    .revision = 100});
  CHECK(follower.HasMember());
  CHECK(follower.state.members.departed.empty());
  follower.Watched({.removed = {{.key = MemberKey("m1"), .revision = 110}},
                    .revision = 110});
  CHECK_FALSE(follower.HasMember());
}

// Guards against an instance that takes an old entry of its own for its next
// registration.
TEST_CASE("A late entry of its own registers no instance again") {
  MemberFollower follower;
  MembersState& members = follower.state.members;
  follower.state.options.self.incarnation = "m1";
  follower.Watched({.items = {MemberFollower::Entry(95)}, .revision = 95});
  REQUIRE(members.fence == 95);
  Effects effects;
  Context context{.state = follower.state,
                  .effects = effects,
                  .now = seconds(1000),
                  .wall_ms = 0};
  LoseRegistration(context, "lease ended");
  follower.Read({.items = {MemberFollower::Entry(95)}, .revision = 100});
  CHECK(members.fence == 0);
  CHECK_FALSE(follower.HasMember());
  follower.Watched({.items = {MemberFollower::Entry(105)}, .revision = 105});
  CHECK(members.fence == 105);
}

// Guards against an instance that takes the late reply to a write of a
// registration that has ended for its next one, also while it writes that.
TEST_CASE("A late reply to a fence write registers no instance again") {
  MemberFollower follower;
  MembersState& members = follower.state.members;
  follower.state.options.self.incarnation = "m1";
  follower.Watched({.items = {MemberFollower::Entry(95)}, .revision = 95});
  Effects effects;
  Context context{.state = follower.state,
                  .effects = effects,
                  .now = seconds(1000),
                  .wall_ms = 0};
  members.advancing_fence = true;
  std::uint64_t before = members.registration;
  LoseRegistration(context, "lease ended");
  OnFenceAdvanced(context, before, StoreDone{.revision = 110});
  CHECK(members.fence == 0);
  members.advancing_fence = true;
  OnFenceAdvanced(context, before, StoreDone{.revision = 110});
  CHECK(members.fence == 0);
  members.registering = true;
  members.lease = 1;
  before = members.registration;
  LoseRegistration(context, "lease ended");
  OnRegistered(context, before, StoreDone{.revision = 120});
  CHECK(members.fence == 0);
  members.registering = true;
  OnRegistered(context, before, StoreDone{.revision = 120});
  CHECK(members.fence == 0);
  OnRegistered(context, members.registration, StoreDone{.revision = 130});
  CHECK(members.fence == 130);
}

// Guards against a member that is back for this instance alone, because a watch
// tells late of an entry that a read has found gone.
TEST_CASE("A late entry brings back no member that was read as gone") {
  MemberFollower follower;
  follower.Watched({.items = {MemberFollower::Entry(95)}, .revision = 95});
  follower.Read({.revision = 105});
  REQUIRE_FALSE(follower.HasMember());
  follower.Watched({.items = {MemberFollower::Entry(98)}, .revision = 98});
  CHECK_FALSE(follower.HasMember());
  follower.Watched({.items = {MemberFollower::Entry(110)}, .revision = 110});
  CHECK(follower.HasMember());
}

}  // namespace burdockrock::engine
