#include "runtime/incarnation.h"

#include <array>
#include <charconv>

namespace burdockrock {

namespace {

constexpr int kBase = 36;
constexpr std::size_t kMaxDigits = 16;

std::string InBase36(std::uint64_t number) {
  std::array<char, kMaxDigits> buf;
  const auto [end, ec] =
      std::to_chars(buf.data(), buf.data() + buf.size(), number, kBase);
  return {buf.data(), end};
}

}  // namespace

std::string MakeIncarnation(std::uint64_t wall_us, std::uint32_t process_id) {
  return InBase36(wall_us) + "x" + InBase36(process_id);
}

}  // namespace burdockrock
