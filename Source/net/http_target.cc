#include "net/http_target.h"

#include <charconv>

namespace burdockrock {

namespace {

constexpr std::size_t kEscapeDigits = 2;
constexpr int kHexadecimal = 16;

std::optional<std::string> DecodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    const std::string_view digits = text.substr(i + 1, kEscapeDigits);
    const char* end = digits.data() + digits.size();
    unsigned char byte = 0;
    const auto [stop, error] =
        std::from_chars(digits.data(), end, byte, kHexadecimal);
    const bool whole = digits.size() == kEscapeDigits && stop == end;
    if (error != std::errc() || !whole) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(byte));
    i += kEscapeDigits;
  }
  return decoded;
}

bool IsPlain(char it, std::string_view also) {
  const bool letter = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
  const bool digit = it >= '0' && it <= '9';
  return letter || digit || also.find(it) != std::string_view::npos;
}

void AppendPercent(std::string_view text,
                   std::string_view also_plain,
                   std::string& encoded) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  for (const char it : text) {
    if (IsPlain(it, also_plain)) {
      encoded.push_back(it);
      continue;
    }
    const auto byte = static_cast<unsigned char>(it);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte / kHexadecimal]);
    encoded.push_back(kDigits[byte % kHexadecimal]);
  }
}

// False if `pair` ("key=value" or "key") is malformed or its key is there.
bool AddPair(std::string_view pair, std::map<std::string, std::string>& query) {
  const std::size_t equals = pair.find('=');
  auto key = DecodePercent(pair.substr(0, equals));
  auto value =
      DecodePercent(equals == std::string_view::npos ? std::string_view()
                                                     : pair.substr(equals + 1));
  if (!key || !value) {
    return false;
  }
  return query.emplace(std::move(*key), std::move(*value)).second;
}

}  // namespace

std::optional<HttpTarget> DecodeTarget(std::string_view text) {
  if (text.empty() || text.front() != '/') {
    return std::nullopt;
  }
  const std::size_t mark = text.find('?');
  auto path = DecodePercent(text.substr(0, mark));
  if (!path) {
    return std::nullopt;
  }
  HttpTarget target{.path = std::move(*path), .query = {}};
  if (mark == std::string_view::npos) {
    return target;
  }
  std::string_view rest = text.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (!pair.empty() && !AddPair(pair, target.query)) {
      return std::nullopt;
    }
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
  }
  return target;
}

std::string EncodeTarget(std::string_view path,
                         const std::map<std::string, std::string>& query) {
  std::string encoded;
  AppendPercent(path, "-._~/:@", encoded);
  char separator = '?';
  for (const auto& [key, value] : query) {
    encoded.push_back(separator);
    AppendPercent(key, "-._~/:@", encoded);
    encoded.push_back('=');
    AppendPercent(value, "-._~/:@", encoded);
    separator = '&';
  }
  return encoded;
}

}  // namespace burdockrock
