// JSON fields of the engine's calls, and of the documents that operators and
// workers keep in the store.
#ifndef BURDOCKROCK_ENGINE_CALL_FIELDS_H_
#define BURDOCKROCK_ENGINE_CALL_FIELDS_H_

#include <string>
#include <vector>

#include "engine/calls.h"
#include "engine/configuration.h"
#include "engine/records/record_fields.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"

namespace burdockrock::engine {

// The overloads below would hide those of other types.
using burdockrock::ReadValue;
using burdockrock::WriteValue;

// The operators' text is a key or its digest; what is written shows digests.
inline void ReadValue(const JsonPlace& place, KeyDigest& out) {
  std::string text;
  ReadValue(place, text);
  out = ParseKeyOrDigest(text);
}

inline Json::Value WriteValue(const KeyDigest& digest) {
  return ToString(digest);
}

}  // namespace burdockrock::engine

namespace burdockrock {

template <>
struct EnumText<engine::WorkerRefusalKind> {
  static constexpr engine::WorkerRefusalKind kLast =
      engine::WorkerRefusalKind::kReplaced;
  static constexpr auto* kName = &engine::WorkerRefusalName;
};

template <>
struct FieldsOf<engine::StoreItem> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Optional("value", it.value, std::string());
    codec.Optional("revision", it.revision, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::StoreRemoval> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Field("revision", it.revision);
  }
};

template <>
struct FieldsOf<engine::StoreCondition> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Optional("revision", it.revision, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::StorePut> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Field("value", it.value);
    codec.Optional("lease", it.lease, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::StoreRead> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
  }
};

template <>
struct FieldsOf<engine::StoreRange> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("prefix", it.prefix);
    codec.Optional("after", it.after, std::string());
    codec.Optional("may_be_stale", it.may_be_stale, false);
  }
};

template <>
struct FieldsOf<engine::StoreWatch> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("prefix", it.prefix);
    codec.Optional("after", it.after, std::uint64_t{0});
    codec.Optional("wait_ms", it.wait, Duration(0));
  }
};

template <>
struct FieldsOf<engine::StoreTransaction> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("conditions", it.conditions,
                   std::vector<engine::StoreCondition>());
    codec.Optional("puts", it.puts, std::vector<engine::StorePut>());
    codec.Optional("removes", it.removes, std::vector<std::string>());
  }
};

template <>
struct FieldsOf<engine::StoreLeaseGrant> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("ttl_ms", it.ttl);
  }
};

template <>
struct FieldsOf<engine::StoreLeaseRenew> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("lease", it.lease);
  }
};

template <>
struct FieldsOf<engine::StoreLeaseEnd> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("lease", it.lease);
  }
};

template <>
struct FieldsOf<engine::StoreDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("items", it.items, std::vector<engine::StoreItem>());
    codec.Optional("removed", it.removed, std::vector<engine::StoreRemoval>());
    codec.Optional("more", it.more, false);
    codec.Optional("revision", it.revision, std::uint64_t{0});
    codec.Optional("lease", it.lease, std::uint64_t{0});
  }
};

template <>
struct FieldsOf<engine::StoreConflict> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("items", it.items, std::vector<engine::StoreItem>());
  }
};

template <>
struct FieldsOf<engine::StoreAbsent> {
  template <typename Codec, typename Value>
  static void Visit(Codec& /*codec*/, Value& /*it*/) {}
};

template <>
struct FieldsOf<engine::StoreRefused> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("detail", it.detail, std::string());
  }
};

template <>
struct FieldsOf<engine::StoreUnknown> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("detail", it.detail, std::string());
  }
};

template <>
struct FieldsOf<engine::StoreRejected> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("detail", it.detail, std::string());
  }
};

template <>
struct FieldsOf<engine::PollWorker> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("fence", it.fence);
    codec.Optional("acknowledged", it.acknowledged, std::uint64_t{0});
    codec.Optional("lease_until_ms", it.lease_until_ms, std::int64_t{0});
    codec.Optional("wait_ms", it.wait, Duration(0));
  }
};

template <>
struct FieldsOf<engine::StartRun> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Field("run", it.run);
    codec.Optional("payload", it.payload, std::string());
    codec.Optional("ticket", it.ticket, std::string());
    codec.Optional("checkpoint", it.checkpoint, std::string());
    codec.Field("fence", it.fence);
    codec.Field("lease_until_ms", it.lease_until_ms);
  }
};

template <>
struct FieldsOf<engine::StopRun> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Field("run", it.run);
    codec.Field("fence", it.fence);
  }
};

template <>
struct FieldsOf<engine::PaceRun> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Field("run", it.run);
    codec.Field("percent", it.percent);
    codec.Field("fence", it.fence);
  }
};

template <>
struct FieldsOf<engine::RunningRow> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("task", it.task);
    codec.Field("run", it.run);
    codec.Optional("checkpoint", it.checkpoint, std::string());
    codec.Optional("percent", it.percent, std::uint32_t{0});
    codec.Optional("figure", it.figure, std::int64_t{0});
  }
};

template <>
struct FieldsOf<engine::EndedRow> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("sequence", it.sequence);
    codec.Field("task", it.task);
    codec.Field("run", it.run);
    codec.Field("how", it.how);
    codec.Optional("checkpoint", it.checkpoint, std::string());
  }
};

