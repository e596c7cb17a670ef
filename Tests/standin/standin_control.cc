#include "standin/standin_control.h"

#include <algorithm>
#include <set>
#include <utility>

#include "net/json.h"
#include "standin/field_reader.h"
#include "standin/worker_codec.h"

namespace burdockrock::standin {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

HttpResponse Response(int status, const Json::Value& body) {
  return HttpResponse{.status = status,
                      .body = WriteJson(body),
                      .content_type = "application/json",
                      .retry_after = std::nullopt};
}

Json::UInt64 Number(std::uint64_t n) {
  return n;
}

Json::Value EncodeCounts(const CallCounts& counts) {
  Json::Value body;
  body["total"] = Number(counts.total);
  body["this_second"] = Number(counts.this_second);
  body["last_second"] = Number(counts.last_second);
  body["peak_second"] = Number(counts.peak_second);
  return body;
}

Json::Value EncodeWorker(const WorkerModel& worker) {
  Json::Value body;
  body["live"] = Number(worker.live());
  body["taken"] = EncodeResources(worker.taken());
  body["epoch"] = Number(worker.epoch());
  body["owner"] = worker.owner();
  body["overcommit_attempts"] = Number(worker.overcommit_attempts());
  body["stale_commands"] = Number(worker.stale_commands());
  body["lapsed_leases"] = Number(worker.lapsed_leases());
  body["max_live_per_task"] = Number(worker.max_live_per_task());
  return body;
}

Json::Value EncodeDoubles(const ExecutionRecorder& recorder) {
  Json::Value array(Json::arrayValue);
  for (const DoubledExecution& it : recorder.doubles()) {
    Json::Value body;
    body["attempt"] = ToString(it.attempt);
    body["worker"] = it.worker;
    array.append(body);
  }
  return array;
}

// What one command sets at a worker.
struct WorkerChange {
  WorkerFaults faults;
  WorkerServerFaults server_faults;
  bool crash = false;
  bool forget_epoch = false;
};

// What the command does not name stays as it is.
WorkerChange ReadWorkerChange(FieldReader& reader, WorkerServer& worker) {
  WorkerChange change{.faults = worker.worker().faults(),
                      .server_faults = worker.faults()};
  WorkerFaults& faults = change.faults;
  WorkerServerFaults& server_faults = change.server_faults;
  faults.black_hole = reader.Flag("black_hole", faults.black_hole);
  faults.paused = reader.Flag("paused", faults.paused);
  faults.lose_answers = reader.SmallCount("lose_answers", faults.lose_answers);
  faults.speed_percent =
      reader.SmallCount("speed_percent", faults.speed_percent);
  faults.usage_percent =
      reader.SmallCount("usage_percent", faults.usage_percent);
  server_faults.garbage_answers =
      reader.SmallCount("garbage_answers", server_faults.garbage_answers);
  server_faults.slow = reader.Milliseconds("slow_ms", server_faults.slow);
  change.crash = reader.Flag("crash", false);
  change.forget_epoch = reader.Flag("forget_epoch", false);
  return change;
}

// Gives what went wrong, or nothing.
std::string Apply(const WorkerChange& change, WorkerServer& worker) {
  const bool was_paused = worker.worker().faults().paused;
  worker.worker().faults() = change.faults;
  worker.faults() = change.server_faults;
  if (change.faults.paused != was_paused) {
    worker.SetPaused(change.faults.paused);
  }
  if (!change.crash) {
    return "";
  }
  worker.Crash(change.forget_epoch);
  const auto error = worker.Listen();
  return error ? error->message : "";
}

}  // namespace

HttpResponse StandinControl::Handle(const HttpRequest& request) {
  if (request.path != "/control") {
    return Response(kNotFound, Json::Value(Json::objectValue));
  }
  if (request.method == "GET") {
    const auto key = request.query.find("key");
    if (key == request.query.end()) {
      return Response(kOk, Counters());
    }
    Json::Value body;
    body["executions"] = Number(cluster_.recorder().ExecutionsOf(key->second));
    return Response(kOk, body);
  }
  const auto parsed = ParseJson(request.body);
  if (const auto* error = std::get_if<JsonError>(&parsed)) {
    return EncodeError({error->message});
  }
  std::string fault = Change(std::get<Json::Value>(parsed));
  if (!fault.empty()) {
    return EncodeError({std::move(fault)});
  }
  return Response(kOk, Json::Value(Json::objectValue));
}

std::string StandinControl::Change(const Json::Value& body) {
  FieldReader reader(body, "$");
  const Json::Value& cut = reader.Child("cut");
  const std::string target = reader.Text("target", "");
  const Json::Value& set = reader.Child("set");
  std::string faults = reader.Faults();
  if (!faults.empty()) {
    return faults;
  }
  if (!cut.isNull()) {
    return target.empty() && set.isNull() ? Cut(cut)
                                          : "$.cut stands with $.target";
  }
  return target == "platform" ? SetPlatform(set) : SetInstance(target, set);
}

