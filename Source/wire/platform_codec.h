// Calls to the platform's key-value service as HTTP, and their answers.
#ifndef BURDOCKROCK_WIRE_PLATFORM_CODEC_H_
#define BURDOCKROCK_WIRE_PLATFORM_CODEC_H_

#include <variant>

#include "model/platform.h"
#include "net/http_message.h"
#include "wire/decode_error.h"

namespace burdockrock {

HttpRequest EncodePlatformOperation(const PlatformOperation& operation);

std::variant<PlatformOperation, DecodeError> DecodePlatformOperation(
    const HttpRequest& request);

// What the platform answers to `operation`.
HttpResponse EncodePlatformAnswer(const PlatformOperation& operation,
                                  const PlatformResult& result);

// The answer to `operation`. A status that the protocol does not name is
// PlatformUnavailable. After a DecodeError the operation may have taken effect.
std::variant<PlatformResult, DecodeError> DecodePlatformAnswer(
    const PlatformOperation& operation,
    const HttpResponse& response);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_PLATFORM_CODEC_H_
