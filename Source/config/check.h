// Checks of settings files as operators hold them: process settings, the base
// and overlays, told apart by their member "kind".
#ifndef BURDOCKROCK_CONFIG_CHECK_H_
#define BURDOCKROCK_CONFIG_CHECK_H_

#include <span>
#include <string>
#include <variant>

#include "config/policy_document.h"
#include "config/setting_error.h"

namespace burdockrock {

// Every fault of every file: each on its own, each overlay against the base
// among the files, and each process against its site's policy when that is
// among the files. Empty when all is well.
SettingErrors CheckFiles(std::span<const std::string> files);

// The base and overlays as one document without author and revision, ready to
// be put, or every fault. Process files are an error here.
std::variant<PolicyDocument, SettingErrors> LoadPolicyDocument(
    std::span<const std::string> files);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CONFIG_CHECK_H_
