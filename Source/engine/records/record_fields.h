// JSON field names of the engine's records.
#ifndef BURDOCKROCK_ENGINE_RECORDS_RECORD_FIELDS_H_
#define BURDOCKROCK_ENGINE_RECORDS_RECORD_FIELDS_H_

#include <string>
#include <vector>

#include "engine/jobs/job_model.h"
#include "engine/records/record.h"
#include "wire/enum_text.h"
#include "wire/fields.h"
#include "wire/work_fields.h"

namespace burdockrock {

template <>
struct EnumText<engine::JobState> {
  static constexpr engine::JobState kLast = engine::JobState::kCancelled;
  static constexpr auto* kName = &engine::JobStateName;
};

template <>
struct EnumText<engine::RunEnd> {
  static constexpr engine::RunEnd kLast = engine::RunEnd::kCrashed;
  static constexpr auto* kName = &engine::RunEndName;
};

template <>
struct FieldsOf<engine::StepSpec> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("count", it.count, std::uint32_t{1});
    codec.Field("each", it.each);
    codec.Optional("estimate_ms", it.estimate, Duration(0));
    codec.Optional("after", it.after, std::vector<std::uint32_t>());
    codec.Optional("checkpointing", it.checkpointing, false);
    codec.Optional("gang", it.gang, false);
    codec.Optional("same_rack", it.same_rack, false);
    codec.OptionalName("label", it.label);
    codec.OptionalName("rack", it.rack);
    codec.Optional("spread", it.spread, std::uint32_t{0});
    codec.Optional("concurrent", it.concurrent, false);
    codec.Optional("lasting", it.lasting, false);
    codec.Optional("filling", it.filling, false);
    codec.OptionalName("image", it.image);
    codec.Optional("tail_target_ms", it.tail_target, Duration(0));
    codec.Optional("may_miss", it.may_miss, std::uint32_t{0});
  }
};

template <>
struct FieldsOf<engine::JobSpec> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("payload", it.payload, std::string());
    codec.Field("steps", it.steps);
    codec.Optional("repetitions", it.repetitions, std::uint32_t{0});
    codec.Optional("first_due_ms", it.first_due_ms, std::int64_t{0});
    codec.Optional("interval_ms", it.interval_ms, std::int64_t{0});
  }
};

template <>
struct FieldsOf<engine::OwnedEntry> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("team", it.team);
    codec.Optional("most", it.most, std::optional<Resources>());
    codec.Optional("excess", it.excess, false);
  }
};

template <>
struct FieldsOf<engine::MemberRecord> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("incarnation", it.incarnation);
    codec.Name("node", it.node);
    codec.Name("domain", it.domain);
    codec.Name("address", it.address);
    codec.Optional("weight", it.weight, std::uint32_t{1});
  }
};

template <>
struct FieldsOf<engine::EndedRuns> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("step", it.step, std::uint32_t{0});
    codec.Optional("index", it.index, std::uint32_t{0});
    codec.Field("runs", it.runs);
  }
};

template <>
struct FieldsOf<engine::CrashedRuns> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("step", it.step, std::uint32_t{0});
    codec.Optional("index", it.index, std::uint32_t{0});
    codec.Field("runs", it.runs);
    codec.Optional("workers", it.workers, std::vector<std::string>());
    codec.Optional("excused", it.excused, std::vector<std::uint64_t>());
    codec.Optional("lost_starts", it.lost_starts, std::uint32_t{0});
    codec.Optional("longest_ms", it.longest, Duration(0));
  }
};

template <>
struct FieldsOf<engine::StoredStart> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("step", it.step, std::uint32_t{0});
    codec.Optional("index", it.index, std::uint32_t{0});
    codec.Field("run", it.run);
    codec.Field("worker", it.worker);
  }
};

template <>
struct FieldsOf<engine::OccurrenceRecord> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Optional("number", it.number, std::uint32_t{0});
    codec.Field("steps", it.steps);
    codec.Optional("ended", it.ended, std::vector<engine::EndedRuns>());
    codec.Optional("crashed", it.crashed, std::vector<engine::CrashedRuns>());
    codec.Optional("starts", it.starts, std::vector<engine::StoredStart>());
  }
};

template <>
struct FieldsOf<engine::OccurrenceRange> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("first", it.first);
    codec.Field("last", it.last);
  }
};

template <>
struct FieldsOf<engine::JobRecord> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Name("owner", it.owner);
    codec.Field("generation", it.generation);
    codec.Field("write", it.write);
    codec.Field("state", it.state);
    codec.Name("queue", it.queue);
    codec.Field("accepted_ms", it.accepted_ms);
    codec.Optional("ended_ms", it.ended_ms, std::int64_t{0});
    codec.Optional("cause", it.cause, std::string());
    codec.Optional("occurrences", it.occurrences,
                   std::vector<engine::OccurrenceRecord>());
    codec.Optional("done", it.done, std::vector<engine::OccurrenceRange>());
  }
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_ENGINE_RECORDS_RECORD_FIELDS_H_
