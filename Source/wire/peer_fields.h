// The members of messages between entry instances.
#ifndef BURDOCKROCK_WIRE_PEER_FIELDS_H_
#define BURDOCKROCK_WIRE_PEER_FIELDS_H_

#include <string>
#include <vector>

#include "model/peer_message.h"
#include "wire/work_fields.h"

namespace burdockrock {

template <>
struct FieldsOf<ServiceRoom> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("service", it.service);
    codec.Field("free_slots", it.free_slots);
    codec.Field("waiting", it.waiting);
  }
};

template <>
struct FieldsOf<LedLog> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("name", it.name);
    codec.Field("generation", it.generation);
  }
};

template <>
struct FieldsOf<Digest> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("sequence", it.sequence);
    codec.Optional("serving", it.serving, false);
    codec.Optional("draining", it.draining, false);
    codec.Optional("services", it.services, {});
    codec.Optional("free", it.free, {});
    codec.Optional("waiting_tasks", it.waiting_tasks, std::int64_t{0});
    codec.Field("owned", it.owned);
    codec.Field("config_revision", it.config_revision);
    codec.Field("instances_revision", it.instances_revision);
    codec.Field("platform_age_ms", it.platform_age);
    codec.Optional("logs", it.logs, {});
  }
};

template <>
struct FieldsOf<ForwardRequest> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("request", it.request);
  }
};

template <>
struct FieldsOf<ForwardAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("answer", it.answer);
  }
};

template <>
struct FieldsOf<CancelForward> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("id", it.id);
  }
};

template <>
struct FieldsOf<TaskOffer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("sequence", it.sequence);
    codec.Name("to_incarnation", it.to_incarnation);
    codec.Field("generation", it.generation);
    codec.Field("attempt", it.attempt);
    codec.Field("kind", it.kind);
    codec.Field("resources", it.resources);
    codec.Optional("payload", it.payload, std::string());
    codec.Optional("hold", it.hold, false);
  }
};

template <>
struct FieldsOf<TaskRefused> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("sequence", it.sequence);
    codec.Field("attempt", it.attempt);
    codec.Field("reason", it.reason);
  }
};

template <>
struct FieldsOf<TaskUpdate> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("report", it.report);
    codec.Name("worker", it.worker);
  }
};

template <>
struct FieldsOf<TaskAcknowledged> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("attempt", it.attempt);
  }
};

template <>
struct FieldsOf<TaskGo> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("attempt", it.attempt);
  }
};

template <>
struct FieldsOf<TaskStop> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("attempt", it.attempt);
  }
};

template <>
struct FieldsOf<Handover> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("worker", it.worker);
    codec.Field("epoch", it.epoch);
  }
};

template <>
struct FieldsOf<AttemptSearch> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("log", it.log);
    codec.Field("generation", it.generation);
    codec.Field("round", it.round);
  }
};

template <>
struct FieldsOf<AttemptSearchAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("log", it.log);
    codec.Field("round", it.round);
    codec.Field("found", it.found);
    codec.Field("covered", it.covered);
    codec.Field("lapsed", it.lapsed);
  }
};

template <>
struct FieldsOf<AdoptLog> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("log", it.log);
  }
};

template <>
struct FieldsOf<PullDocuments> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("config_revision", it.config_revision);
    codec.Field("instances_revision", it.instances_revision);
  }
};

template <>
struct FieldsOf<ConfigView> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
    codec.Field("document", it.document);
  }
};

template <>
struct FieldsOf<ConfigDocument> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("view", it.view);
  }
};

template <>
struct FieldsOf<InstancesDocument> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("list", it.list);
  }
};

template <>
struct FieldsOf<AskWork> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("ask", it.ask);
    codec.Name("id", it.id);
    codec.Optional("cancel", it.cancel, false);
  }
};

// When nothing is found the status is empty.
template <>
struct FieldsOf<AskWorkAnswer> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("ask", it.ask);
    codec.Field("found", it.found);
    codec.Optional("writes", it.writes, true);
    codec.Optional("status", it.status, WorkStatus());
  }
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_PEER_FIELDS_H_
