#include "engine/teams/key_digest.h"

#include <algorithm>
#include <cctype>

#include <sodium.h>

namespace burdockrock::engine {

namespace {

constexpr std::string_view kScheme = "bearer ";
constexpr std::string_view kDigestPrefix = "sha256:";

bool HasScheme(std::string_view text) {
  return text.size() >= kScheme.size() &&
         std::equal(kScheme.begin(), kScheme.end(), text.begin(),
                    [](char scheme, char it) {
                      return scheme ==
                             std::tolower(static_cast<unsigned char>(it));
                    });
}

std::optional<KeyDigest> BearerKey(std::string_view authorization) {
  if (!HasScheme(authorization)) {
    return std::nullopt;
  }
  std::string_view key = authorization.substr(kScheme.size());
  const std::size_t start = key.find_first_not_of(' ');
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  key.remove_prefix(start);
  key.remove_suffix(key.size() - key.find_last_not_of(' ') - 1);
  return DigestOf(key);
}

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  static_assert(sizeof(KeyDigest::bytes) == crypto_hash_sha256_BYTES);
  KeyDigest digest;
  crypto_hash_sha256(digest.bytes.data(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size());
  return digest;
}

bool IsSameKey(const KeyDigest& left, const KeyDigest& right) {
  return sodium_memcmp(left.bytes.data(), right.bytes.data(),
                       left.bytes.size()) == 0;
}

std::string ToString(const KeyDigest& digest) {
  constexpr std::size_t kHexSize = 2 * sizeof(KeyDigest::bytes) + 1;
  std::array<char, kHexSize> hex;
  sodium_bin2hex(hex.data(), hex.size(), digest.bytes.data(),
                 digest.bytes.size());
  return std::string(kDigestPrefix) + hex.data();
}

KeyDigest ParseKeyOrDigest(std::string_view text) {
  if (!text.starts_with(kDigestPrefix)) {
    return DigestOf(text);
  }
  const std::string_view hex = text.substr(kDigestPrefix.size());
  KeyDigest digest;
  std::size_t n = 0;
  const char* end = nullptr;
  const bool is_digest =
      sodium_hex2bin(digest.bytes.data(), digest.bytes.size(), hex.data(),
                     hex.size(), nullptr, &n, &end) == 0 &&
      n == digest.bytes.size() && end == hex.data() + hex.size();
  return is_digest ? digest : DigestOf(text);
}

std::optional<KeyDigest> CallerKey(const HttpRequest& request) {
  const auto it = request.headers.find("authorization");
  return it == request.headers.end() ? std::nullopt : BearerKey(it->second);
}

}  // namespace burdockrock::engine
