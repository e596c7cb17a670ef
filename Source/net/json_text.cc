#include "net/json_text.h"

#include <algorithm>

namespace burdockrock {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kFirstAboveAscii = 0x80;
constexpr std::string_view kNumberBytes = "0123456789+-.eE";
constexpr std::string_view kDigits = "0123456789";

unsigned char At(std::string_view text, std::size_t index) {
  return index < text.size() ? static_cast<unsigned char>(text[index]) : 0;
}

bool Within(unsigned char byte, unsigned char low, unsigned char high) {
  return byte >= low && byte <= high;
}

// The bytes of the character at the front (RFC 3629); 0 if it is broken.
std::size_t Utf8Size(std::string_view text) {
  const unsigned char lead = At(text, 0);
  unsigned char low = 0x80;
  unsigned char high = 0xbf;
  std::size_t size = 0;
  if (Within(lead, 0xc2, 0xdf)) {
    size = 2;
  } else if (Within(lead, 0xe0, 0xef)) {
    size = 3;
    low = lead == 0xe0 ? 0xa0 : low;    // not in two bytes
    high = lead == 0xed ? 0x9f : high;  // no surrogates
  } else if (Within(lead, 0xf0, 0xf4)) {
    size = 4;
    low = lead == 0xf0 ? 0x90 : low;    // not in three bytes
    high = lead == 0xf4 ? 0x8f : high;  // not above U+10FFFF
  } else {
    return 0;
  }
  if (!Within(At(text, 1), low, high)) {
    return 0;
  }
  for (std::size_t i = 2; i < size; ++i) {
    if (!Within(At(text, i), 0x80, 0xbf)) {
      return 0;
    }
  }
  return size;
}

// Removes the digits at the front; false if there are none.
bool TakeDigits(std::string_view& text) {
  const std::size_t count =
      std::min(text.find_first_not_of(kDigits), text.size());
  text.remove_prefix(count);
  return count > 0;
}

bool TakeOneOf(std::string_view& text, std::string_view bytes) {
  if (text.empty() || bytes.find(text.front()) == std::string_view::npos) {
    return false;
  }
  text.remove_prefix(1);
  return true;
}

bool IsNumber(std::string_view text) {
  TakeOneOf(text, "-");
  if (!TakeOneOf(text, "0") && !TakeDigits(text)) {
    return false;
  }
  if (TakeOneOf(text, ".") && !TakeDigits(text)) {
    return false;
  }
  if (TakeOneOf(text, "eE")) {
    TakeOneOf(text, "+-");
    return TakeDigits(text) && text.empty();
  }
  return text.empty();
}

// Moves `at` from behind a string's opening quote to behind its closing one.
std::optional<JsonTextFault> SkipString(std::string_view text,
                                        std::size_t& at) {
  while (at < text.size() && text[at] != '"') {
    const unsigned char byte = At(text, at);
    if (byte < kFirstPrintable) {
      return JsonTextFault{.offset = at,
                           .problem = "control character in a string"};
    }
    std::size_t size = byte == '\\' ? 2 : 1;
    if (byte >= kFirstAboveAscii) {
      size = Utf8Size(text.substr(at));
    }
    if (size == 0) {
      return JsonTextFault{.offset = at, .problem = "not UTF-8"};
    }
    at += size;
  }
  ++at;
  return std::nullopt;
}

bool IsAllowedOutside(unsigned char byte) {
  const bool space = byte == '\t' || byte == '\n' || byte == '\r';
  return space || Within(byte, kFirstPrintable, kFirstAboveAscii - 1);
}

}  // namespace

std::optional<JsonTextFault> FindJsonTextFault(std::string_view text) {
  std::size_t at = 0;
  while (at < text.size()) {
    if (text[at] == '"') {
      ++at;
      if (const auto fault = SkipString(text, at)) {
        return fault;
      }
    } else if (Within(At(text, at), '0', '9') || text[at] == '-' ||
               text[at] == '+') {
      const std::size_t end =
          std::min(text.find_first_not_of(kNumberBytes, at), text.size());
      if (!IsNumber(text.substr(at, end - at))) {
        return JsonTextFault{.offset = at, .problem = "not a JSON number"};
      }
      at = end;
    } else if (!IsAllowedOutside(At(text, at))) {
      return JsonTextFault{.offset = at,
                           .problem = "byte that JSON allows in strings only"};
    } else {
      ++at;
    }
  }
  return std::nullopt;
}

}  // namespace burdockrock
