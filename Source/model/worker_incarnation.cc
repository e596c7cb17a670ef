#include "model/worker_incarnation.h"

#include <charconv>

#include <fmt/format.h>

namespace burdockrock {

namespace {

constexpr char kSeparator = '#';

// Where the separator stands; npos if what follows it is no time.
std::size_t FindSeparator(std::string_view name) {
  const std::size_t at = name.rfind(kSeparator);
  const bool has_time =
      at != std::string_view::npos && at + 1 < name.size() &&
      name.find_first_not_of("0123456789", at + 1) == std::string_view::npos;
  return has_time ? at : std::string_view::npos;
}

}  // namespace

std::string IncarnationName(std::string_view id, std::int64_t born) {
  return born == 0 ? std::string(id)
                   : fmt::format("{}{}{}", id, kSeparator, born);
}

std::string_view WorkerIdOf(std::string_view incarnation) {
  return incarnation.substr(0, FindSeparator(incarnation));
}

std::int64_t BornOf(std::string_view incarnation) {
  const std::size_t at = FindSeparator(incarnation);
  std::int64_t born = 0;
  if (at != std::string_view::npos) {
    std::from_chars(incarnation.data() + at + 1,
                    incarnation.data() + incarnation.size(), born);
  }
  return born;
}

bool IsLaterIncarnation(std::string_view name, std::string_view other) {
  return BornOf(other) != 0 && BornOf(name) > BornOf(other) &&
         WorkerIdOf(name) == WorkerIdOf(other);
}

bool IsOtherIncarnation(std::string_view asked, std::int64_t born) {
  const std::int64_t expected = BornOf(asked);
  return expected != 0 && born != 0 && expected != born;
}

}  // namespace burdockrock
