// Writes values as JSON text, without the tree that value_writer.h builds. Both
// write the same values.
#ifndef BURDOCKROCK_WIRE_TEXT_WRITER_H_
#define BURDOCKROCK_WIRE_TEXT_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "model/time.h"
#include "wire/enum_text.h"
#include "wire/fields.h"

namespace burdockrock {

// Each appends `value` to `out`.
void WriteText(std::uint32_t value, std::string& out);
void WriteText(std::uint64_t value, std::string& out);
void WriteText(std::int64_t value, std::string& out);
void WriteText(double value, std::string& out);
void WriteText(bool value, std::string& out);
void WriteText(const std::string& value, std::string& out);
void WriteText(Duration value, std::string& out);

// `text` in quotes.
void WriteQuoted(std::string_view text, std::string& out);

template <typename Enum>
requires std::is_enum_v<Enum>
void WriteText(Enum value, std::string& out) {
  WriteQuoted(EnumText<Enum>::kName(value), out);
}

template <HasFields T>
void WriteText(const T& value, std::string& out);

// An empty one has no form of its own: TextObjectWriter::Optional leaves it
// out.
template <typename T>
void WriteText(const std::optional<T>& value, std::string& out) {
  if (value) {
    WriteText(*value, out);
  } else {
    out += "null";
  }
}

template <typename T>
void WriteText(const std::vector<T>& values, std::string& out) {
  out += '[';
  for (const T& it : values) {
    WriteText(it, out);
    out += ',';
  }
  if (out.back() == ',') {
    out.pop_back();
  }
  out += ']';
}

// The codec of FieldsOf::Visit that appends an object's members.
class TextObjectWriter {
 public:
  explicit TextObjectWriter(std::string& out) : out_(out) {}

  template <typename T>
  void Field(const char* name, const T& value) {
    Begin(name);
    WriteText(value, out_);
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

  void Amount(const char* name, std::int64_t value) {
    Optional(name, value, std::int64_t{0});
  }

  void Choice(const char* name,
              bool value,
              const char* if_false,
              const char* if_true) {
    Begin(name);
    WriteQuoted(value ? if_true : if_false, out_);
  }

  void Ignored(const char* /*name*/) {}

 private:
  void Begin(const char* name) {
    out_ += first_ ? "" : ",";
    first_ = false;
    WriteQuoted(name, out_);
    out_ += ':';
  }

  std::string& out_;
  bool first_ = true;
};

template <HasFields T>
void WriteText(const T& value, std::string& out) {
  out += '{';
  TextObjectWriter writer(out);
  FieldsOf<T>::Visit(writer, value);
  out += '}';
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_TEXT_WRITER_H_
