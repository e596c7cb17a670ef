#include "platform/standin_wire.h"

#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "net/json.h"
#include "platform/base64.h"
#include "platform/json_fields.h"

namespace burdockrock::platform {

namespace {

using namespace engine;

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;
constexpr int kConditionFailed = 412;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

constexpr const char* kDecimal = "0123456789";
constexpr const char* kExpectedWorker = "x-expected-instance";

DecodeError ErrorOf(const SpecFault& fault) {
  return {
      .path = fault.path, .problem = fault.problem, .allowed = fault.allowed};
}

DecodeError UnknownCall(const HttpRequest& request) {
  return {.path = request.method + " " + request.path,
          .problem = "is no call of the platform",
          .allowed = ""};
}

HttpResponse JsonBody(const Json::Value& body, int status = 200) {
  return {.status = status, .body = WriteJson(body)};
}

HttpResponse StatusOnly(int status) {
  return {.status = status, .body = "{}"};
}

std::string QueryText(const HttpRequest& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

// 0 where it is no number.
std::uint64_t Number(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The number behind `prefix` in the path; nothing if the path is another.
std::optional<std::uint64_t> PathNumber(const HttpRequest& request,
                                        std::string_view prefix) {
  const std::string_view path = request.path;
  if (!path.starts_with(prefix) || path.size() == prefix.size() ||
      path.find_first_not_of(kDecimal, prefix.size()) !=
          std::string_view::npos) {
    return std::nullopt;
  }
  return Number(path.substr(prefix.size()));
}

// Reads the body by `read`, which gives the call.
template <typename Call, typename Read>
Decoded<Call> DecodeBody(const HttpRequest& request, Read read) {
  auto parsed = ParseJson(request.body);
  if (const auto* error = std::get_if<JsonError>(&parsed)) {
    return DecodeError{
        .path = "$", .problem = error->message, .allowed = "a JSON object"};
  }
  std::optional<SpecFault> fault;
  JsonFields fields(std::get<Json::Value>(parsed), "", fault);
  Call call = read(fields, fault);
  if (fault) {
    return ErrorOf(*fault);
  }
  return call;
}

StoreRequest ReadTransaction(JsonFields& fields,
                             std::optional<SpecFault>& fault) {
  StoreTransaction transaction;
  fields.ForEach(
      "expected", [&](const Json::Value& it, const std::string& path) {
        JsonFields row(it, path, fault);
        transaction.conditions.push_back(
            {.key = row.Text("key"), .revision = row.Unsigned("revision")});
      });
  fields.ForEach("set_keys",
                 [&](const Json::Value& it, const std::string& path) {
                   JsonFields row(it, path, fault);
                   auto value = DecodeBase64(row.Text("value"));
                   if (!value) {
                     return row.Fail("value", "is not base64", "base64");
                   }
                   transaction.puts.push_back({.key = row.Text("key"),
                                               .value = std::move(*value),
                                               .lease = row.Unsigned("lease")});
                 });
  transaction.removes = fields.Texts("remove");
  return transaction;
}

Decoded<StoreRequest> DecodeStoreGet(const HttpRequest& request) {
  if (request.path == "/kv-key") {
    return StoreRequest(StoreRead{.key = QueryText(request, "key")});
  }
  if (request.path == "/kv-range") {
    return StoreRequest(
        StoreRange{.prefix = QueryText(request, "path_prefix"),
                   .after = QueryText(request, "after"),
                   .may_be_stale = QueryText(request, "stale_ok") == "1"});
  }
  if (request.path == "/kv-watch") {
    return StoreRequest(StoreWatch{.prefix = QueryText(request, "path_prefix"),
                                   .after = Number(QueryText(request, "after")),
                                   .wait = std::chrono::milliseconds(
                                       Number(QueryText(request, "wait_ms")))});
  }
  return UnknownCall(request);
}

Decoded<StoreRequest> DecodeStore(const HttpRequest& request) {
  if (request.method == "GET") {
    return DecodeStoreGet(request);
  }
  if (const auto lease = PathNumber(request, "/kv-keep/")) {
    return StoreRequest(StoreLeaseRenew{.lease = *lease});
  }
  if (const auto lease = PathNumber(request, "/kv-lease-end/")) {
    return StoreRequest(StoreLeaseEnd{.lease = *lease});
  }
  if (request.path == "/kv-lease") {
    return DecodeBody<StoreRequest>(
        request, [](JsonFields& fields, std::optional<SpecFault>&) {
          return StoreLeaseGrant{.ttl = fields.Milliseconds("ttl_ms")};
        });
  }
  if (request.path == "/kv-txn") {
    return DecodeBody<StoreRequest>(request, ReadTransaction);
  }
  return UnknownCall(request);
}

Json::Value EncodeItem(const StoreItem& item) {
  Json::Value body(Json::objectValue);
  body["key"] = item.key;
  body["revision"] = Json::UInt64(item.revision);
  if (item.revision != 0) {
    body["value"] = EncodeBase64(item.value);
  }
  return body;
}

Json::Value EncodeItems(const std::vector<StoreItem>& items) {
  Json::Value rows(Json::arrayValue);
  for (const StoreItem& it : items) {
    rows.append(EncodeItem(it));
  }
  return rows;
}

Json::Value EncodeNews(const StoreDone& done) {
  Json::Value events = EncodeItems(done.items);
  for (const StoreRemoval& it : done.removed) {
    Json::Value event(Json::objectValue);
    event["key"] = it.key;
    event["revision"] = Json::UInt64(it.revision);
    event["tombstone"] = true;
    events.append(std::move(event));
  }
  return events;
}

HttpResponse EncodeDone(const StoreRequest& request, const StoreDone& done) {
  Json::Value body(Json::objectValue);
  if (std::holds_alternative<StoreRead>(request)) {
    body = EncodeItem(done.items.front());
    body["as_of"] = Json::UInt64(done.revision);
  } else if (std::holds_alternative<StoreRange>(request)) {
    body["items"] = EncodeItems(done.items);
    body["has_more"] = done.more;
    body["as_of"] = Json::UInt64(done.revision);
  } else if (std::holds_alternative<StoreWatch>(request)) {
    body["events"] = EncodeNews(done);
    body["as_of"] = Json::UInt64(done.revision);
  } else if (std::holds_alternative<StoreTransaction>(request)) {
    body["revision"] = Json::UInt64(done.revision);
  } else if (std::holds_alternative<StoreLeaseGrant>(request)) {
    body["lease"] = Json::UInt64(done.lease);
  }
  return JsonBody(body);
}

HttpResponse EncodeStore(const StoreRequest& request,
                         const StoreAnswer& answer) {
  if (const auto* done = std::get_if<StoreDone>(&answer)) {
    return EncodeDone(request, *done);
  }
  if (const auto* conflict = std::get_if<StoreConflict>(&answer)) {
    Json::Value body(Json::objectValue);
    body["items"] = EncodeItems(conflict->items);
    return JsonBody(body, kConditionFailed);
  }
  if (std::holds_alternative<StoreAbsent>(answer)) {
    return StatusOnly(std::holds_alternative<StoreWatch>(request) ? kGone
                                                                  : kNotFound);
  }
  return StatusOnly(std::holds_alternative<StoreRejected>(answer)
                        ? kBadRequest
                        : kUnavailable);
}

WorkerRequest ReadHold(JsonFields& fields, std::optional<SpecFault>&) {
  return PollWorker{.fence = fields.Unsigned("fencing_token"),
                    .acknowledged = fields.Unsigned("acknowledged"),
                    .lease_until_ms = fields.Integer("deadline_ms"),
                    .wait = fields.Milliseconds("wait_ms")};
}

WorkerRequest ReadStart(JsonFields& fields, std::optional<SpecFault>&) {
  return StartRun{.task = fields.Text("task"),
                  .run = fields.Unsigned("run"),
                  .payload = fields.Text("spec"),
                  .ticket = fields.Text("ticket"),
                  .checkpoint = fields.Text("checkpoint"),
                  .fence = fields.Unsigned("fencing_token"),
                  .lease_until_ms = fields.Integer("deadline_ms")};
}

WorkerRequest ReadStop(JsonFields& fields, std::optional<SpecFault>&) {
  return StopRun{.task = fields.Text("task"),
                 .run = fields.Unsigned("run"),
                 .fence = fields.Unsigned("fencing_token")};
}

WorkerRequest ReadPace(JsonFields& fields, std::optional<SpecFault>&) {
  return PaceRun{
      .task = fields.Text("task"),
      .run = fields.Unsigned("run"),
      .percent = static_cast<std::uint32_t>(fields.Unsigned("percent")),
      .fence = fields.Unsigned("fencing_token")};
}

Decoded<AddressedWorkerRequest> DecodeWorker(const HttpRequest& request) {
  using Read = WorkerRequest (*)(JsonFields&, std::optional<SpecFault>&);
  static const std::map<std::string_view, Read> kCalls = {
      {"/hold", ReadHold},
      {"/run-start", ReadStart},
      {"/run-stop", ReadStop},
      {"/pace", ReadPace}};
  const auto call = kCalls.find(request.path);
  const auto worker = request.headers.find(kExpectedWorker);
  if (call == kCalls.end() || worker == request.headers.end()) {
    return UnknownCall(request);
  }
  auto decoded = DecodeBody<WorkerRequest>(request, call->second);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  return AddressedWorkerRequest{
      .worker = worker->second,
      .request = std::get<WorkerRequest>(std::move(decoded))};
}

HttpResponse EncodeWorkerDone(const WorkerDone& done) {
  Json::Value body(Json::objectValue);
  body["clock_ms"] = Json::Int64(done.clock_ms);
  if (done.born != 0) {
    body["born"] = Json::Int64(done.born);
  }
  body["running"] = Json::Value(Json::arrayValue);
  for (const RunningRow& it : done.running) {
    Json::Value row(Json::arrayValue);
    row.append(it.task);
    row.append(Json::UInt64(it.run));
    row.append(it.checkpoint);
    row.append(it.percent);
    row.append(Json::Int64(it.figure));
    body["running"].append(std::move(row));
  }
  body["finished"] = Json::Value(Json::arrayValue);
  for (const EndedRow& it : done.ended) {
    Json::Value row(Json::arrayValue);
    row.append(Json::UInt64(it.sequence));
    row.append(it.task);
    row.append(Json::UInt64(it.run));
    row.append(RunEndName(it.how));
    row.append(it.checkpoint);
    body["finished"].append(std::move(row));
  }
  return JsonBody(body);
}

const char* ReasonOf(WorkerRefusalKind kind) {
  switch (kind) {
    case WorkerRefusalKind::kFenced:
      return "fence";
    case WorkerRefusalKind::kOldRun:
      return "old";
    case WorkerRefusalKind::kLate:
      return "late";
    case WorkerRefusalKind::kNoRoom:
      return "room";
    case WorkerRefusalKind::kBadTicket:
      return "ticket";
    case WorkerRefusalKind::kInvalid:
    case WorkerRefusalKind::kUnhealthy:
    case WorkerRefusalKind::kReplaced:
      break;
  }
  return "";
}

HttpResponse EncodeWorkerAnswer(const WorkerAnswer& answer) {
  if (const auto* done = std::get_if<WorkerDone>(&answer)) {
    return EncodeWorkerDone(*done);
  }
  const auto* refused = std::get_if<WorkerRefused>(&answer);
  if (refused == nullptr || refused->kind == WorkerRefusalKind::kUnhealthy) {
    return StatusOnly(kUnavailable);
  }
  if (refused->kind == WorkerRefusalKind::kReplaced) {
    return StatusOnly(kMisdirected);
  }
  Json::Value body(Json::objectValue);
  body["reason"] = ReasonOf(refused->kind);
  return JsonBody(body, kConflict);
}

Decoded<AdviceRequest> DecodeAdvice(const HttpRequest& request) {
  return DecodeBody<AdviceRequest>(
      request, [](JsonFields& fields, std::optional<SpecFault>&) {
        return AdviceRequest{.step = fields.Text("step"),
                             .workers = fields.Texts("workers")};
      });
}

HttpResponse EncodeAdvice(const AdviceAnswer& answer) {
  const auto* given = std::get_if<AdviceGiven>(&answer);
  if (given == nullptr) {
    return StatusOnly(kUnavailable);
  }
  Json::Value body(Json::objectValue);
  body["allowed"] = Json::Value(Json::arrayValue);
  for (const Allowed& it : given->allowed) {
    Json::Value row(Json::arrayValue);
    row.append(it.worker);
    row.append(it.ticket);
    body["allowed"].append(std::move(row));
  }
  return JsonBody(body);
}

std::string EncodeEntry(const WorkerInfo& info) {
  Json::Value body(Json::objectValue);
  body["service"] = info.service;
  body["address"] = info.address;
  body["zone"] = info.domain;
  body["state"] = info.draining ? "draining" : "ready";
  if (info.born != 0) {
    body["born"] = Json::Int64(info.born);
  }
  Json::Value& capacity = body["capacity"];
  capacity["cpu"] = Json::Int64(info.capacity.processors_milli);
  capacity["mem_mb"] = Json::Int64(info.capacity.memory_mb);
  capacity["gpu"] = Json::Int64(info.capacity.accelerators);
  body["labels"] = Json::Value(Json::arrayValue);
  for (const std::string& it : info.labels) {
    body["labels"].append(it);
  }
  return WriteJson(body);
}

}  // namespace

standin::StepsWire StandinWire() {
  return {.decode_store = DecodeStore,
          .encode_store = EncodeStore,
          .decode_worker = DecodeWorker,
          .encode_worker = EncodeWorkerAnswer,
          .decode_advice = DecodeAdvice,
          .encode_advice = EncodeAdvice,
          .worker_prefix = "servers/",
          .encode_entry = EncodeEntry};
}

}  // namespace burdockrock::platform
