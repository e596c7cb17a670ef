// Aggregates the logs of several instances: what was accepted, refused and
// awaited when, where finished jobs spent their time, and what the advice
// service was asked for.
#ifndef BURDOCKROCK_CLI_LOG_SUMMARY_H_
#define BURDOCKROCK_CLI_LOG_SUMMARY_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/date_time/posix_time/ptime.hpp>

#include "cli/log_story.h"

namespace burdockrock {

// Lines by the value of one of their fields.
using LineCounts = std::map<std::string, std::uint64_t>;

struct WindowCounts {
  std::uint64_t accepted = 0;  // jobs
  LineCounts ended{};          // jobs by state
  LineCounts refused{};        // requests by cause
  LineCounts waits{};          // lines on waiting steps by cause
  LineCounts standings{};      // those of them that have it, by standing

  auto operator<=>(const WindowCounts&) const = default;
};

struct TeamCounts {
  std::uint64_t refused = 0;
  std::uint64_t waits = 0;

  auto operator<=>(const TeamCounts&) const = default;
};

// The time from one point of a step's timeline to a later one, over all steps
// for which both are known. Percentiles are by nearest rank, 0 without a step.
struct StepSpan {
  std::uint64_t count = 0;
  std::int64_t median_ms = 0;
  std::int64_t p90_ms = 0;
  // Steps whose second point is before the first, as after an adoption; they
  // are in none of the numbers above.
  std::uint64_t reversed = 0;

  auto operator<=>(const StepSpan&) const = default;
};

inline constexpr std::array<const char*, 4> kStepSpanNames = {
    "ready_to_advice", "advice_to_first_start", "first_to_last_start",
    "last_start_to_end"};

struct StepGroup {
  std::uint64_t steps = 0;
  std::array<StepSpan, kStepSpanNames.size()> spans{};

  auto operator<=>(const StepGroup&) const = default;
};

// The numbers of one reason in event 415, in their order.
inline constexpr std::array<const char*, 8> kAdviceNumberNames = {
    "calls", "names",  "allowed",  "starts",
    "ms",    "unused", "given_up", "room_gone"};

// Logs of earlier releases have only so many of them.
inline constexpr std::size_t kFewestAdviceNumbers = 7;

using AdviceNumbers = std::array<std::uint64_t, kAdviceNumberNames.size()>;

struct LogReport {
  std::uint64_t events = 0;
  std::uint64_t skipped_lines = 0;      // neither an event nor blank
  std::uint64_t unreadable_values = 0;  // steps of 208, reasons of 415
  std::uint64_t instances = 0;
  std::string first{};      // time of the earliest event
  std::string last{};       // time of the latest event
  LineCounts suppressed{};  // by event: lines that were counted only
  std::map<std::string, WindowCounts> windows{};  // by start, without empty
  WindowCounts total{};
  std::map<std::string, TeamCounts> teams{};
  StepGroup short_steps{};  // run after the last start under kLongRunMs
  StepGroup long_steps{};
  std::uint64_t steps_without_run = 0;  // last start or end is not known
  std::uint64_t advice_processes = 0;   // those that logged 415
  std::map<std::string, AdviceNumbers> advice{};  // by reason

  auto operator<=>(const LogReport&) const = default;
};

class LogSummary {
 public:
  // Together with the long steps, the waits of short ones would not show.
  static constexpr std::int64_t kLongRunMs = 2000;

  struct Options {
    std::int64_t window_s = 2;  // windows begin at multiples of it since 1970
  };

  explicit LogSummary(Options options);

  // In any order of time. A line that is no event with a time counts as
  // skipped.
  void AddLine(std::string_view line);

  LogReport Report() const;

 private:
  using Spans = std::array<std::vector<std::int64_t>, kStepSpanNames.size()>;
  using Advice = std::map<std::string, AdviceNumbers>;

  // The totals of an instance at one time. The start of a process has none.
  struct AdviceLine {
    boost::posix_time::ptime time{};
    Advice totals{};
    std::set<std::string> unreadable{};  // reasons
  };

  // Of a group of steps, as it is collected.
  struct StepTimes {
    std::uint64_t steps = 0;
    Spans spans{};
    std::array<std::uint64_t, kStepSpanNames.size()> reversed{};
  };

  std::string WindowOf(boost::posix_time::ptime time) const;
  void AddEvent(const LoggedEvent& event, boost::posix_time::ptime time);
  void AddTimeline(std::string_view timeline);
  void AddStep(std::string_view step);
  void AddAdvice(const LoggedEvent& event, boost::posix_time::ptime time);
  static StepGroup GroupOf(StepTimes times);
  static void SumAdvice(std::vector<AdviceLine> lines, LogReport& report);

  Options options_;
  LogReport report_;  // without what Report() derives
  boost::posix_time::ptime first_;
  boost::posix_time::ptime last_;
  std::set<std::string> instances_;
  StepTimes short_;
  StepTimes long_;
  std::map<std::string, std::vector<AdviceLine>> advice_;  // by instance
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_LOG_SUMMARY_H_
