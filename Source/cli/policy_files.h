// The flags that name the files of a policy: one base, and an overlay for each
// site.
#ifndef BURDOCKROCK_CLI_POLICY_FILES_H_
#define BURDOCKROCK_CLI_POLICY_FILES_H_

#include <variant>
#include <vector>

#include "cli/command.h"
#include "config/policy_document.h"
#include "config/setting_error.h"

namespace burdockrock {

// --base and --overlay.
std::vector<FlagRule> PolicyFileFlags();

// What the files of the flags hold, checked whole, or all that is wrong.
std::variant<PolicyDocument, SettingErrors> LoadPolicyFromFlags();

// The overlays of a document as one JSON object by site.
Json::Value OverlaysJson(const PolicyDocument& document);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_POLICY_FILES_H_
