// Reads values from JSON without naming faults. It takes a fraction of the time
// of value_reader.h, which names them, and accepts nothing that it refuses.
#ifndef BURDOCKROCK_WIRE_DOM_READER_H_
#define BURDOCKROCK_WIRE_DOM_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "model/time.h"
#include "net/json_dom.h"
#include "wire/enum_text.h"
#include "wire/fields.h"

namespace burdockrock {

// Each sets `out`, or returns false. Numbers are whole and not negative.
bool ReadDom(const JsonElement& value, std::uint32_t& out);
bool ReadDom(const JsonElement& value, std::uint64_t& out);
bool ReadDom(const JsonElement& value, std::int64_t& out);
bool ReadDom(const JsonElement& value, double& out);  // may have a fraction
bool ReadDom(const JsonElement& value, bool& out);
bool ReadDom(const JsonElement& value, std::string& out);
bool ReadDom(const JsonElement& value, Duration& out);

// A number from 0 to `most`.
bool ReadDomAmount(const JsonElement& value,
                   std::uint64_t most,
                   std::uint64_t& out);

// Text of at most kMaxNameBytes without control characters.
bool ReadDomName(const JsonElement& value, std::string& out);

template <typename Enum>
requires std::is_enum_v<Enum>
bool ReadDom(const JsonElement& value, Enum& out) {
  std::string_view text;
  if (value.get(text) != simdjson::SUCCESS) {
    return false;
  }
  const auto parsed = ParseEnum<Enum>(text);
  out = parsed.value_or(out);
  return parsed.has_value();
}

template <HasFields T>
bool ReadDom(const JsonElement& value, T& out);

template <typename T>
bool ReadDom(const JsonElement& value, std::optional<T>& out) {
  return ReadDom(value, out.emplace());
}

template <typename T>
bool ReadDom(const JsonElement& value, std::vector<T>& out) {
  simdjson::dom::array array;
  if (value.get(array) != simdjson::SUCCESS) {
    return false;
  }
  out.clear();
  out.reserve(array.size());
  for (const JsonElement it : array) {
    if (!ReadDom(it, out.emplace_back())) {
      return false;
    }
  }
  return true;
}

// The codec of FieldsOf::Visit that reads an object.
class DomObjectReader {
 public:
  explicit DomObjectReader(const simdjson::dom::object& object)
      : object_(object) {}

  template <typename T>
  void Field(const char* name, T& out) {
    if (const auto found = FindRequired(name)) {
      Note(ReadDom(*found, out));
    }
  }

  template <typename T>
  void Optional(const char* name, T& out, const T& fallback) {
    if (const auto found = Find(name)) {
      Note(ReadDom(*found, out));
    } else {
      out = fallback;
    }
  }

  void Name(const char* name, std::string& out);
  void OptionalName(const char* name, std::string& out);
  void Identifier(const char* name, std::string& out);
  void Amount(const char* name, std::int64_t& out);
  void Choice(const char* name,
              bool& out,
              const char* if_false,
              const char* if_true);
  void Ignored(const char* name) { Find(name); }

  // Whether all members were read and the object has no others.
  bool IsRead() const { return read_ && found_ == object_.size(); }

 private:
  std::optional<JsonElement> Find(const char* name);
  std::optional<JsonElement> FindRequired(const char* name);
  void Note(bool read) { read_ = read_ && read; }

  const simdjson::dom::object& object_;
  std::size_t found_ = 0;
  bool read_ = true;
};

template <HasFields T>
bool ReadDom(const JsonElement& value, T& out) {
  simdjson::dom::object object;
  if (value.get(object) != simdjson::SUCCESS) {
    return false;
  }
  DomObjectReader reader(object);
  FieldsOf<T>::Visit(reader, out);
  return reader.IsRead();
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_DOM_READER_H_
