#include "standin/platform_store.h"

#include <string>

#include <doctest/doctest.h>

namespace burdockrock::standin {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Revision RevisionOf(const PlatformResult& result) {
  const auto* done = std::get_if<KvDone>(&result);
  REQUIRE(done != nullptr);
  return done->revision;
}

KvItems ItemsOf(const PlatformResult& result) {
  const auto* items = std::get_if<KvItems>(&result);
  REQUIRE(items != nullptr);
  return *items;
}

KvPut AnyPut(const std::string& key, const std::string& value) {
  return {.key = key, .value = value, .expect = std::nullopt};
}

InstanceInfo Worker(const std::string& id) {
  InstanceInfo instance;
  instance.id = id;
  return instance;
}

}  // namespace

TEST_CASE("A put with an expected revision changes only that revision") {
  PlatformStore store({});
  const Revision first = RevisionOf(
      store.Apply(KvPut{.key = "k", .value = "a", .expect = 0}, Time(0)));
  CHECK(store.Apply(KvPut{.key = "k", .value = "b", .expect = 0}, Time(0)) ==
        PlatformResult(KvConflict{.revision = first}));
  const Revision second = RevisionOf(
      store.Apply(KvPut{.key = "k", .value = "b", .expect = first}, Time(0)));
  CHECK(second > first);
  CHECK(store.Apply(KvDelete{.key = "k", .expect = first}, Time(0)) ==
        PlatformResult(KvConflict{.revision = second}));
  RevisionOf(store.Apply(KvDelete{.key = "k", .expect = second}, Time(0)));
  CHECK(store.Apply(KvGet{.key = "k"}, Time(0)) == PlatformResult(KvMissing{}));
  CHECK(store.Apply(KvPut{.key = "k", .value = "c", .expect = second},
                    Time(0)) == PlatformResult(KvConflict{.revision = 0}));
}

TEST_CASE("A value over the limit is refused and nothing is written") {
  PlatformStore store({});
  RevisionOf(store.Apply(AnyPut("k", std::string(kMaxPlatformValueBytes, 'x')),
                         Time(0)));
  CHECK(store.Apply(AnyPut("l", std::string(kMaxPlatformValueBytes + 1, 'x')),
                    Time(0)) == PlatformResult(KvTooLarge{}));
  CHECK(ItemsOf(store.Apply(KvRange{.prefix = ""}, Time(0))).items.size() == 1);
}

// Symptom: a writer that repeats an unanswered put finds a conflict with
// itself.
// Events: the put takes effect; its answer is lost; the writer reads back.
// Cause: no answer does not mean no effect.
TEST_CASE("A write whose answer is lost has taken effect") {
  PlatformStore store({});
  store.faults().lose_answers = 1;
  const KvPut put{.key = "k", .value = "a", .expect = 0};
  const PlatformResult lost = store.Apply(put, Time(0));
  REQUIRE(std::holds_alternative<PlatformUnavailable>(lost));
  CHECK(std::get<PlatformUnavailable>(lost).may_have_taken_effect);
  CHECK(ItemsOf(store.Apply(KvGet{.key = "k"}, Time(0))).items.front().value ==
        "a");
  CHECK(std::holds_alternative<KvConflict>(store.Apply(put, Time(0))));
}

TEST_CASE("A platform that is down or refuses changes nothing") {
  PlatformStore store({});
  store.faults().down = true;
  const KvPut put = AnyPut("k", "a");
  CHECK(std::get<PlatformUnavailable>(store.Apply(put, Time(0)))
            .may_have_taken_effect);
  store.faults() = {.refuse = true};
  CHECK_FALSE(std::get<PlatformUnavailable>(store.Apply(put, Time(0)))
                  .may_have_taken_effect);
  store.faults() = {.max_writes_per_second = 1};
  RevisionOf(store.Apply(put, seconds(1)));
  CHECK_FALSE(std::get<PlatformUnavailable>(store.Apply(put, seconds(1)))
                  .may_have_taken_effect);
  RevisionOf(store.Apply(put, seconds(2)));
  CHECK(store.revision() == 2);
}

TEST_CASE("A watch tells what changed below its prefix, deletions too") {
  PlatformStore store({});
  store.Apply(AnyPut("log/a", "1"), Time(0));
  const Revision seen = store.revision();
  const KvWatch watch{.prefix = "log/", .after = seen, .wait = seconds(1)};
  CHECK_FALSE(store.TryWatch(watch));
  store.Apply(AnyPut("config/current", "1"), Time(0));
  CHECK_FALSE(store.TryWatch(watch));
  store.Apply(AnyPut("log/b", "2"), Time(0));
  store.Apply(AnyPut("log/b", "3"), Time(0));
  store.Apply(KvDelete{.key = "log/a", .expect = {}}, Time(0));
  const KvItems news = ItemsOf(store.Apply(watch, Time(0)));
  REQUIRE(news.items.size() == 2);
  CHECK(news.items[0].key == "log/a");
  CHECK(news.items[0].deleted);
  CHECK(news.items[1].value == "3");
  CHECK(news.revision == store.revision());
  CHECK(store.calls().Of(CallKind::kWatch).total == 1);
}

TEST_CASE("A watch after a revision that was dropped gets the whole range") {
  PlatformStore store({.max_history = 2});
  for (const char* key : {"a", "b", "c", "d"}) {
    store.Apply(AnyPut(key, key), Time(0));
  }
  const KvWatch old{.prefix = "", .after = 1, .wait = seconds(1)};
  CHECK(ItemsOf(*store.TryWatch(old)).items.size() == 4);
  const KvWatch recent{.prefix = "", .after = 2, .wait = seconds(1)};
  CHECK(ItemsOf(*store.TryWatch(recent)).items.size() == 2);
}

TEST_CASE("A key goes with its lease") {
  PlatformStore store({});
  const LeaseId lease = RevisionOf(store.GrantLease(seconds(2), Time(0)));
  RevisionOf(store.PutWithLease(AnyPut("k", "a"), lease, Time(0)));
  RevisionOf(store.RenewLease(lease, seconds(1)));
  CHECK(store.NextEventTime() == seconds(3));
  ItemsOf(store.Apply(KvGet{.key = "k"}, milliseconds(2999)));
  CHECK(store.Apply(KvGet{.key = "k"}, seconds(3)) ==
        PlatformResult(KvMissing{}));
  CHECK(store.RenewLease(lease, seconds(3)) == PlatformResult(KvMissing{}));
}

TEST_CASE("The list of instances lags") {
  PlatformStore store({.instances_lag = seconds(1)});
  store.instances().Set({Worker("w1")});
  const auto list = [&](Time now) {
    return std::get<InstanceList>(store.Apply(InstancesWatch{}, now));
  };
  const InstanceList before = list(Time(0));
  store.instances().MarkLeaving("w1", true, Time(0));
  store.instances().Upsert(Worker("w2"), milliseconds(500));
  CHECK(list(milliseconds(999)) == before);
  CHECK(list(seconds(1)).instances.size() == 1);
  CHECK(list(seconds(1)).instances.front().leaving);
  CHECK(list(seconds(2)).instances.size() == 2);
  CHECK(store.TryWatch(InstancesWatch{.after = before.revision}));
}

}  // namespace burdockrock::standin
