#include "cli/policy_in_force.h"

#include <optional>
#include <string>

namespace burdockrock {

namespace {

std::optional<std::string> FindPolicyFault(const EntryAnswer& answer) {
  if (answer.status != kPolicyStatusOk) {
    return std::nullopt;
  }
  if (!answer.body["base"].isObject() || !answer.body["overlays"].isObject()) {
    return "its answer has no base and overlays";
  }
  return std::nullopt;
}

}  // namespace

EntryResult GetPolicyInForce(EntryClient& client) {
  return client.Call({.path = "/v1/config"},
                     {.idempotent = true, .find_fault = FindPolicyFault});
}

}  // namespace burdockrock
