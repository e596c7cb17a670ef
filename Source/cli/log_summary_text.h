// The summary of logs as the command line prints it.
#ifndef BURDOCKROCK_CLI_LOG_SUMMARY_TEXT_H_
#define BURDOCKROCK_CLI_LOG_SUMMARY_TEXT_H_

#include <cstdint>
#include <string>

#include <json/value.h>

#include "cli/log_summary.h"

namespace burdockrock {

// Tables with aligned columns; `window_s` is what the windows were made with.
std::string SummaryText(const LogReport& report, std::int64_t window_s);

// One object with the same content.
Json::Value SummaryJson(const LogReport& report, std::int64_t window_s);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_LOG_SUMMARY_TEXT_H_
