// Digests of callers' keys. Keys are replaced by their digests as soon as they
// are read, so that logs, dumps and messages can't show a key.
#ifndef BURDOCKROCK_ENGINE_TEAMS_KEY_DIGEST_H_
#define BURDOCKROCK_ENGINE_TEAMS_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace burdockrock::engine {

// The SHA-256 digest of a key.
struct KeyDigest {
  std::array<unsigned char, 32> bytes{};

  auto operator<=>(const KeyDigest&) const = default;
};

KeyDigest DigestOf(std::string_view key);

// Compares in a time that does not depend on the digests.
bool IsSameKey(const KeyDigest& left, const KeyDigest& right);

// "sha256:" and the digest in hexadecimal digits.
std::string ToString(const KeyDigest& digest);
// The digest that the text shows in this form, else the digest of the text.
KeyDigest ParseKeyOrDigest(std::string_view text);

// The digest of the key in the request's Authorization header, which has the
// scheme Bearer; nullopt if there is none.
std::optional<KeyDigest> CallerKey(const HttpRequest& request);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_KEY_DIGEST_H_
