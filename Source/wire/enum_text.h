// The names of enumerations' values on the wire.
#ifndef BURDOCKROCK_WIRE_ENUM_TEXT_H_
#define BURDOCKROCK_WIRE_ENUM_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "model/attempt.h"
#include "model/caller_message.h"
#include "model/verdict.h"
#include "model/work.h"

namespace burdockrock {

// For each enumeration its last value and the function that names a value.
template <typename Enum>
struct EnumText;

template <>
struct EnumText<Urgency> {
  static constexpr Urgency kLast = Urgency::kBatch;
  static constexpr auto* kName = &UrgencyName;
};

template <>
struct EnumText<JobKind> {
  static constexpr JobKind kLast = JobKind::kGang;
  static constexpr auto* kName = &JobKindName;
};

template <>
struct EnumText<InstanceRole> {
  static constexpr InstanceRole kLast = InstanceRole::kMinion;
  static constexpr auto* kName = &InstanceRoleName;
};

template <>
struct EnumText<AttemptState> {
  static constexpr AttemptState kLast = AttemptState::kEnded;
  static constexpr auto* kName = &AttemptStateName;
};

template <>
struct EnumText<Outcome> {
  static constexpr Outcome kLast = Outcome::kWorkerCrashed;
  static constexpr auto* kName = &OutcomeName;
};

template <>
struct EnumText<Reason> {
  static constexpr Reason kLast = Reason::kNotFound;
  static constexpr auto* kName = &ReasonName;
};

template <>
struct EnumText<WorkState> {
  static constexpr WorkState kLast = WorkState::kCancelled;
  static constexpr auto* kName = &WorkStateName;
};

template <typename Enum>
std::optional<Enum> ParseEnum(std::string_view text) {
  for (int it = 0; it <= static_cast<int>(EnumText<Enum>::kLast); ++it) {
    const auto value = static_cast<Enum>(it);
    if (text == EnumText<Enum>::kName(value)) {
      return value;
    }
  }
  return std::nullopt;
}

// "urgent, normal, batch"
template <typename Enum>
std::string EnumNames() {
  std::string names;
  for (int it = 0; it <= static_cast<int>(EnumText<Enum>::kLast); ++it) {
    names += it == 0 ? "" : ", ";
    names += EnumText<Enum>::kName(static_cast<Enum>(it));
  }
  return names;
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_ENUM_TEXT_H_
