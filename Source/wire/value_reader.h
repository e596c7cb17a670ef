// Reads values from JSON strictly.
#ifndef BURDOCKROCK_WIRE_VALUE_READER_H_
#define BURDOCKROCK_WIRE_VALUE_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "model/attempt.h"
#include "model/time.h"
#include "net/json_read.h"
#include "wire/enum_text.h"
#include "wire/fields.h"
#include "wire/json_place.h"

namespace burdockrock {

// Each sets `out`, or adds an error at `place` and leaves `out` as it is.
// Numbers are whole and not negative.
void ReadValue(const JsonPlace& place, std::uint32_t& out);
void ReadValue(const JsonPlace& place, std::uint64_t& out);
void ReadValue(const JsonPlace& place, std::int64_t& out);
void ReadValue(const JsonPlace& place, double& out);  // may have a fraction
void ReadValue(const JsonPlace& place, bool& out);
void ReadValue(const JsonPlace& place, std::string& out);
void ReadValue(const JsonPlace& place, Duration& out);
void ReadValue(const JsonPlace& place, AttemptId& out);

// Text of at most kMaxNameBytes without control characters, which would break
// the lines of logs and metrics that show it.
void ReadName(const JsonPlace& place, std::string& out);

template <typename Enum>
requires std::is_enum_v<Enum>
void ReadValue(const JsonPlace& place, Enum& out) {
  const auto value =
      ParseEnum<Enum>(ReadText(place.value()).value_or(std::string()));
  if (!value) {
    place.Fail(place.Shown() + " is unknown", EnumNames<Enum>());
    return;
  }
  out = *value;
}

template <HasFields T>
void ReadValue(const JsonPlace& place, T& out);

template <typename T>
void ReadValue(const JsonPlace& place, std::optional<T>& out) {
  ReadValue(place, out.emplace());
}

template <typename T>
void ReadValue(const JsonPlace& place, std::vector<T>& out) {
  if (!place.value().isArray()) {
    place.Fail(place.Shown() + " is not an array", "an array");
    return;
  }
  out.clear();
  out.reserve(place.value().size());
  Json::ArrayIndex index = 0;
  for (const Json::Value& it : place.value()) {
    ReadValue(JsonPlace(it, place, index), out.emplace_back());
    ++index;
  }
}

// The codec of FieldsOf::Visit that reads an object.
class ObjectReader {
 public:
  explicit ObjectReader(const JsonPlace& place) : place_(place) {}

  // False, with an error, if the place is no object.
  bool Begin();

  template <typename T>
  void Field(const char* name, T& out) {
    if (const Json::Value* found = FindRequired(name)) {
      ReadValue(JsonPlace(*found, place_, name), out);
    }
  }

  template <typename T>
  void Optional(const char* name, T& out, const T& fallback) {
    if (const Json::Value* found = Find(name)) {
      ReadValue(JsonPlace(*found, place_, name), out);
    } else {
      out = fallback;
    }
  }

  // A single element that can't be read must not hide the others.
  template <typename T>
  void Elements(const char* name,
                std::vector<T>& out,
                std::vector<std::string>& unreadable) {
    const Json::Value* found = FindRequired(name);
    if (found == nullptr) {
      return;
    }
    if (!found->isArray()) {
      const JsonPlace place(*found, place_, name);
      return place.Fail(place.Shown() + " is not an array", "an array");
    }
    for (Json::ArrayIndex it = 0; it < found->size(); ++it) {
      DecodeErrors errors;
      T element;
      ReadValue(JsonPlace((*found)[it], errors), element);
      if (errors.empty()) {
        out.push_back(std::move(element));
      } else {
        unreadable.push_back(std::string(name) + "[" + std::to_string(it) +
                             "]: " + ToString(errors.front()));
      }
    }
  }

  void Name(const char* name, std::string& out);
  void OptionalName(const char* name, std::string& out);
  void Identifier(const char* name, std::string& out);
  void Address(const char* name, std::string& out);
  void Clock(const char* name, std::int64_t& out);
  void OptionalClock(const char* name, std::int64_t& out);
  void Amount(const char* name, std::int64_t& out);
  void Choice(const char* name,
              bool& out,
              const char* if_false,
              const char* if_true);
  void Ignored(const char* name) { Find(name); }

  // Adds an error for each member that was not asked for.
  void End() const;

 private:
  const Json::Value* Find(const char* name);
  const Json::Value* FindRequired(const char* name);

  const JsonPlace& place_;
  std::vector<const char*> asked_;
  std::size_t found_ = 0;
};

template <HasFields T>
void ReadValue(const JsonPlace& place, T& out) {
  ObjectReader reader(place);
  if (!reader.Begin()) {
    return;
  }
  FieldsOf<T>::Visit(reader, out);
  reader.End();
}

template <typename T>
using Decoded = std::variant<T, DecodeError>;

// Reads the whole of `value`; of several errors the first is returned.
template <typename T>
Decoded<T> DecodeValue(const Json::Value& value) {
  DecodeErrors errors;
  T out;
  ReadValue(JsonPlace(value, errors), out);
  if (!errors.empty()) {
    return std::move(errors.front());
  }
  return out;
}

// The object that `text` is.
std::variant<Json::Value, DecodeError> ParseObject(std::string_view text);

template <typename T>
Decoded<T> DecodeText(std::string_view text) {
  auto parsed = ParseObject(text);
  if (auto* error = std::get_if<DecodeError>(&parsed)) {
    return std::move(*error);
  }
  return DecodeValue<T>(std::get<Json::Value>(parsed));
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_VALUE_READER_H_
