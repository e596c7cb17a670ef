#include "wire/caller_status.h"

namespace burdockrock {

namespace {

int StatusOfReason(Reason reason) {
  switch (reason) {
    case Reason::kInvalid:
      return kBadRequestStatus;
    case Reason::kUnknownService:
    case Reason::kNotFound:
      return kNotFoundStatus;
    case Reason::kNeverFits:
      return kUnprocessableStatus;
    case Reason::kDuplicateKey:
    case Reason::kCancelled:
      return kConflictStatus;
    case Reason::kQuota:
      return kTooManyRequestsStatus;
    case Reason::kNone:
    case Reason::kOverloaded:
    case Reason::kDeadline:
    case Reason::kDraining:
    case Reason::kPlatformDown:
    case Reason::kNotReady:
    case Reason::kConnectionLost:
    case Reason::kLeaseLapsed:
    case Reason::kOwnerLost:
      return kUnavailableStatus;
  }
  return kUnavailableStatus;
}

int Status(const Ran& ran) {
  return ran.failed ? kBadGatewayStatus : kOkStatus;
}

int Status(const NotRun& not_run) {
  return StatusOfReason(not_run.reason);
}

int Status(const MayHaveRun& /*may_have_run*/) {
  return kGatewayTimeoutStatus;
}

int Status(const Accepted& /*accepted*/) {
  return kAcceptedStatus;
}

}  // namespace

int StatusOf(const Verdict& verdict) {
  return std::visit([](const auto& it) { return Status(it); }, verdict);
}

std::optional<std::chrono::seconds> RetryAfterOf(const Verdict& verdict) {
  const auto* not_run = std::get_if<NotRun>(&verdict);
  if (not_run == nullptr || not_run->retry_after <= Duration(0)) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::seconds>(not_run->retry_after);
}

}  // namespace burdockrock
