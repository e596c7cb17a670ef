#include "wire/value_reader.h"

#include <algorithm>
#include <cstring>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "model/work.h"
#include "net/json.h"
#include "net/json_read.h"
#include "wire/printable.h"

namespace burdockrock {

namespace {

// "/4294967295/18446744073709551615" behind the job's name.
constexpr std::size_t kMaxAttemptBytes = kMaxNameBytes + 32;

// Reads a whole number from 0 to `most`. jsoncpp reads a number over 64 bits
// as a real one, so that an overflow is found by its type.
bool ReadNumber(const JsonPlace& place,
                std::uint64_t most,
                std::uint64_t& out) {
  const Json::Value& value = place.value();
  const bool whole =
      value.type() == Json::intValue || value.type() == Json::uintValue;
  const bool negative = whole && !value.isUInt64();
  const auto number = whole ? ReadWhole(value, most) : std::nullopt;
  if (number) {
    out = *number;
    return true;
  }
  const char* fault = "is not a whole number";
  if (negative) {
    fault = "is negative";
  } else if (whole || (value.isDouble() &&
                       !ReadReal(value, std::numeric_limits<double>::lowest(),
                                 static_cast<double>(most)))) {
    fault = "is too large";
  }
  place.Fail(fmt::format("{} {}", place.Shown(), fault),
             fmt::format("0 to {}", most));
  return false;
}

void ReadClock(const JsonPlace& place, std::int64_t& out) {
  std::uint64_t number = 0;
  if (ReadNumber(place, kMaxClockMilliseconds, number)) {
    out = static_cast<std::int64_t>(number);
  }
}

}  // namespace

void ReadValue(const JsonPlace& place, std::uint32_t& out) {
  std::uint64_t number = 0;
  if (ReadNumber(place, std::numeric_limits<std::uint32_t>::max(), number)) {
    out = static_cast<std::uint32_t>(number);
  }
}

void ReadValue(const JsonPlace& place, std::uint64_t& out) {
  ReadNumber(place, std::numeric_limits<std::uint64_t>::max(), out);
}

void ReadValue(const JsonPlace& place, std::int64_t& out) {
  std::uint64_t number = 0;
  if (ReadNumber(place, std::numeric_limits<std::int64_t>::max(), number)) {
    out = static_cast<std::int64_t>(number);
  }
}

void ReadValue(const JsonPlace& place, double& out) {
  const auto number = ReadReal(place.value(), 0);
  if (!number) {
    place.Fail(place.Shown() + " is no number that is not negative",
               "a number from 0");
    return;
  }
  out = *number;
}

void ReadValue(const JsonPlace& place, bool& out) {
  const auto value = ReadBool(place.value());
  if (!value) {
    place.Fail(place.Shown() + " is not a boolean", "true or false");
    return;
  }
  out = *value;
}

void ReadValue(const JsonPlace& place, std::string& out) {
  const char* begin = nullptr;
  const char* end = nullptr;
  if (!place.value().isString() || !place.value().getString(&begin, &end)) {
    place.Fail(place.Shown() + " is not a string", "a string");
    return;
  }
  out.assign(begin, end);
}

void ReadValue(const JsonPlace& place, Duration& out) {
  std::uint64_t number = 0;
  if (ReadNumber(place, kMaxMilliseconds, number)) {
    out = std::chrono::milliseconds(number);
  }
}

void ReadValue(const JsonPlace& place, AttemptId& out) {
  static constexpr const char* kForm = "JOB/TASK/NUMBER";
  const std::string text = ReadText(place.value()).value_or(std::string());
  auto id = ParseAttemptId(text);
  if (!id || text.size() > kMaxAttemptBytes) {
    place.Fail(place.Shown() + " is not an attempt", kForm);
    return;
  }
  out = std::move(*id);
}

void ReadName(const JsonPlace& place, std::string& out) {
  std::string text;
  if (!place.value().isString()) {
    place.Fail(place.Shown() + " is not a string", "a string");
    return;
  }
  ReadValue(place, text);
  if (text.size() > kMaxNameBytes) {
    place.Fail(fmt::format("has {} bytes", text.size()),
               fmt::format("at most {} bytes", kMaxNameBytes));
    return;
  }
  if (!IsPrintable(text)) {
    place.Fail("has control characters", "printable characters");
    return;
  }
  out = std::move(text);
}

bool ObjectReader::Begin() {
  if (place_.value().isObject()) {
    return true;
  }
  place_.Fail(place_.Shown() + " is not an object", "an object");
  return false;
}

void ObjectReader::Name(const char* name, std::string& out) {
  if (const Json::Value* found = FindRequired(name)) {
    ReadName(JsonPlace(*found, place_, name), out);
  }
}

void ObjectReader::OptionalName(const char* name, std::string& out) {
  if (const Json::Value* found = Find(name)) {
    ReadName(JsonPlace(*found, place_, name), out);
  }
}

void ObjectReader::Identifier(const char* name, std::string& out) {
  const Json::Value* found = FindRequired(name);
  if (found == nullptr) {
    return;
  }
  const JsonPlace place(*found, place_, name);
  ReadName(place, out);
  if (ReadText(*found) == std::string()) {
    place.Fail("is empty", "a name");
  }
}

void ObjectReader::Address(const char* name, std::string& out) {
  const Json::Value* found = FindRequired(name);
  if (found == nullptr) {
    return;
  }
  const JsonPlace place(*found, place_, name);
  auto address = ReadAddress(*found);
  if (!address) {
    place.Fail(place.Shown() + " is not an address",
               "IP:PORT with a port from 1 to 65535");
    return;
  }
  out = *std::move(address);
}

void ObjectReader::Clock(const char* name, std::int64_t& out) {
  if (const Json::Value* found = FindRequired(name)) {
    ReadClock(JsonPlace(*found, place_, name), out);
  }
}

void ObjectReader::OptionalClock(const char* name, std::int64_t& out) {
  out = 0;
  if (const Json::Value* found = Find(name)) {
    ReadClock(JsonPlace(*found, place_, name), out);
  }
}

void ObjectReader::Amount(const char* name, std::int64_t& out) {
  out = 0;
  const Json::Value* found = Find(name);
  std::uint64_t number = 0;
  if (found != nullptr &&
      ReadNumber(JsonPlace(*found, place_, name), kMaxAmount, number)) {
    out = static_cast<std::int64_t>(number);
  }
}

void ObjectReader::Choice(const char* name,
                          bool& out,
                          const char* if_false,
                          const char* if_true) {
  const Json::Value* found = FindRequired(name);
  if (found == nullptr) {
    return;
  }
  const JsonPlace place(*found, place_, name);
  const std::string text = ReadText(*found).value_or(std::string());
  if (text != if_false && text != if_true) {
    place.Fail(place.Shown() + " is unknown",
               fmt::format("{}, {}", if_false, if_true));
    return;
  }
  out = text == if_true;
}

void ObjectReader::End() const {
  if (found_ == place_.value().size()) {
    return;
  }
  std::string allowed;
  for (const char* it : asked_) {
    allowed += allowed.empty() ? "" : ", ";
    allowed += it;
  }
  for (const std::string& name : place_.value().getMemberNames()) {
    const bool known = std::ranges::any_of(
        asked_, [&name](const char* it) { return name == it; });
    if (!known) {
      place_.FailMember(name, "is unknown", allowed);
    }
  }
}

const Json::Value* ObjectReader::Find(const char* name) {
  asked_.push_back(name);
  const Json::Value* found =
      place_.value().find(name, name + std::strlen(name));
  found_ += found == nullptr ? 0 : 1;
  return found;
}

const Json::Value* ObjectReader::FindRequired(const char* name) {
  const Json::Value* found = Find(name);
  if (found == nullptr) {
    place_.FailMember(name, "is missing", "");
  }
  return found;
}

std::variant<Json::Value, DecodeError> ParseObject(std::string_view text) {
  auto parsed = ParseJson(text);
  if (const auto* error = std::get_if<JsonError>(&parsed)) {
    return DecodeError{
        .path = "$",
        .problem = fmt::format("is not JSON: line {}, column {}: {}",
                               error->line, error->column, error->message),
        .allowed = "a JSON object"};
  }
  auto& value = std::get<Json::Value>(parsed);
  if (!value.isObject()) {
    return DecodeError{
        .path = "$", .problem = "is not an object", .allowed = "a JSON object"};
  }
  return std::move(value);
}

}  // namespace burdockrock
