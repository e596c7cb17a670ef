#include "model/verdict.h"

#include <array>

namespace burdockrock {

const char* ReasonName(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kInvalid:
      return "invalid";
    case Reason::kNeverFits:
      return "never_fits";
    case Reason::kUnknownService:
      return "unknown_service";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kQuota:
      return "quota";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kCancelled:
      return "cancelled";
    case Reason::kDraining:
      return "draining";
    case Reason::kPlatformDown:
      return "platform_down";
    case Reason::kNotReady:
      return "not_ready";
    case Reason::kDuplicateKey:
      return "duplicate_key";
    case Reason::kConnectionLost:
      return "connection_lost";
    case Reason::kLeaseLapsed:
      return "lease_lapsed";
    case Reason::kOwnerLost:
      return "owner_lost";
    case Reason::kNotFound:
      return "not_found";
  }
  return "none";
}

const char* VerdictName(const Verdict& verdict) {
  static constexpr std::array<const char*, std::variant_size_v<Verdict>>
      kNames = {"ran", "not_run", "may_have_run", "accepted"};
  return kNames.at(verdict.index());
}

}  // namespace burdockrock
