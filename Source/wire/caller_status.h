// The HTTP status and Retry-After of each verdict.
#ifndef BURDOCKROCK_WIRE_CALLER_STATUS_H_
#define BURDOCKROCK_WIRE_CALLER_STATUS_H_

#include <chrono>
#include <optional>

#include "model/verdict.h"

namespace burdockrock {

inline constexpr int kOkStatus = 200;
inline constexpr int kAcceptedStatus = 202;
inline constexpr int kBadRequestStatus = 400;
inline constexpr int kUnauthorizedStatus = 401;
inline constexpr int kForbiddenStatus = 403;
inline constexpr int kNotFoundStatus = 404;
inline constexpr int kMethodNotAllowedStatus = 405;
inline constexpr int kConflictStatus = 409;
inline constexpr int kUnprocessableStatus = 422;
inline constexpr int kTooManyRequestsStatus = 429;
inline constexpr int kBadGatewayStatus = 502;
inline constexpr int kUnavailableStatus = 503;
inline constexpr int kGatewayTimeoutStatus = 504;

int StatusOf(const Verdict& verdict);

// Whole seconds, rounded up so that nobody comes back too early; nothing where
// asking again won't help.
std::optional<std::chrono::seconds> RetryAfterOf(const Verdict& verdict);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_CALLER_STATUS_H_
