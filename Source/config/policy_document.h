// The operators' policy as it is stored and passed on: one base and an overlay
// for each site, which states only differences.
#ifndef BURDOCKROCK_CONFIG_POLICY_DOCUMENT_H_
#define BURDOCKROCK_CONFIG_POLICY_DOCUMENT_H_

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include <json/value.h>

#include "config/policy.h"
#include "config/setting_error.h"
#include "model/platform.h"

namespace burdockrock {

// The platform key that holds the document in force.
inline constexpr char kPolicyKey[] = "config/current";

struct PolicyDocument {
  // The platform's revision of kPolicyKey; it grows with each accepted
  // change. Not part of the stored value, as the write makes it.
  Revision revision = 0;
  std::string author;
  Json::Value base{Json::objectValue};
  std::map<std::string, Json::Value> overlays;  // JSON merge patch by site

  bool operator==(const PolicyDocument&) const = default;
};

// What errors call the parts of a document: the files that they came from.
// Without a name they are "base" and "overlay SITE".
struct PolicyFileNames {
  std::string base = "base";
  std::map<std::string, std::string> overlays;
};

// The value to store: {"author", "base", "overlays"}.
std::string SerializePolicyDocument(const PolicyDocument& document);

// Reads what SerializePolicyDocument wrote. Says nothing of whether the
// settings are in range: see CheckPolicyDocument.
std::variant<PolicyDocument, SettingErrors> ParsePolicyDocument(
    std::string_view text,
    Revision revision);

// All faults of the base, of each overlay, and of their size together; empty
// when the document may be accepted.
SettingErrors CheckPolicyDocument(const PolicyDocument& document,
                                  const PolicyFileNames& names = {});

// The policy of one site, or what is wrong with the base or its overlay. A
// site without an overlay has the base's policy.
std::variant<Policy, SettingErrors> ResolvePolicy(
    const PolicyDocument& document,
    const std::string& site,
    const PolicyFileNames& names = {});

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_POLICY_DOCUMENT_H_
