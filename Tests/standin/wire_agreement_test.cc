// The stand-in has codecs of its own. These tests hold them against those of
// the wire library, so that the two agree on every call and answer.
#include <string>

#include <doctest/doctest.h>

#include "net/json.h"
#include "standin/platform_codec.h"
#include "standin/platform_store.h"
#include "standin/worker_codec.h"
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

// Sends `command` as the entry instance writes it through `decode` to `carry`
// and gives what the entry instance reads from the answer.
template <class Decode, class Carry>
WorkerResult Send(const WorkerCommand& command, Decode decode, Carry carry) {
  const HttpRequest request = EncodeWorkerCommand(command);
  const auto body = ParseJson(request.body);
  REQUIRE(std::holds_alternative<Json::Value>(body));
  const auto decoded = decode(std::get<Json::Value>(body));
  const auto* error = std::get_if<CodecError>(&decoded);
  const std::string fault = error == nullptr ? "" : error->message;
  REQUIRE(fault == "");
  const auto response = Encode(carry(std::get<0>(decoded)));
  REQUIRE(response);
  return DecodeWorkerAnswer(KindOf(command), *response);
}

PlatformResult Send(const PlatformOperation& operation, PlatformStore& store) {
  const HttpRequest request = EncodePlatformOperation(operation);
  const auto decoded = DecodePlatformCall(request);
  REQUIRE(std::holds_alternative<PlatformCall>(decoded));
  const auto& call = std::get<PlatformCall>(decoded);
  CHECK(call == PlatformCall(operation));
  const PlatformResult result = store.Apply(operation, Time(0));
  const auto response = EncodePlatformResult(result, AnswerFormOf(call));
  REQUIRE(response);
  const auto read = DecodePlatformAnswer(operation, *response);
  REQUIRE(std::holds_alternative<PlatformResult>(read));
  return std::get<PlatformResult>(read);
}

}  // namespace

TEST_CASE("The codecs agree on commands to workers and their answers") {
  WorkerModel worker = MakeWorker();
  const burdockrock::ClaimCommand claim{
      .epoch = 1, .owner = "e1", .incarnation = "i1"};
  const auto carry_claim = [&](const ClaimCommand& it) {
    CHECK(it.incarnation == "i1");
    return worker.Claim(it, Time(0));
  };
  CHECK(
      Send(claim, DecodeClaim, carry_claim) ==
      WorkerResult(ClaimAccepted{
          .epoch = 1, .capacity = worker.options().capacity, .attempts = {}}));
  burdockrock::ClaimCommand stale = claim;
  stale.owner = "e2";
  CHECK(Send(stale, DecodeClaim, carry_claim) ==
        WorkerResult(burdockrock::StaleEpoch{.epoch = 1, .owner = "e1"}));

  burdockrock::StartCommand start{
      .epoch = 1,
      .attempt = Attempt(0),
      .resources = {.processors_milli = 3000, .memory_mb = 1},
      .payload = "sleep_ms=5",
      .lease = kLease,
      .hold = true};
  const auto carry_start = [&](const StartCommand& it) {
    CHECK(it.hold);
    CHECK(it.lease == kLease);
    return worker.Start(it, Time(0));
  };
  CHECK(Send(start, DecodeStart, carry_start) == WorkerResult(StartDone{}));
  start.attempt = Attempt(1);
  CHECK(Send(start, DecodeStart, carry_start) ==
        WorkerResult(StartRefused{.reason = "no_room"}));

  const burdockrock::RenewCommand renew{.epoch = 1,
                                        .lease = kLease,
                                        .wait = Duration(0),
                                        .version = 0,
                                        .acknowledge = {},
                                        .go = {Attempt(0)}};
  const auto carry_renew = [&](const RenewCommand& it) {
    return worker.Renew(it, std::chrono::seconds(1));
  };
  const WorkerResult renewed = Send(renew, DecodeRenew, carry_renew);
  REQUIRE(std::holds_alternative<RenewDone>(renewed));
  REQUIRE(std::get<RenewDone>(renewed).attempts.size() == 1);
  CHECK(std::get<RenewDone>(renewed).attempts[0].state ==
        AttemptState::kRunning);

  const burdockrock::StopCommand stop{.epoch = 1, .attempts = {Attempt(0)}};
  const auto carry_stop = [&](const StopCommand& it) {
    return worker.Stop(it, std::chrono::seconds(1));
  };
  CHECK(Send(stop, DecodeStop, carry_stop) ==
        WorkerResult(StopDone{.stopped = {Attempt(0)}}));
  const WorkerResult ended = Send(renew, DecodeRenew, carry_renew);
  REQUIRE(std::holds_alternative<RenewDone>(ended));
  CHECK(std::get<RenewDone>(ended).attempts.at(0).outcome == Outcome::kStopped);
}

TEST_CASE("The codecs agree on runs") {
  WorkerModel worker = MakeWorker();
  worker.Claim({.epoch = 1, .owner = "e1", .incarnation = ""}, Time(0));
  const RunCommand run{.epoch = 1,
                       .attempt = Attempt(0),
                       .resources = {},
                       .payload = "fail=1;answer=closed",
                       .lease = kLease};
  const auto carry = [&](const StartCommand& it) {
    RunAnswer answer;
    worker.Run(it, Time(0), [&](const RunAnswer& ended) { answer = ended; });
    return answer;
  };
  CHECK(Send(run, DecodeRun, carry) ==
        WorkerResult(burdockrock::RunEnded{.outcome = Outcome::kFailed,
                                           .answer = "closed"}));
  CHECK(Send(run, DecodeRun, carry) ==
        WorkerResult(StartRefused{.reason = "already_ended"}));
}

TEST_CASE("The codecs agree on calls to the platform and their answers") {
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