std::string StandinControl::SetPlatform(const Json::Value& set) {
  FieldReader reader(set, "$.set");
  PlatformServer& server = cluster_.platform();
  PlatformFaults faults = server.store().faults();
  PlatformServerFaults server_faults = server.faults();
  faults.down = reader.Flag("down", faults.down);
  faults.refuse = reader.Flag("refuse", faults.refuse);
  faults.lose_answers = reader.SmallCount("lose_answers", faults.lose_answers);
  faults.max_writes_per_second =
      reader.SmallCount("max_writes_per_second", faults.max_writes_per_second);
  faults.max_reads_per_second =
      reader.SmallCount("max_reads_per_second", faults.max_reads_per_second);
  server_faults.garbage_answers =
      reader.SmallCount("garbage_answers", server_faults.garbage_answers);
  server_faults.slow = reader.Milliseconds("slow_ms", server_faults.slow);
  if (reader.Has("cut_listeners")) {
    const std::vector<std::string> cut = reader.Texts("cut_listeners");
    server_faults.cut_listeners = {cut.begin(), cut.end()};
  }
  const bool sets_lag = reader.Has("lag_ms");
  const Duration lag = reader.Milliseconds("lag_ms", Duration(0));
  std::string problem = reader.Faults();
  if (!problem.empty()) {
    return problem;
  }
  server.store().faults() = faults;
  server.faults() = server_faults;
  if (sets_lag) {
    server.store().instances().set_lag(lag);
  }
  server.Pump();
  return "";
}

std::string StandinControl::SetInstance(const std::string& id,
                                        const Json::Value& set) {
  if (!cluster_.HasInstance(id)) {
    return "$.target " + id + " is not an instance of the settings";
  }
  FieldReader reader(set, "$.set");
  const bool sets_leaving = reader.Has("leaving");
  const bool sets_gone = reader.Has("gone");
  const bool leaving = reader.Flag("leaving", false);
  const bool gone = reader.Flag("gone", false);
  WorkerServer* worker = cluster_.FindWorker(id);
  WorkerChange change;
  if (worker != nullptr) {
    change = ReadWorkerChange(reader, *worker);
  }
  std::string problem = reader.Faults();
  if (!problem.empty()) {
    return problem;
  }
  if (worker != nullptr) {
    problem = Apply(change, *worker);
  }
  if (sets_leaving) {
    cluster_.MarkLeaving(id, leaving);
  }
  if (sets_gone) {
    if (const auto error = cluster_.SetGone(id, gone)) {
      problem = error->message;
    }
  }
  return problem;
}

std::string StandinControl::Cut(const Json::Value& cut) {
  FieldReader reader(cut, "$.cut");
  const std::string owner = reader.Text("from_owner");
  const std::string target = reader.Text("target");
  const bool is_cut = reader.Flag("cut", true);
  WorkerServer* worker = cluster_.FindWorker(target);
  if (worker == nullptr) {
    reader.AddFault("target", target + " is not a worker or minion");
  }
  std::string problem = reader.Faults();
  if (!problem.empty()) {
    return problem;
  }
  std::set<std::string>& cut_owners = worker->worker().faults().cut_owners;
  if (is_cut) {
    cut_owners.insert(owner);
  } else {
    cut_owners.erase(owner);
  }
  return "";
}

Json::Value StandinControl::Counters() const {
  const ExecutionRecorder& recorder = cluster_.recorder();
  std::uint64_t overcommit_attempts = 0;
  std::uint64_t stale_commands = 0;
  std::uint64_t lapsed_leases = 0;
  std::uint32_t max_live_per_task = 0;
  Json::Value body;
  body["instances"] = Json::Value(Json::objectValue);
  for (const auto& [id, server] : cluster_.workers()) {
    const WorkerModel& worker = server->worker();
    overcommit_attempts += worker.overcommit_attempts();
    stale_commands += worker.stale_commands();
    lapsed_leases += worker.lapsed_leases();
    max_live_per_task = std::max(max_live_per_task, worker.max_live_per_task());
    body["instances"][id] = EncodeWorker(worker);
  }
  body["platform"] = PlatformCounters();
  body["executions"] = Number(recorder.executions());
  body["live"] = Number(recorder.live());
  body["doubled"] = Number(recorder.doubled());
  body["doubles"] = EncodeDoubles(recorder);
  body["repeated_unique"] = Number(recorder.repeated_unique());
  body["overcommit_attempts"] = Number(overcommit_attempts);
  body["stale_commands"] = Number(stale_commands);
  body["lapsed_leases"] = Number(lapsed_leases);
  body["max_live_per_task"] = Number(max_live_per_task);
  return body;
}

Json::Value StandinControl::PlatformCounters() const {
  const PlatformServer& server = cluster_.platform();
  const CallCounter& calls = server.store().calls();
  Json::Value body;
  for (std::size_t it = 0; it < kCallKindCount; ++it) {
    const auto kind = static_cast<CallKind>(it);
    body["calls"][CallKindName(kind)] = EncodeCounts(calls.Of(kind));
  }
  body["reads"] = EncodeCounts(calls.OfGroup(false));
  body["writes"] = EncodeCounts(calls.OfGroup(true));
  body["keys"] = Number(server.store().key_count());
  body["revision"] = Number(server.store().revision());
  body["held_watches"] = Number(server.held_watches());
  return body;
}

}  // namespace burdockrock::standin
