#include "cli/client_flags.h"

#include <charconv>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/split.h"

DEFINE_string(entry, "", "Entry instances to ask, tried in turn");
DEFINE_string(output, "text", "Form of what is printed");

namespace burdockrock {

namespace {

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port > 0;
}

bool IsHostAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  return colon != std::string_view::npos && colon > 0 &&
         IsPort(text.substr(colon + 1));
}

std::optional<std::string> CheckEntries(const std::string& value) {
  for (const std::string& entry : Split(value, ',')) {
    if (!IsHostAndPort(entry)) {
      return fmt::format("'{}' is not an address with a port", entry);
    }
  }
  return std::nullopt;
}

}  // namespace

std::vector<FlagRule> ClientFlags(std::vector<FlagRule> own) {
  std::vector<FlagRule> flags = {
      {.name = "entry",
       .value = "HOST:PORT[,HOST:PORT...]",
       .required = true,
       .repeatable = true,
       .check = CheckEntries},
      OutputFlag(),
  };
  std::move(own.begin(), own.end(), std::back_inserter(flags));
  return flags;
}

FlagRule OutputFlag() {
  return {.name = "output", .value = "text|json", .choices = {"text", "json"}};
}

std::vector<std::string> EntriesFromFlag() {
  return Split(FLAGS_entry, ',');
}

bool IsJsonOutput() {
  return FLAGS_output == "json";
}

}  // namespace burdockrock
