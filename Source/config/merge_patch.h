// JSON merge patch (RFC 7396), the form of a site's overlay.
#ifndef BURDOCKROCK_CONFIG_MERGE_PATCH_H_
#define BURDOCKROCK_CONFIG_MERGE_PATCH_H_

#include <string>
#include <vector>

#include <json/value.h>

namespace burdockrock {

// `target` changed as `patch` says: members of objects are merged, null
// removes a member, anything else replaces what was there.
Json::Value ApplyMergePatch(const Json::Value& target,
                            const Json::Value& patch);

// The paths of the members of `patch`, an object, that leave `target` as it
// is: "$.lease.renew_ms". Empty when each states a difference.
std::vector<std::string> FindIdlePatchMembers(const Json::Value& target,
                                              const Json::Value& patch);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_MERGE_PATCH_H_
