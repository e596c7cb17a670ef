// The members of calls to the platform's key-value service and of its answers.
#ifndef BURDOCKROCK_WIRE_PLATFORM_FIELDS_H_
#define BURDOCKROCK_WIRE_PLATFORM_FIELDS_H_

#include <optional>
#include <string>

#include "model/platform.h"
#include "wire/work_fields.h"

namespace burdockrock {

template <>
struct FieldsOf<KvGet> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
  }
};

template <>
struct FieldsOf<KvPut> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Field("value", it.value);
    codec.Optional("expect", it.expect, std::optional<Revision>());
  }
};

template <>
struct FieldsOf<KvDelete> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Optional("expect", it.expect, std::optional<Revision>());
  }
};

template <>
struct FieldsOf<KvRange> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("prefix", it.prefix);
  }
};

template <>
struct FieldsOf<KvWatch> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("prefix", it.prefix);
    codec.Field("after", it.after);
    codec.Field("wait_ms", it.wait);
  }
};

template <>
struct FieldsOf<InstancesWatch> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("after", it.after);
    codec.Field("wait_ms", it.wait);
  }
};

// The value of a deleted key may be absent.
template <>
struct FieldsOf<KvItem> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("key", it.key);
    codec.Optional("value", it.value, std::string());
    codec.Field("revision", it.revision);
    codec.Optional("deleted", it.deleted, false);
  }
};

template <>
struct FieldsOf<KvItems> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
    codec.Field("items", it.items);
  }
};

template <>
struct FieldsOf<KvDone> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
  }
};

template <>
struct FieldsOf<KvConflict> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("revision", it.revision);
  }
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_PLATFORM_FIELDS_H_
