#include <cstdint>
#include <fstream>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "cli/client_flags.h"
#include "cli/command_table.h"
#include "cli/diagnostics.h"
#include "cli/flag_parser.h"
#include "cli/log_story.h"
#include "cli/log_summary.h"
#include "cli/log_summary_text.h"
#include "net/json.h"

DEFINE_bool(summary,
            false,
            "Sum up all jobs instead of telling about one; takes no ID");
DEFINE_int64(window, 2, "Seconds that are counted together by --summary");

namespace burdockrock {

namespace {

constexpr std::int64_t kMaxWindowSeconds = 86400;  // a day

using OnLine = std::function<void(const std::string&)>;

// False if the file can't be read.
bool ReadLog(const std::string& file, const OnLine& on_line) {
  std::ifstream log(file);
  if (!log) {
    return false;
  }
  std::string line;
  while (std::getline(log, line)) {
    on_line(line);
  }
  return !log.bad();  // a directory opens and can't be read
}

// The first file that can't be read ends it with its diagnostic.
std::optional<ExitCode> ReadLogs(const Invocation& invocation,
                                 std::span<const std::string> files,
                                 const OnLine& on_line) {
  for (const std::string& it : files) {
    if (!ReadLog(it, on_line)) {
      return Fail(invocation,
                  fmt::format("{}: can't be read; name a readable log", it));
    }
  }
  return std::nullopt;
}

ExitCode Misuse(const Invocation& invocation, std::string_view problem) {
  return FailUsage(invocation.output, invocation.command, problem);
}

ExitCode Summarize(const Invocation& invocation) {
  if (invocation.arguments.empty()) {
    return Misuse(invocation, "LOG... is missing");
  }
  LogSummary summary({.window_s = FLAGS_window});
  const auto failure =
      ReadLogs(invocation, invocation.arguments,
               [&summary](const std::string& line) { summary.AddLine(line); });
  if (failure) {
    return *failure;
  }
  const LogReport report = summary.Report();
  if (report.events == 0) {
    return Fail(
        invocation,
        fmt::format("no event in {} lines; name logs of entry instances",
                    report.skipped_lines));
  }
  invocation.output.out << (IsJsonOutput()
                                ? WriteJson(SummaryJson(report, FLAGS_window)) +
                                      "\n"
                                : SummaryText(report, FLAGS_window));
  return ExitCode::kOk;
}

ExitCode TellStory(const Invocation& invocation) {
  for (const char* it : {"window", "output"}) {
    if (IsFlagGiven(it)) {
      return Misuse(invocation, fmt::format("--{} is for --summary only", it));
    }
  }
  if (invocation.arguments.size() < 2) {
    return Misuse(invocation, "ID LOG... is missing");
  }
  const std::string& id = invocation.arguments[0];
  std::vector<LoggedEvent> records;
  const auto failure =
      ReadLogs(invocation, std::span(invocation.arguments).subspan(1),
               [&records](const std::string& line) {
                 if (auto record = ParseLogLine(line)) {
                   records.push_back(*std::move(record));
                 }
               });
  if (failure) {
    return *failure;
  }
  const auto story = FindStory(records, id);
  if (story.empty()) {
    return Fail(invocation,
                fmt::format("nothing about {} in {} events; check the id, and "
                            "take the logs of all instances",
                            id, records.size()));
  }
  for (const StoryLine& it : story) {
    invocation.output.out << ToText(it) << "\n";
  }
  return ExitCode::kOk;
}

ExitCode Explain(const Invocation& invocation) {
  return FLAGS_summary ? Summarize(invocation) : TellStory(invocation);
}

}  // namespace

Command ExplainCommand() {
  return {.name = "explain",
          .arguments = "[ID] LOG...",
          .summary =
              "Tells from logs what happened to one job or request, or to all",
          .flags = {{.name = "summary"},
                    {.name = "window",
                     .value = "SECONDS",
                     .min = 1,
                     .max = kMaxWindowSeconds},
                    OutputFlag()},
          .max_arguments = std::numeric_limits<std::size_t>::max(),
          .run = Explain};
}

}  // namespace burdockrock
