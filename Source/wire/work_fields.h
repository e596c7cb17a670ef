// The members of work, attempts and instances on the wire; the same at every
// edge and in journal records.
#ifndef BURDOCKROCK_WIRE_WORK_FIELDS_H_
#define BURDOCKROCK_WIRE_WORK_FIELDS_H_

#include "model/attempt.h"
#include "model/caller_message.h"
#include "model/platform.h"
#include "model/resources.h"
#include "model/work.h"
#include "wire/fields.h"

namespace burdockrock {

template <>
struct FieldsOf<Resources> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Amount("processors_milli", it.processors_milli);
    codec.Amount("memory_mb", it.memory_mb);
    codec.Amount("accelerators", it.accelerators);
    codec.Amount("slots", it.slots);
  }
};

template <>
struct FieldsOf<Request> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.OptionalName("id", it.id);
    codec.Name("service", it.service);
    codec.OptionalName("team", it.team);
    codec.Optional("urgency", it.urgency, Urgency::kNormal);
    codec.Optional("deadline_ms", it.deadline, Duration(0));
    codec.Optional("idempotent", it.idempotent, true);
    codec.OptionalName("key", it.key);
    codec.Optional("payload", it.payload, std::string());
  }
};

template <>
struct FieldsOf<JobSpec> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("kind", it.kind);
    codec.Optional("count", it.count, std::uint32_t{1});
    codec.Field("resources", it.resources);
    codec.OptionalName("team", it.team);
    codec.Optional("urgency", it.urgency, Urgency::kNormal);
    codec.Optional("run_time_ms", it.run_time, Duration(0));
    codec.Optional("deadline_ms", it.deadline, Duration(0));
    codec.Optional("idempotent", it.idempotent, true);
    codec.OptionalName("key", it.key);
    codec.Optional("payload", it.payload, std::string());
  }
};

template <>
struct FieldsOf<AttemptReport> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("attempt", it.attempt);
    codec.Field("resources", it.resources);
    codec.Field("state", it.state);
    codec.Optional("outcome", it.outcome, Outcome::kNone);
    codec.Optional("answer", it.answer, std::string());
    codec.Ignored("age_ms");
  }
};

template <>
struct FieldsOf<InstanceInfo> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Identifier("id", it.id);
    codec.Field("role", it.role);
    codec.OptionalName("service", it.service);
    codec.Identifier("domain", it.domain);
    codec.OptionalName("rack", it.rack);
    codec.Address("address", it.address);
    codec.Choice("state", it.leaving, "live", "leaving");
    codec.Optional("capacity", it.capacity, Resources());
    codec.OptionalClock("born", it.born);
  }
};

template <>
struct FieldsOf<InstanceList> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
    codec.Elements("instances", it.instances, it.unreadable);
  }
};

template <>
struct FieldsOf<WorkStatus> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("id", it.id);
    codec.Field("kind", it.kind);
    codec.Optional("is_request", it.is_request, false);
    codec.Field("state", it.state);
    codec.Field("count", it.count);
    codec.Field("queued", it.queued);
    codec.Field("starting", it.starting);
    codec.Field("running", it.running);
    codec.Field("done", it.done);
    codec.Field("failed", it.failed);
    codec.Field("may_have_run", it.may_have_run);
    codec.Field("waited_ms", it.waited);
    codec.Field("answers", it.answers);
  }
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_WORK_FIELDS_H_
