#include "scheduler/dump.h"

#include <string>

#include "scheduler/membership.h"

namespace burdockrock {

namespace {

Json::Value Number(std::uint64_t value) {
  return Json::UInt64{value};
}

Json::Value Age(Time now, Time then) {
  return Json::Int64{ToMilliseconds(now - then)};
}

Json::Value DumpResources(const Resources& resources) {
  Json::Value value(Json::objectValue);
  const DimensionArray amounts = ToArray(resources);
  for (std::size_t it = 0; it < kDimensionCount; ++it) {
    value[DimensionName(it)] = Json::Int64{amounts[it]};
  }
  return value;
}

const char* OwnerStateName(OwnerState state) {
  switch (state) {
    case OwnerState::kFree:
      return "free";
    case OwnerState::kOwned:
      return "owned";
    case OwnerState::kHandingOver:
      return "handing_over";
  }
  return "free";
}

Json::Value DumpBookings(const WorkerRecord& worker) {
  Json::Value value(Json::arrayValue);
  for (const auto& [attempt, booking] : worker.bookings) {
    Json::Value one(Json::objectValue);
    one["attempt"] = ToString(attempt);
    one["state"] = AttemptStateName(booking.state);
    one["uncertain"] = booking.unverified;
    one["offered_by"] = booking.offered_by;
    value.append(std::move(one));
  }
  return value;
}

Json::Value DumpWorker(const State& state,
                       const WorkerRecord& worker,
                       Time now) {
  Json::Value value(Json::objectValue);
  value["state"] = OwnerStateName(worker.state);
  value["epoch"] = Number(worker.epoch);
  value["born"] = Json::Int64{worker.born};
  value["owner"] = worker.owner;
  value["desired"] = worker.desired;
  if (!worker.index) {
    return value;
  }
  value["free"] = DumpResources(state.placement.free(*worker.index));
  value["open"] = state.placement.open(*worker.index);
  value["closed"] = WhyClosed(state, worker);
  value["silent"] = worker.unresponsive;
  value["suspect"] = worker.suspect;
  value["leaving"] = worker.info.leaving;
  value["quarantined"] = worker.health.quarantined;
  value["answered_ms_ago"] = Age(now, worker.last_answer);
  value["bookings"] = DumpBookings(worker);
  return value;
}

Json::Value DumpPeer(const Peer& peer, Time now) {
  Json::Value value(Json::objectValue);
  value["domain"] = peer.domain;
  value["address"] = peer.address;
  value["incarnation"] = peer.incarnation;
  value["alive"] = peer.alive;
  value["leaving"] = peer.leaving || peer.digest.draining;
  value["serving"] = peer.digest.serving;
  value["struck"] = peer.refused_work;
  value["digest_ms_ago"] = Age(now, peer.digest_at);
  value["owned"] = peer.digest.owned;
  value["config_revision"] = Number(peer.digest.config_revision);
  return value;
}

Json::Value DumpJob(const Job& job) {
  Json::Value value(Json::objectValue);
  value["kind"] = JobKindName(job.spec.kind);
  value["team"] = job.spec.team;
  value["count"] = job.spec.count;
  value["queued"] = job.queued;
  value["open"] = job.open;
  value["waits_for"] = job.queued > 0 ? job.waits_for : "";
  value["recorded"] = job.recorded;
  value["cancelled"] = job.cancelled;
  value["finished"] = job.finished;
  value["bad"] = job.bad;
  return value;
}

Json::Value DumpLog(const OpenLog& open) {
  Json::Value value(Json::objectValue);
  value["writable"] = open.log->is_writable();
  value["reachable"] = open.log->is_reachable();
  value["pending"] = Number(open.log->pending_count());
  value["records"] = Number(open.log->records().size());
  value["writes"] = Number(open.log->puts_sent());
  value["conflicts"] = Number(open.log->conflicts());
  value["problem"] = open.log->problem();
  return value;
}

Json::Value DumpRequests(const State& state) {
  Json::Value value(Json::objectValue);
  for (const auto& [id, entry] : state.requests.entries) {
    Json::Value one(Json::objectValue);
    one["service"] = entry.request.service;
    one["team"] = entry.request.team;
    one["urgency"] = UrgencyName(entry.request.urgency);
    one["minion"] = entry.minion;
    one["peer"] = entry.peer;
    value[id] = std::move(one);
  }
  return value;
}

}  // namespace

Json::Value DumpState(const State& state, Time now) {
  Json::Value value(Json::objectValue);
  value["instance"] = state.self.instance;
  value["incarnation"] = state.self.incarnation;
  value["domain"] = state.self.domain;
  value["site"] = state.self.site;
  value["draining"] = state.drain.draining;
  value["config_revision"] = Number(state.config.view.revision);
  value["instances_revision"] = Number(state.membership.instances.revision);
  value["platform_reachable"] = state.platform_ok;
  value["owned"] = state.ownership.owned;
  Json::Value& members = value["members"] = Json::Value(Json::arrayValue);
  for (const std::string& it : state.membership.members) {
    members.append(it);
  }
  for (const auto& [id, peer] : state.membership.peers) {
    value["peers"][id] = DumpPeer(peer, now);
  }
  for (const auto& [id, worker] : state.ownership.workers) {
    value["workers"][id] = DumpWorker(state, worker, now);
  }
  value["requests"] = DumpRequests(state);
  for (const auto& [id, job] : state.jobs.jobs) {
    value["jobs"][id] = DumpJob(job);
  }
  for (const auto& [name, journal] : state.jobs.journals) {
    value["journals"][name] = Number(journal.generation);
  }
  for (const auto& [name, open] : state.logs) {
    value["logs"][name] = DumpLog(open);
  }
  for (const auto& [name, search] : state.searches) {
    value["searches"][name] = Number(search.covered.size());
  }
  return value;
}

StateMetrics CollectStateMetrics(const State& state) {
  StateMetrics figures{.owned = state.ownership.owned,
                       .waiting_tasks = state.jobs.queued_tasks,
                       .capacity = state.placement.total_capacity(),
                       .free = state.placement.total_free(),
                       .counters = state.counters};
  for (const auto& [service, queue] : state.requests.services) {
    for (std::size_t it = 0; it < kUrgencyCount; ++it) {
      figures.waiting_requests[it] += queue.classes[it].size();
    }
  }
  return figures;
}

}  // namespace burdockrock
