// What the client commands besides `submit` print when they got no answer, or
// one that is not what they asked for.
#ifndef BURDOCKROCK_CLI_ANSWER_REPORT_H_
#define BURDOCKROCK_CLI_ANSWER_REPORT_H_

#include <string>

#include <json/value.h>

#include "cli/command.h"
#include "cli/entry_client.h"

namespace burdockrock {

// No entry instance answered: what went wrong at each.
ExitCode FailNoAnswer(const Invocation& invocation, const NoAnswer& loss);

// The entry instance answered with a refusal or an unexpected status.
ExitCode FailAnswer(const Invocation& invocation, const EntryAnswer& answer);

// There is no job or request of the id that the command was given.
ExitCode FailNotFound(const Invocation& invocation, const EntryAnswer& answer);

// Prints the body as --output says: one line of JSON, or `text`.
void PrintAnswer(const Invocation& invocation,
                 const Json::Value& body,
                 const std::string& text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_ANSWER_REPORT_H_
