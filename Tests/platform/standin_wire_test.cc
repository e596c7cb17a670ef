#include <doctest/doctest.h>

#include "net/json.h"
#include "platform/documents.h"
#include "platform/standin_wire.h"
#include "platform/store_codec.h"
#include "platform/worker_codec.h"

namespace burdockrock::platform {

using namespace engine;

namespace {

const StoreItem kItem{.key = "job/7", .value = "\x01text", .revision = 12};

}  // namespace

TEST_CASE("The stand-in reads each call to the store as it was meant") {
  const standin::StepsWire wire = StandinWire();
  const std::vector<StoreRequest> requests = {
      StoreRead{.key = "job/7"},
      StoreRange{.prefix = "job/", .after = "job/7", .may_be_stale = true},
      StoreWatch{.prefix = "job/",
                 .after = 12,
                 .wait = std::chrono::milliseconds(1200)},
      StoreTransaction{
          .conditions = {{.key = "job/7", .revision = 12}},
          .puts = {{.key = "job/8", .value = "\x01text", .lease = 3}},
          .removes = {"job/9"}},
      StoreLeaseGrant{.ttl = std::chrono::milliseconds(2500)},
      StoreLeaseRenew{.lease = 3},
      StoreLeaseEnd{.lease = 3}};
  for (const StoreRequest& it : requests) {
    const auto decoded = wire.decode_store(EncodeStoreRequest(it));
    REQUIRE(std::holds_alternative<StoreRequest>(decoded));
    CHECK(std::get<StoreRequest>(decoded) == it);
  }
}

TEST_CASE("The adapter reads each answer of the stand-in's store") {
  const standin::StepsWire wire = StandinWire();
  const auto passed_on = [&](const StoreRequest& request,
                             const StoreAnswer& answer) {
    return DecodeStoreAnswer(request, wire.encode_store(request, answer));
  };
  const std::vector<std::pair<StoreRequest, StoreAnswer>> answers = {
      {StoreRead{}, StoreDone{.items = {kItem}, .revision = 14}},
      {StoreRange{}, StoreDone{.items = {kItem}, .more = true, .revision = 14}},
      {StoreWatch{}, StoreDone{.items = {kItem},
                               .removed = {{.key = "job/9", .revision = 13}},
                               .revision = 14}},
      {StoreTransaction{}, StoreDone{.revision = 15}},
      {StoreTransaction{},
       StoreConflict{.items = {kItem, StoreItem{.key = "job/8"}}}},
      {StoreLeaseGrant{}, StoreDone{.lease = 3}},
      {StoreLeaseRenew{}, StoreAbsent{}},
      {StoreWatch{}, StoreAbsent{}},
      {StoreTransaction{}, StoreRejected{.detail = "status 400"}}};
  for (const auto& [request, answer] : answers) {
    CHECK(passed_on(request, answer) == answer);
  }
}

TEST_CASE("The stand-in's workers and the adapter agree") {
  const standin::StepsWire wire = StandinWire();
  const std::vector<WorkerRequest> requests = {
      PollWorker{.fence = 5,
                 .acknowledged = 9,
                 .lease_until_ms = 4000,
                 .wait = std::chrono::milliseconds(1900)},
      StartRun{.task = "7.0.1.2",
               .run = 3,
               .payload = "sleep_ms=5",
               .ticket = "t",
               .checkpoint = "c",
               .fence = 5,
               .lease_until_ms = 4000},
      StopRun{.task = "7.0.1.2", .run = 3, .fence = 5},
      PaceRun{.task = "7.0.1.2", .run = 3, .percent = 40, .fence = 5}};
  for (const WorkerRequest& it : requests) {
    const auto decoded = wire.decode_worker(EncodeWorkerRequest("w1", it));
    REQUIRE(std::holds_alternative<AddressedWorkerRequest>(decoded));
    CHECK(std::get<AddressedWorkerRequest>(decoded) ==
          AddressedWorkerRequest{.worker = "w1", .request = it});
  }
  const std::vector<WorkerAnswer> answers = {
      WorkerDone{.clock_ms = 77,
                 .running = {{.task = "7.0.1.2",
                              .run = 3,
                              .checkpoint = "c",
                              .percent = 41,
                              .figure = 12}},
                 .ended = {{.sequence = 9,
                            .task = "7.0.1.1",
                            .run = 2,
                            .how = RunEnd::kFailed,
                            .checkpoint = ""}}},
      WorkerRefused{.kind = WorkerRefusalKind::kFenced},
      WorkerRefused{.kind = WorkerRefusalKind::kOldRun},
      WorkerRefused{.kind = WorkerRefusalKind::kReplaced}};
  for (const WorkerAnswer& it : answers) {
    CHECK(DecodeWorkerAnswer(wire.encode_worker(it)) == it);
  }
}

TEST_CASE("The stand-in's list of workers and its advice can be read") {
  const standin::StepsWire wire = StandinWire();
  const WorkerInfo info{.id = "w1",
                        .address = "127.0.0.1:9",
                        .domain = "neihu-a",
                        .service = "grants",
                        .capacity = {.processors_milli = 8000,
                                     .memory_mb = 64,
                                     .accelerators = 2},
                        .labels = {"r1"},
                        .draining = true};
  const auto read = DecodeWorkerDocument(info.id, wire.encode_entry(info));
  REQUIRE(std::holds_alternative<WorkerInfo>(read));
  CHECK(std::get<WorkerInfo>(read) == info);

  const AdviceRequest request{.step = "7.0.1", .workers = {"w1", "w2"}};
  const auto decoded = wire.decode_advice(EncodeAdviceRequest(request));
  REQUIRE(std::holds_alternative<AdviceRequest>(decoded));
  CHECK(std::get<AdviceRequest>(decoded) == request);
  const AdviceAnswer given =
      AdviceGiven{.allowed = {{.worker = "w1", .ticket = "t"}}};
  CHECK(DecodeAdviceAnswer(wire.encode_advice(given)) == given);
}

TEST_CASE("The stand-in's workers tell when their process started") {
  const standin::StepsWire wire = StandinWire();
  const auto entry = ParseJson(wire.encode_entry({.born = 1764700000123}));
  CHECK(std::get<Json::Value>(entry)["born"].asInt64() == 1764700000123);
  const auto told =
      ParseJson(wire.encode_worker(WorkerDone{.born = 1764700000123}).body);
  CHECK(std::get<Json::Value>(told)["born"].asInt64() == 1764700000123);
  const auto untold = ParseJson(wire.encode_worker(WorkerDone{}).body);
  CHECK_FALSE(std::get<Json::Value>(untold).isMember("born"));
}

TEST_CASE("The stand-in refuses calls that the platform does not have") {
  const standin::StepsWire wire = StandinWire();
  CHECK(std::holds_alternative<DecodeError>(
      wire.decode_store({.method = "POST", .path = "/kv-other"})));
  CHECK(std::holds_alternative<DecodeError>(
      wire.decode_worker({.method = "POST", .path = "/hold", .body = "{}"})));
}

}  // namespace burdockrock::platform