template <>
struct FieldsOf<engine::WorkerDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Clock("clock_ms", it.clock_ms);
    codec.OptionalClock("born", it.born);
    codec.Optional("running", it.running, std::vector<engine::RunningRow>());
    codec.Optional("ended", it.ended, std::vector<engine::EndedRow>());
    codec.Optional("more_ends", it.more_ends, false);
  }
};

template <>
struct FieldsOf<engine::WorkerRefused> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("kind", it.kind);
  }
};

template <>
struct FieldsOf<engine::WorkerUnreached> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("may_have_run", it.may_have_run, true);
    codec.Optional("detail", it.detail, std::string());
  }
};

template <>
struct FieldsOf<engine::AdviceRequest> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("step", it.step);
    codec.Field("workers", it.workers);
  }
};

template <>
struct FieldsOf<engine::Allowed> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Field("ticket", it.ticket);
  }
};

template <>
struct FieldsOf<engine::AdviceGiven> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("allowed", it.allowed, std::vector<engine::Allowed>());
  }
};

template <>
struct FieldsOf<engine::AdviceFailed> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("detail", it.detail, std::string());
  }
};

template <>
struct FieldsOf<engine::WorkerInfo> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Identifier("id", it.id);
    codec.OptionalClock("born", it.born);
    codec.Address("address", it.address);
    codec.Identifier("domain", it.domain);
    codec.Identifier("service", it.service);
    codec.Field("capacity", it.capacity);
    codec.Optional("labels", it.labels, std::vector<std::string>());
    codec.Optional("draining", it.draining, false);
  }
};

template <>
struct EnumText<engine::MachineState> {
  static constexpr engine::MachineState kLast = engine::MachineState::kDown;
  static constexpr auto* kName = &engine::MachineStateName;
};

template <>
struct EnumText<engine::MachineRefusalKind> {
  static constexpr engine::MachineRefusalKind kLast =
      engine::MachineRefusalKind::kTooMany;
  static constexpr auto* kName = &engine::MachineRefusalName;
};

template <>
struct FieldsOf<engine::ListMachines> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("page", it.page, std::string());
  }
};

template <>
struct FieldsOf<engine::BeginUpkeep> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("machine", it.machine);
    codec.Field("wave", it.wave);
    codec.Field("fence", it.fence);
  }
};

template <>
struct FieldsOf<engine::MoveMachine> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("machine", it.machine);
    codec.Field("pool", it.pool);
    codec.Field("fence", it.fence);
  }
};

template <>
struct FieldsOf<engine::Machine> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("name", it.name);
    codec.Optional("pool", it.pool, std::string());
    codec.Field("state", it.state);
    codec.Optional("worker", it.worker, std::string());
  }
};

template <>
struct FieldsOf<engine::MachinePage> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Elements("machines", it.machines, it.unreadable);
    codec.Optional("next", it.next, std::string());
  }
};

template <>
struct FieldsOf<engine::MachineTaken> {
  template <typename Codec, typename Value>
  static void Visit(Codec& /*codec*/, Value& /*it*/) {}
};

template <>
struct FieldsOf<engine::MachineRefused> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("kind", it.kind);
  }
};

template <>
struct FieldsOf<engine::MachineUnanswered> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("may_have_run", it.may_have_run, true);
    codec.Optional("detail", it.detail, std::string());
  }
};

template <>
struct FieldsOf<engine::Wave> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("number", it.number);
    codec.Field("machines", it.machines);
    codec.Optional("time_ms", it.time, Duration(0));
    codec.Optional("cap", it.cap, std::uint32_t{1});
  }
};

template <>
struct FieldsOf<engine::AdvicePolicy> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("decision_ms", it.decision, Duration(0));
    codec.Optional("each_worker_ms", it.each, Duration(0));
    codec.Field("valid_ms", it.valid);
  }
};

template <>
struct FieldsOf<engine::QueuePolicy> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("name", it.name);
    codec.OptionalName("host", it.host);
    codec.OptionalName("prefix", it.prefix);
    codec.Name("service", it.service);
    codec.Optional("priority", it.priority, std::uint32_t{0});
    codec.Optional("max_attempts", it.max_attempts, std::uint32_t{1});
    codec.Optional("stretch", it.stretch, 1.0);
    codec.Optional("latency_ms", it.latency, Duration(0));
    codec.Optional("advice", it.advice, {});
    codec.Optional("open", it.open, false);
  }
};

template <>
struct FieldsOf<engine::TeamPolicy> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("name", it.name);
    codec.Optional("keys", it.keys, std::vector<engine::KeyDigest>());
    codec.Optional("weight", it.weight, 1.0);
    codec.Optional("cap", it.cap, Resources());
  }
};

template <>
struct FieldsOf<engine::ServicePolicy> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("name", it.name);
    codec.Optional("guards_room", it.guards_room, false);
    codec.Optional("standby", it.standby, false);
  }
};

template <>
struct FieldsOf<engine::Configuration> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("version", it.version, std::uint64_t{0});
    codec.Field("queues", it.queues);
    codec.Field("services", it.services);
    codec.Optional("teams", it.teams, {});
  }
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_ENGINE_CALL_FIELDS_H_
