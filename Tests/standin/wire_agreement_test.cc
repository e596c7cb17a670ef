// What the fakes are told and answer, over the wire and back as an entry
// instance reads it.
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "standin/platform_codec.h"
#include "standin/platform_store.h"
#include "standin/worker_model.h"
#include "wire/platform_codec.h"
#include "wire/worker_codec.h"

namespace burdockrock::standin {

namespace {

constexpr Duration kLease = std::chrono::seconds(10);

AttemptId Attempt(std::uint32_t task) {
  return {.job = "neihu-a.e1-1.1", .task = task, .number = 1};
}

WorkerModel MakeWorker() {
  WorkerOptions options;
  options.id = "w1";
  options.capacity = {.processors_milli = 4000, .memory_mb = 8000};
  return WorkerModel(options);
}

// Sends `command` as the entry instance writes it and gives what the entry
// instance reads from the answer.
WorkerResult Send(const WorkerCommand& command, WorkerModel& worker, Time now) {
  const auto decoded = DecodeWorkerCommand(EncodeWorkerCommand(command));
  REQUIRE(std::holds_alternative<WorkerCommand>(decoded));
  const auto& received = std::get<WorkerCommand>(decoded);
  CHECK(received == command);
  std::optional<WorkerResult> result;
  if (const auto* run = std::get_if<RunCommand>(&received)) {
    worker.Run(*run, now, [&](const WorkerResult& it) { result = it; });
  } else {
    result = worker.Apply(received, now);
  }
  REQUIRE(result);
  const HttpResponse response =
      EncodeWorkerAnswer(KindOf(command), *result, worker.in_force());
  WorkerResult read = DecodeWorkerAnswer(KindOf(command), response);
  CHECK(read == *result);
  return read;
}

PlatformResult Send(const PlatformOperation& operation, PlatformStore& store) {
  const HttpRequest request = EncodePlatformOperation(operation);
  const auto decoded = DecodePlatformCall(request);
  REQUIRE(std::holds_alternative<PlatformCall>(decoded));
  const auto& call = std::get<PlatformCall>(decoded);
  CHECK(call == PlatformCall(operation));
  const PlatformResult result = store.Apply(operation, Time(0));
  const auto response = EncodePlatformResult(call, result);
  REQUIRE(response);
  const auto read = DecodePlatformAnswer(operation, *response);
  REQUIRE(std::holds_alternative<PlatformResult>(read));
  return std::get<PlatformResult>(read);
}

}  // namespace

TEST_CASE("Commands to workers and their answers cross the wire") {
  WorkerModel worker = MakeWorker();
  const auto second = std::chrono::seconds(1);
  const ClaimCommand claim{.epoch = 1, .owner = "e1", .incarnation = "i1"};
  CHECK(
      Send(claim, worker, Time(0)) ==
      WorkerResult(ClaimAccepted{
          .epoch = 1, .capacity = worker.options().capacity, .attempts = {}}));
  ClaimCommand stale = claim;
  stale.owner = "e2";
  CHECK(Send(stale, worker, Time(0)) ==
        WorkerResult(StaleEpoch{.epoch = 1, .owner = "e1"}));

  StartCommand start{.epoch = 1,
                     .attempt = Attempt(0),
                     .resources = {.processors_milli = 3000, .memory_mb = 1},
                     .payload = "sleep_ms=5",
                     .lease = kLease,
                     .hold = true};
  CHECK(Send(start, worker, Time(0)) == WorkerResult(StartDone{}));
  start.attempt = Attempt(1);
  CHECK(Send(start, worker, Time(0)) ==
        WorkerResult(StartRefused{.reason = "no_room"}));

  const RenewCommand renew{.epoch = 1,
                           .lease = kLease,
                           .wait = Duration(0),
                           .version = 0,
                           .acknowledge = {},
                           .go = {Attempt(0)}};
  const auto renewed = std::get<RenewDone>(Send(renew, worker, second));
  REQUIRE(renewed.attempts.size() == 1);
  CHECK(renewed.attempts[0].state == AttemptState::kRunning);

  const StopCommand stop{.epoch = 1, .attempts = {Attempt(0)}};
  CHECK(Send(stop, worker, second) ==
        WorkerResult(StopDone{.stopped = {Attempt(0)}}));
  const auto ended = std::get<RenewDone>(Send(renew, worker, second));
  CHECK(ended.attempts.at(0).outcome == Outcome::kStopped);
}

// Guards against a command of before a restart that the new process carries
// out.
TEST_CASE("The time of a process's start crosses the wire") {
  constexpr std::int64_t kBorn = 1'750'000'000'123;
  WorkerModel worker = MakeWorker();
  worker.Restart(kBorn, Time(0));
  ClaimCommand claim{.epoch = 1, .owner = "e1", .born = kBorn - 1};
  CHECK(Send(claim, worker, Time(0)) ==
        WorkerResult(StaleEpoch{.born = kBorn}));
  claim.born = kBorn;
  const auto claimed = Send(claim, worker, Time(0));
  CHECK(std::get<ClaimAccepted>(claimed).born == kBorn);
  StartCommand start{.epoch = 1,
                     .attempt = Attempt(0),
                     .payload = "sleep_ms=5",
                     .lease = kLease,
                     .born = kBorn - 1};
  CHECK(Send(start, worker, Time(0)) ==
        WorkerResult(StaleEpoch{.epoch = 1, .owner = "e1", .born = kBorn}));
  start.born = 0;
  CHECK(Send(start, worker, Time(0)) == WorkerResult(StartDone{.born = kBorn}));
  const RenewCommand renew{.epoch = 1, .lease = kLease, .born = kBorn};
  CHECK(std::get<RenewDone>(Send(renew, worker, Time(0))).born == kBorn);
}

TEST_CASE("Runs cross the wire") {
  WorkerModel worker = MakeWorker();
  worker.Claim({.epoch = 1, .owner = "e1", .incarnation = ""}, Time(0));
  const RunCommand run{.epoch = 1,
                       .attempt = Attempt(0),
                       .resources = {},
                       .payload = "fail=1;answer=closed",
                       .lease = kLease};
  CHECK(
      Send(run, worker, Time(0)) ==
      WorkerResult(RunEnded{.outcome = Outcome::kFailed, .answer = "closed"}));
  CHECK(Send(run, worker, Time(0)) ==
        WorkerResult(StartRefused{.reason = "already_ended"}));
}

TEST_CASE("Calls to the platform and their answers cross the wire") {
  PlatformStore store({});
  InstanceInfo minion;
  minion.id = "m1";
  minion.role = InstanceRole::kMinion;
  minion.service = "grantdesk";
  minion.domain = "neihu-a";
  minion.rack = "r1";
  minion.address = "127.0.0.1:7300";
  minion.leaving = true;
  minion.capacity.slots = 8;
  store.instances().Set({minion});

  const KvPut put{.key = "config/current", .value = "a \"b\"", .expect = 0};
  CHECK(Send(put, store) == PlatformResult(KvDone{.revision = 1}));
  CHECK(Send(put, store) == PlatformResult(KvConflict{.revision = 1}));
  const KvItem item{.key = put.key, .value = put.value, .revision = 1};
  const KvItems items{.revision = 1, .items = {item}};
  CHECK(Send(KvGet{.key = put.key}, store) == PlatformResult(items));
  CHECK(Send(KvGet{.key = "none"}, store) == PlatformResult(KvMissing{}));
  CHECK(Send(KvRange{.prefix = "config/"}, store) == PlatformResult(items));
  const KvWatch watch{
      .prefix = "config/", .after = 1, .wait = std::chrono::seconds(2)};
  CHECK(Send(KvDelete{.key = put.key, .expect = 1}, store) ==
        PlatformResult(KvDone{.revision = 2}));
  const KvItem gone{
      .key = put.key, .value = "", .revision = 2, .deleted = true};
  CHECK(Send(watch, store) ==
        PlatformResult(KvItems{.revision = 2, .items = {gone}}));
  const KvPut large{.key = "k",
                    .value = std::string(kMaxPlatformValueBytes + 1, 'x'),
                    .expect = std::nullopt};
  CHECK(Send(large, store) == PlatformResult(KvTooLarge{}));
  const InstancesWatch list{.after = 0, .wait = std::chrono::seconds(1)};
  CHECK(Send(list, store) == PlatformResult(store.instances().Visible()));
  store.faults().refuse = true;
  CHECK_FALSE(
      std::get<PlatformUnavailable>(Send(list, store)).may_have_taken_effect);
}

}  // namespace burdockrock::standin
