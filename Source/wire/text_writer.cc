#include "wire/text_writer.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include <fmt/format.h>

namespace burdockrock {

namespace {

constexpr unsigned char kFirstUnescaped = 0x20;

bool MustEscape(char it) {
  return it == '"' || it == '\\' ||
         static_cast<unsigned char>(it) < kFirstUnescaped;
}

void WriteEscaped(char it, std::string& out) {
  if (it == '"' || it == '\\') {
    out += '\\';
    out += it;
  } else {
    fmt::format_to(std::back_inserter(out), "\\u{:04x}",
                   static_cast<unsigned char>(it));
  }
}

template <typename Number>
void WriteWhole(Number value, std::string& out) {
  const fmt::format_int text(value);
  out.append(text.data(), text.size());
}

}  // namespace

void WriteText(std::uint32_t value, std::string& out) {
  WriteWhole(value, out);
}

void WriteText(std::uint64_t value, std::string& out) {
  WriteWhole(value, out);
}

void WriteText(std::int64_t value, std::string& out) {
  WriteWhole(value, out);
}

void WriteText(double value, std::string& out) {
  if (std::isfinite(value)) {
    fmt::format_to(std::back_inserter(out), "{}", value);
  } else {
    out += "null";
  }
}

void WriteText(bool value, std::string& out) {
  out += value ? "true" : "false";
}

void WriteText(const std::string& value, std::string& out) {
  WriteQuoted(value, out);
}

void WriteText(Duration value, std::string& out) {
  WriteWhole(std::clamp(ToMilliseconds(value), 0LL, kMaxMilliseconds), out);
}

void WriteQuoted(std::string_view text, std::string& out) {
  out += '"';
  while (!text.empty()) {
    const auto end = std::ranges::find_if(text, MustEscape);
    const auto plain = static_cast<std::size_t>(end - text.begin());
    out += text.substr(0, plain);
    text.remove_prefix(plain);
    if (!text.empty()) {
      WriteEscaped(text.front(), out);
      text.remove_prefix(1);
    }
  }
  out += '"';
}

}  // namespace burdockrock
