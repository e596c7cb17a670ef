// What differs between two JSON documents, for operators to read.
#ifndef BURDOCKROCK_CONFIG_DIFF_H_
#define BURDOCKROCK_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include <json/value.h>

namespace burdockrock {

// One line "$.path: old -> new" for each differing place, sorted by path;
// "(absent)" stands for a member that one side lacks. Lists are compared
// whole.
std::vector<std::string> DiffLines(const Json::Value& before,
                                   const Json::Value& after);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_DIFF_H_
