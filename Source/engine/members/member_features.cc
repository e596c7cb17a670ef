#include "engine/members/member_features.h"

#include <utility>

#include "engine/teams/team_members.h"

namespace burdockrock::engine {

namespace {

constexpr std::string_view kRegistrationSuffix = "_n";
constexpr std::string_view kHandoverSuffix = "_h";
constexpr std::string_view kRelaySuffix = "_r";
constexpr std::string_view kLoadSuffix = "_l";

std::string WithLoad(std::string incarnation) {
  return WithTeams(incarnation.append(kLoadSuffix));
}

std::string WithRelays(std::string incarnation) {
  return WithLoad(incarnation.append(kRelaySuffix));
}

std::string WithHandovers(std::string incarnation) {
  return WithRelays(incarnation.append(kHandoverSuffix));
}

}  // namespace

std::string WithFeatures(std::string incarnation) {
  return WithHandovers(incarnation.append(kRegistrationSuffix));
}

bool KnowsLoad(std::string_view incarnation) {
  static const std::string kSuffix = WithLoad({});
  return incarnation.ends_with(kSuffix);
}

bool KnowsRelays(std::string_view incarnation) {
  static const std::string kSuffix = WithRelays({});
  return incarnation.ends_with(kSuffix);
}

bool KnowsHandovers(std::string_view incarnation) {
  static const std::string kSuffix = WithHandovers({});
  return incarnation.ends_with(kSuffix);
}

bool KnowsRegistrations(std::string_view incarnation) {
  static const std::string kSuffix = WithFeatures({});
  return incarnation.ends_with(kSuffix);
}

}  // namespace burdockrock::engine
