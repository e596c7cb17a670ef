#include "standin/payload.h"

#include <charconv>

namespace burdockrock::standin {

namespace {

// Keeps times in microseconds, and their products with a percentage, far from
// overflow.
constexpr std::int64_t kMaxCount = 1'000'000'000'000;

std::optional<std::int64_t> ParseCount(std::string_view text) {
  std::int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || stop != end || n < 0 || n > kMaxCount) {
    return std::nullopt;
  }
  return n;
}

void ReadField(std::string_view name, std::string_view value, Payload& into) {
  if (name == "sleep_ms") {
    if (const auto n = ParseCount(value)) {
      into.sleep = std::chrono::milliseconds(*n);
    }
  } else if (name == "fail") {
    into.fail = value == "1";
  } else if (name == "answer") {
    into.answer = value;
  } else if (name == "use_processors_milli") {
    into.use_processors_milli = ParseCount(value);
  } else if (name == "use_memory_mb") {
    into.use_memory_mb = ParseCount(value);
  } else if (name == "crash_ms") {
    if (const auto n = ParseCount(value)) {
      into.crash = std::chrono::milliseconds(*n);
    }
  } else if (name == "key") {
    into.key = value;
  }
}

}  // namespace

Payload ParsePayload(std::string_view text) {
  Payload payload;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t end = rest.find(';');
    const std::string_view field = rest.substr(0, end);
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos) {
      ReadField(field.substr(0, equals), field.substr(equals + 1), payload);
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  if (payload.answer.empty()) {
    payload.answer.reserve(text.size() + 3);
    payload.answer = "ok:";
    payload.answer += text;
  }
  return payload;
}

}  // namespace burdockrock::standin
