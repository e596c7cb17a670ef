// The flags of `submit`, and the HTTP request that they describe.
#ifndef BURDOCKROCK_CLI_SUBMIT_FLAGS_H_
#define BURDOCKROCK_CLI_SUBMIT_FLAGS_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cli/command.h"
#include "config/setting_error.h"
#include "model/time.h"
#include "net/http_message.h"

namespace burdockrock {

// What the flags of `submit` ask for.
struct Submission {
  HttpRequest request;
  bool is_job = false;  // a service, batch or gang
  bool idempotent = true;
  bool wait = false;    // for the end of a job
  Duration timeout{0};  // for the answer of one entry instance
};

std::vector<FlagRule> SubmitFlags();

// What is wrong with the flags taken together.
std::optional<std::string> FindSubmitFault();

// Whether a file describes the work.
bool IsFromFile();

// What the file asks for, or its faults.
std::variant<Submission, SettingErrors> SubmissionFromFile();

// The flags must be free of faults.
Submission SubmissionFromFlags();

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_SUBMIT_FLAGS_H_
