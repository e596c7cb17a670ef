#include "config/merge_patch.h"

#include <fmt/format.h>

namespace burdockrock {
namespace {

void CollectIdleMembers(const Json::Value& target,
                        const Json::Value& patch,
                        const std::string& path,
                        std::vector<std::string>& idle) {
  for (const std::string& name : patch.getMemberNames()) {
    const Json::Value& change = patch[name];
    const Json::Value* current =
        target.find(name.data(), name.data() + name.size());
    const std::string member_path = fmt::format("{}.{}", path, name);
    const bool both_objects =
        current != nullptr && current->isObject() && change.isObject();
    if (both_objects && !change.empty()) {
      CollectIdleMembers(*current, change, member_path, idle);
      continue;
    }
    const bool removes_nothing = change.isNull() && current == nullptr;
    const bool replaces_by_equal = current != nullptr && *current == change;
    if (both_objects || removes_nothing || replaces_by_equal) {
      idle.push_back(member_path);
    }
  }
}

}  // namespace

Json::Value ApplyMergePatch(const Json::Value& target,
                            const Json::Value& patch) {
  if (!patch.isObject()) {
    return patch;
  }
  Json::Value result =
      target.isObject() ? target : Json::Value(Json::objectValue);
  for (const std::string& name : patch.getMemberNames()) {
    if (patch[name].isNull()) {
      result.removeMember(name);
    } else {
      result[name] = ApplyMergePatch(result[name], patch[name]);
    }
  }
  return result;
}

std::vector<std::string> FindIdlePatchMembers(const Json::Value& target,
                                              const Json::Value& patch) {
  std::vector<std::string> idle;
  CollectIdleMembers(target, patch, "$", idle);
  return idle;
}

}  // namespace burdockrock
