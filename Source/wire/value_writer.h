// Writes values as JSON.
#ifndef BURDOCKROCK_WIRE_VALUE_WRITER_H_
#define BURDOCKROCK_WIRE_VALUE_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include <json/value.h>

#include "model/attempt.h"
#include "model/time.h"
#include "wire/enum_text.h"
#include "wire/fields.h"

namespace burdockrock {

Json::Value WriteValue(std::uint32_t value);
Json::Value WriteValue(std::uint64_t value);
Json::Value WriteValue(std::int64_t value);
Json::Value WriteValue(double value);
Json::Value WriteValue(bool value);
Json::Value WriteValue(const std::string& value);
Json::Value WriteValue(Duration value);
Json::Value WriteValue(const AttemptId& value);

template <typename Enum>
requires std::is_enum_v<Enum> Json::Value WriteValue(Enum value) {
  return Json::StaticString(EnumText<Enum>::kName(value));
}

template <HasFields T>
Json::Value WriteValue(const T& value);

template <typename T>
Json::Value WriteValue(const std::vector<T>& values) {
  Json::Value array(Json::arrayValue);
  for (const T& it : values) {
    array.append(WriteValue(it));
  }
  return array;
}

// An empty one has no form of its own: ObjectWriter::Optional leaves it out.
template <typename T>
Json::Value WriteValue(const std::optional<T>& value) {
  return value ? WriteValue(*value) : Json::Value();
}

// The codec of FieldsOf::Visit that fills an object. Names are literals: they
// are kept by address.
class ObjectWriter {
 public:
  explicit ObjectWriter(Json::Value& object) : object_(object) {}

  template <typename T>
  void Field(const char* name, const T& value) {
    object_[Json::StaticString(name)] = WriteValue(value);
  }

  template <typename T>
  void Optional(const char* name, const T& value, const T& fallback) {
    if (value != fallback) {
      Field(name, value);
    }
  }

  void Name(const char* name, const std::string& value) { Field(name, value); }

  void OptionalName(const char* name, const std::string& value) {
    Optional(name, value, std::string());
  }

  void Identifier(const char* name, const std::string& value) {
    Field(name, value);
  }

  void Address(const char* name, const std::string& value) {
    Field(name, value);
  }

  void Clock(const char* name, std::int64_t value) { Field(name, value); }

  void OptionalClock(const char* name, std::int64_t value) {
    Optional(name, value, std::int64_t{0});
  }

  template <typename T>
  void Elements(const char* name,
                const std::vector<T>& values,
                const std::vector<std::string>& /*unreadable*/) {
    Field(name, values);
  }

  void Amount(const char* name, std::int64_t value) {
    Optional(name, value, std::int64_t{0});
  }

  void Choice(const char* name,
              bool value,
              const char* if_false,
              const char* if_true) {
    object_[Json::StaticString(name)] =
        Json::StaticString(value ? if_true : if_false);
  }

  void Ignored(const char* /*name*/) {}

 private:
  Json::Value& object_;
};

template <HasFields T>
Json::Value WriteValue(const T& value) {
  Json::Value object(Json::objectValue);
  ObjectWriter writer(object);
  FieldsOf<T>::Visit(writer, value);
  return object;
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_VALUE_WRITER_H_
