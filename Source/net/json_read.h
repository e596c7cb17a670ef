// Reads values of JSON texts that come from outside the process. A value of
// another type or out of its range is none: nothing is converted, and nothing
// throws.
#ifndef BURDOCKROCK_NET_JSON_READ_H_
#define BURDOCKROCK_NET_JSON_READ_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include <json/value.h>

namespace burdockrock {

// Times in Unix milliseconds and readings of clocks are at most this, so that
// sums with spans of time can't overflow.
inline constexpr std::int64_t kMaxClockMilliseconds = 1'000'000'000'000'000;

// Also one with a fraction of 0, as in 2.0.
std::optional<std::uint64_t> ReadWhole(
    const Json::Value& value,
    std::uint64_t most = std::numeric_limits<std::uint64_t>::max());

std::optional<std::int64_t> ReadInteger(
    const Json::Value& value,
    std::int64_t least = std::numeric_limits<std::int64_t>::min(),
    std::int64_t most = std::numeric_limits<std::int64_t>::max());

// Not for infinities, to which jsoncpp reads numbers that are too large.
std::optional<double> ReadReal(
    const Json::Value& value,
    double least = std::numeric_limits<double>::lowest(),
    double most = std::numeric_limits<double>::max());

std::optional<bool> ReadBool(const Json::Value& value);

std::optional<std::string> ReadText(const Json::Value& value);

// "IP:PORT" with a port other than 0, on which no process listens.
std::optional<std::string> ReadAddress(const Json::Value& value);

// The null value if `object` is no object or lacks the member.
const Json::Value& MemberOf(const Json::Value& object, const char* name);

// The null value if `array` is no array or has no such element.
const Json::Value& ElementOf(const Json::Value& array, Json::ArrayIndex index);

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_JSON_READ_H_
