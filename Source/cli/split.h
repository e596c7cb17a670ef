// Splits the values of flags that hold lists.
#ifndef BURDOCKROCK_CLI_SPLIT_H_
#define BURDOCKROCK_CLI_SPLIT_H_

#include <string>
#include <string_view>
#include <vector>

namespace burdockrock {

// The parts of `text` between the separators, empty ones too; an empty `text`
// has no parts.
std::vector<std::string> Split(std::string_view text, char separator);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_SPLIT_H_
