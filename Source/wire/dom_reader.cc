#include "wire/dom_reader.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

#include "model/resources.h"
#include "model/work.h"
#include "wire/printable.h"

namespace burdockrock {

bool ReadDomAmount(const JsonElement& value,
                   std::uint64_t most,
                   std::uint64_t& out) {
  std::uint64_t number = 0;
  if (value.get(number) != simdjson::SUCCESS || number > most) {
    return false;
  }
  out = number;
  return true;
}

bool ReadDom(const JsonElement& value, std::uint32_t& out) {
  std::uint64_t number = 0;
  const bool read =
      ReadDomAmount(value, std::numeric_limits<std::uint32_t>::max(), number);
  out = read ? static_cast<std::uint32_t>(number) : out;
  return read;
}

bool ReadDom(const JsonElement& value, std::uint64_t& out) {
  return ReadDomAmount(value, std::numeric_limits<std::uint64_t>::max(), out);
}

bool ReadDom(const JsonElement& value, std::int64_t& out) {
  std::uint64_t number = 0;
  const bool read =
      ReadDomAmount(value, std::numeric_limits<std::int64_t>::max(), number);
  out = read ? static_cast<std::int64_t>(number) : out;
  return read;
}

bool ReadDom(const JsonElement& value, double& out) {
  double number = 0;
  if (value.get(number) != simdjson::SUCCESS || !std::isfinite(number) ||
      number < 0) {
    return false;
  }
  out = number;
  return true;
}

bool ReadDom(const JsonElement& value, bool& out) {
  return value.get(out) == simdjson::SUCCESS;
}

bool ReadDom(const JsonElement& value, std::string& out) {
  std::string_view text;
  if (value.get(text) != simdjson::SUCCESS) {
    return false;
  }
  out.assign(text);
  return true;
}

bool ReadDom(const JsonElement& value, Duration& out) {
  std::uint64_t number = 0;
  const bool read = ReadDomAmount(value, kMaxMilliseconds, number);
  out = read ? Duration(std::chrono::milliseconds(number)) : out;
  return read;
}

bool ReadDomName(const JsonElement& value, std::string& out) {
  std::string_view text;
  if (value.get(text) != simdjson::SUCCESS || text.size() > kMaxNameBytes ||
      !IsPrintable(text)) {
    return false;
  }
  out.assign(text);
  return true;
}

void DomObjectReader::Name(const char* name, std::string& out) {
  if (const auto found = FindRequired(name)) {
    Note(ReadDomName(*found, out));
  }
}

void DomObjectReader::OptionalName(const char* name, std::string& out) {
  if (const auto found = Find(name)) {
    Note(ReadDomName(*found, out));
  }
}

void DomObjectReader::Identifier(const char* name, std::string& out) {
  if (const auto found = FindRequired(name)) {
    Note(ReadDomName(*found, out) && !out.empty());
  }
}

void DomObjectReader::Amount(const char* name, std::int64_t& out) {
  out = 0;
  if (const auto found = Find(name)) {
    std::uint64_t number = 0;
    Note(ReadDomAmount(*found, kMaxAmount, number));
    out = static_cast<std::int64_t>(number);
  }
}

void DomObjectReader::Choice(const char* name,
                             bool& out,
                             const char* if_false,
                             const char* if_true) {
  std::string text;
  if (const auto found = FindRequired(name)) {
    Note(ReadDom(*found, text) && (text == if_false || text == if_true));
    out = text == if_true;
  }
}

std::optional<JsonElement> DomObjectReader::Find(const char* name) {
  JsonElement found;
  if (object_.at_key(name).get(found) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  ++found_;
  return found;
}

std::optional<JsonElement> DomObjectReader::FindRequired(const char* name) {
  auto found = Find(name);
  Note(found.has_value());
  return found;
}

}  // namespace burdockrock
