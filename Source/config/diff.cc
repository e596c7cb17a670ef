#include "config/diff.h"

#include <set>

#include <fmt/format.h>

#include "config/json_text.h"

namespace burdockrock {
namespace {

// Null when the member is absent.
const Json::Value* FindMember(const Json::Value& object,
                              const std::string& name) {
  return object.find(name.data(), name.data() + name.size());
}

std::string Show(const Json::Value* value) {
  if (value == nullptr) {
    return "(absent)";
  }
  return ShowJson(*value);
}

void Compare(const Json::Value* before,
             const Json::Value* after,
             const std::string& path,
             std::vector<std::string>& lines) {
  if (before != nullptr && after != nullptr) {
    if (*before == *after) {
      return;
    }
    if (before->isObject() && after->isObject()) {
      std::set<std::string> names;
      for (const Json::Value* side : {before, after}) {
        for (const std::string& name : side->getMemberNames()) {
          names.insert(name);
        }
      }
      for (const std::string& name : names) {
        Compare(FindMember(*before, name), FindMember(*after, name),
                fmt::format("{}.{}", path, name), lines);
      }
      return;
    }
  }
  lines.push_back(fmt::format("{}: {} -> {}", path, Show(before), Show(after)));
}

}  // namespace

std::vector<std::string> DiffLines(const Json::Value& before,
                                   const Json::Value& after) {
  std::vector<std::string> lines;
  Compare(&before, &after, "$", lines);
  return lines;
}

}  // namespace burdockrock
