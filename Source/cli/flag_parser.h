// Sets the gflags flags of one command from its words. Stands in for gflags'
// own parser, which knows no commands, takes every flag of the program and
// ends the process at the first wrong one.
#ifndef BURDOCKROCK_CLI_FLAG_PARSER_H_
#define BURDOCKROCK_CLI_FLAG_PARSER_H_

#include <span>
#include <string>
#include <variant>
#include <vector>

#include "cli/command.h"

namespace burdockrock {

// What is wrong with the words, without the command's name.
struct UsageError {
  std::string text;
  auto operator<=>(const UsageError&) const = default;
};

struct ParsedWords {
  std::vector<std::string> arguments;  // the words that are no flags
  bool help = false;                   // --help was among them
  auto operator<=>(const ParsedWords&) const = default;
};

using ParseResult = std::variant<ParsedWords, UsageError>;

// Takes `--name value`, `--name=value`, one dash or two, `--name` and
// `--noname` for a bool; after `--` all words are arguments. The flags keep
// their values until an enclosing gflags::FlagSaver ends.
ParseResult ParseFlags(const Command& command,
                       std::span<const std::string> words);

// True when the last ParseFlags set the flag.
bool IsFlagGiven(const std::string& name);

// The flag as help names it, such as "--count N".
std::string FlagUsage(const FlagRule& rule);

// The values that the rule allows, such as "1 to 100000".
std::string AllowedValues(const FlagRule& rule);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_FLAG_PARSER_H_
