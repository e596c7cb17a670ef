// The cases of the command line, read from Tests/cli/cases/*.json.
//
// A file holds {"cases": [CASE...]}, a CASE has the members
//   "name"       what it shows
//   "arguments"  the words after the program's name
//   "entries"    the scripted entry instances: for each a list of steps
//                {"request": "METHOD PATH", "body": JSON, "status": N,
//                "answer": JSON or "text": TEXT, "retry_after_s": N} or
//                {"request", "lose": true}
//   "terminal"   true: standard error is a terminal
//   "exit"       the exit code
//   "stdout", "stderr"  lists of lines or one text, compared exactly
// {VERSION}, {FILES} (Tests/cli/files), {ENTRY}, {ENTRY2} (the scripted entry
// instances' addresses), {DEAD} (an address that refuses connections) and
// {CLEAR} (the terminal's code to rewrite a line) are replaced in arguments
// and expected lines.
#ifndef BURDOCKROCK_TESTS_CLI_CASE_FILE_H_
#define BURDOCKROCK_TESTS_CLI_CASE_FILE_H_

#include <string>
#include <vector>

#include "cli/fake_entry.h"

namespace burdockrock {

struct CommandLineCase {
  std::string name;
  std::vector<std::string> arguments = {};
  std::vector<std::vector<ScriptStep>> entries = {};
  bool terminal = false;
  int exit = 0;
  std::string out;
  std::string err;
};

// Fails the running test when the file is not of the form above.
std::vector<CommandLineCase> ReadCaseFile(const std::string& path);

// The case files, sorted by name.
std::vector<std::string> CaseFiles();

// The whole content of a file of the tree.
std::string ReadFile(const std::string& path);

}  // namespace burdockrock

#endif  // BURDOCKROCK_TESTS_CLI_CASE_FILE_H_
