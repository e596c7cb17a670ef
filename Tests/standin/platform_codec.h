// Calls to the platform with their leases, which entry instances don't use and
// burdockrock's codec therefore doesn't know, and their answers.
#ifndef BURDOCKROCK_STANDIN_PLATFORM_CODEC_H_
#define BURDOCKROCK_STANDIN_PLATFORM_CODEC_H_

#include <compare>
#include <optional>
#include <variant>

#include "model/platform.h"
#include "net/http_message.h"
#include "standin/platform_store.h"
#include "wire/decode_error.h"

namespace burdockrock::standin {

struct LeaseGrant {
  Duration ttl{0};
  auto operator<=>(const LeaseGrant&) const = default;
};

struct LeaseRenewal {
  LeaseId lease = 0;
  auto operator<=>(const LeaseRenewal&) const = default;
};

struct LeasedPut {
  KvPut put;
  LeaseId lease = 0;  // 0: none
  auto operator<=>(const LeasedPut&) const = default;
};

// A put without a lease is a PlatformOperation.
using PlatformCall =
    std::variant<PlatformOperation, LeaseGrant, LeaseRenewal, LeasedPut>;

std::variant<PlatformCall, DecodeError> DecodePlatformCall(
    const HttpRequest& request);

// Nothing when the call is not to be answered.
std::optional<HttpResponse> EncodePlatformResult(const PlatformCall& call,
                                                 const PlatformResult& result);

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_PLATFORM_CODEC_H_
