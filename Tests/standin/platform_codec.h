// The wire form of calls to the platform and of its answers.
#ifndef BURDOCKROCK_STANDIN_PLATFORM_CODEC_H_
#define BURDOCKROCK_STANDIN_PLATFORM_CODEC_H_

#include <compare>
#include <optional>
#include <variant>

#include "model/platform.h"
#include "net/http_message.h"
#include "standin/platform_store.h"
#include "standin/worker_codec.h"

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
  LeaseId lease = 0;
  auto operator<=>(const LeasedPut&) const = default;
};

using PlatformCall =
    std::variant<PlatformOperation, LeaseGrant, LeaseRenewal, LeasedPut>;

// How the result of a call is written where its type alone does not say.
enum class PlatformAnswerForm { kItem, kItems, kLease };

PlatformAnswerForm AnswerFormOf(const PlatformCall& call);

std::variant<PlatformCall, CodecError> DecodePlatformCall(
    const HttpRequest& request);

// Nothing when the call is not to be answered.
std::optional<HttpResponse> EncodePlatformResult(const PlatformResult& result,
                                                 PlatformAnswerForm form);

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_PLATFORM_CODEC_H_
