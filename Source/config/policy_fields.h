// The settings of the policy: their keys, types and ranges, and the rules
// between them.
#ifndef BURDOCKROCK_CONFIG_POLICY_FIELDS_H_
#define BURDOCKROCK_CONFIG_POLICY_FIELDS_H_

#include <string>

#include <json/value.h>

#include "config/policy.h"
#include "config/schema.h"
#include "config/setting_error.h"

namespace burdockrock {

const Schema& PolicySchema();

// `json` must have passed the check against PolicySchema().
Policy ReadPolicy(const Json::Value& json);

// Faults between settings that are each in range.
SettingErrors CheckPolicyRules(const Policy& policy, const std::string& file);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_POLICY_FIELDS_H_
