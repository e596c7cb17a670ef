// Asks for the policy that an entry instance works by.
#ifndef BURDOCKROCK_CLI_POLICY_IN_FORCE_H_
#define BURDOCKROCK_CLI_POLICY_IN_FORCE_H_

#include "cli/entry_client.h"

namespace burdockrock {

inline constexpr int kPolicyStatusOk = 200;

// An answer with status kPolicyStatusOk has a base and overlays.
EntryResult GetPolicyInForce(EntryClient& client);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_POLICY_IN_FORCE_H_
