// The state of a job or request as text.
#ifndef BURDOCKROCK_CLI_STATUS_TEXT_H_
#define BURDOCKROCK_CLI_STATUS_TEXT_H_

#include <string>

#include <json/value.h>

namespace burdockrock {

// One line for each member of a status answer, the answers last.
std::string StatusText(const Json::Value& status);

// Its counts on one line, such as "running: queued 1, running 2, done 3".
std::string ProgressText(const Json::Value& status);

// True when no more work is done for it.
bool IsEnded(const Json::Value& status);

// True when it ended and all its tasks ran without failing.
bool IsFinished(const Json::Value& status);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_STATUS_TEXT_H_
