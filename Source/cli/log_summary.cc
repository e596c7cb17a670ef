#include "cli/log_summary.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

#include <boost/date_time/posix_time/posix_time.hpp>

#include "cli/split.h"

namespace burdockrock {

namespace {

using boost::posix_time::ptime;
using boost::posix_time::seconds;

constexpr std::string_view kAccepted = "job_accepted";
constexpr std::string_view kEnded = "job_ended";
constexpr std::string_view kRefused = "request_refused";
constexpr std::string_view kWait = "tasks_wait";
constexpr std::string_view kAdvice = "advice_used";
constexpr std::string_view kStarted = "started";

constexpr std::string_view kUnknown = "-";

// The points of a step's timeline.
constexpr std::size_t kPoints = kStepSpanNames.size() + 1;
constexpr std::size_t kLastStart = 3;
constexpr std::size_t kDone = 4;

using Points = std::array<std::optional<std::int64_t>, kPoints>;

const std::string* FindField(const LoggedEvent& event, std::string_view key) {
  const auto it =
      std::find_if(event.fields.begin(), event.fields.end(),
                   [key](const auto& field) { return field.first == key; });
  return it == event.fields.end() ? nullptr : &it->second;
}

std::string FieldOr(const LoggedEvent& event,
                    std::string_view key,
                    std::string_view other) {
  const std::string* value = FindField(event, key);
  return value == nullptr || value->empty() ? std::string(other) : *value;
}

bool IsCounted(std::string_view name) {
  return name == kAccepted || name == kEnded || name == kRefused ||
         name == kWait;
}

void Count(const LoggedEvent& event, WindowCounts& counts) {
  if (event.name == kAccepted) {
    ++counts.accepted;
  } else if (event.name == kEnded) {
    ++counts.ended[FieldOr(event, "state", kUnknown)];
  } else if (event.name == kRefused) {
    // Refusals by the scheduler of single requests have the field `reason`.
    const std::string reason = FieldOr(event, "reason", kUnknown);
    ++counts.refused[FieldOr(event, "cause", reason)];
  } else if (event.name == kWait) {
    ++counts.waits[FieldOr(event, "cause", kUnknown)];
    if (const std::string* standing = FindField(event, "standing")) {
      ++counts.standings[*standing];
    }
  }
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<Points> ParsePoints(std::string_view step) {
  const auto parts = Split(step, '/');
  Points points;
  if (parts.size() != points.size()) {
    return std::nullopt;
  }
  for (std::size_t it = 0; it < parts.size(); ++it) {
    if (parts[it] == kUnknown) {
      continue;
    }
    points[it] = ParseNumber<std::int64_t>(parts[it]);
    if (!points[it]) {
      return std::nullopt;
    }
  }
  return points;
}

std::optional<AdviceNumbers> ParseAdvice(std::string_view value) {
  const auto parts = Split(value, ':');
  AdviceNumbers numbers = {};
  if (parts.size() < kFewestAdviceNumbers || parts.size() > numbers.size()) {
    return std::nullopt;
  }
  for (std::size_t it = 0; it < parts.size(); ++it) {
    const auto number = ParseNumber<std::uint64_t>(parts[it]);
    if (!number) {
      return std::nullopt;
    }
    numbers[it] = *number;
  }
  return numbers;
}

// By nearest rank, of sorted values.
std::int64_t Percentile(const std::vector<std::int64_t>& values,
                        std::size_t percent) {
  if (values.empty()) {
    return 0;
  }
  const std::size_t rank = (values.size() * percent + 99) / 100;
  return values[rank - 1];
}

// Whether a total of `before` is higher than in `now`; a reason that `now`
// lacks has the total 0.
bool Falls(const std::map<std::string, AdviceNumbers>& before,
           const std::map<std::string, AdviceNumbers>& now) {
  return std::any_of(before.begin(), before.end(), [&now](const auto& it) {
    const auto found = now.find(it.first);
    const AdviceNumbers numbers =
        found == now.end() ? AdviceNumbers{} : found->second;
    for (std::size_t k = 0; k < numbers.size(); ++k) {
      if (numbers[k] < it.second[k]) {
        return true;
      }
    }
    return false;
  });
}

}  // namespace

LogSummary::LogSummary(Options options)
    : options_(options),
      first_(boost::posix_time::pos_infin),
      last_(boost::posix_time::neg_infin) {}

void LogSummary::AddLine(std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
    return;
  }
  const auto event = ParseLogLine(line);
  const ptime time = event ? TimeOf(*event) : ptime();
  if (time.is_special()) {
    ++report_.skipped_lines;
    return;
  }
  AddEvent(*event, time);
}

LogReport LogSummary::Report() const {
  LogReport report = report_;
  report.instances = instances_.size();
  report.short_steps = GroupOf(short_);
  report.long_steps = GroupOf(long_);
  for (const auto& [instance, lines] : advice_) {
    SumAdvice(lines, report);
  }
  return report;
}

std::string LogSummary::WindowOf(ptime time) const {
  static const ptime kEpoch(boost::gregorian::date(1970, 1, 1));
  const std::int64_t since = (time - kEpoch).total_seconds();
  return boost::posix_time::to_iso_extended_string(
             time - seconds(since % options_.window_s) -
             boost::posix_time::time_duration(
                 0, 0, 0, time.time_of_day().fractional_seconds())) +
         "Z";
}

void LogSummary::AddEvent(const LoggedEvent& event, ptime time) {
  ++report_.events;
  if (time < first_) {
    first_ = time;
    report_.first = event.time;
  }
  if (time > last_) {
    last_ = time;
    report_.last = event.time;
  }
  instances_.insert(event.instance);
  if (const std::string* number = FindField(event, "suppressed")) {
    report_.suppressed[event.name] +=
        ParseNumber<std::uint64_t>(*number).value_or(0);
    return;
  }
  if (event.name == kAdvice || event.name == kStarted) {
    AddAdvice(event, time);
  }
  if (!IsCounted(event.name)) {
    return;
  }
  Count(event, report_.windows[WindowOf(time)]);
  Count(event, report_.total);
  const std::string* timeline = FindField(event, "timeline");
  if (event.name == kEnded && timeline != nullptr) {
    AddTimeline(*timeline);
  }
  const std::string* team = FindField(event, "team");
  if (team != nullptr && event.name == kRefused) {
    ++report_.teams[*team].refused;
  }
  if (team != nullptr && event.name == kWait) {
    ++report_.teams[*team].waits;
  }
}

void LogSummary::AddTimeline(std::string_view timeline) {
  for (const std::string& it : Split(timeline, ';')) {
    AddStep(it);
  }
}

void LogSummary::AddStep(std::string_view step) {
  const auto points = ParsePoints(step);
  if (!points) {
    ++report_.unreadable_values;
    return;
  }
  if (!(*points)[kLastStart] || !(*points)[kDone]) {
    ++report_.steps_without_run;
    return;
  }
  const std::int64_t run = *(*points)[kDone] - *(*points)[kLastStart];
  StepTimes& times = run < kLongRunMs ? short_ : long_;
  ++times.steps;
  for (std::size_t it = 0; it < kStepSpanNames.size(); ++it) {
    const auto& from = (*points)[it];
    const auto& to = (*points)[it + 1];
    if (!from || !to) {
      continue;
    }
    if (*to < *from) {
      ++times.reversed[it];
    } else {
      times.spans[it].push_back(*to - *from);
    }
  }
}

void LogSummary::AddAdvice(const LoggedEvent& event, ptime time) {
  AdviceLine line = {.time = time};
  if (event.name == kAdvice) {
    for (const auto& [reason, value] : event.fields) {
      if (const auto numbers = ParseAdvice(value)) {
        line.totals[reason] = *numbers;
      } else {
        line.unreadable.insert(reason);
      }
    }
  }
  report_.unreadable_values += line.unreadable.size();
  advice_[event.instance].push_back(std::move(line));
}

StepGroup LogSummary::GroupOf(StepTimes times) {
  StepGroup group = {.steps = times.steps};
  for (std::size_t it = 0; it < kStepSpanNames.size(); ++it) {
    auto& values = times.spans[it];
    std::sort(values.begin(), values.end());
    group.spans[it] = {.count = values.size(),
                       .median_ms = Percentile(values, 50),
                       .p90_ms = Percentile(values, 90),
                       .reversed = times.reversed[it]};
  }
  return group;
}

void LogSummary::SumAdvice(std::vector<AdviceLine> lines, LogReport& report) {
  std::stable_sort(lines.begin(), lines.end(),
                   [](const AdviceLine& left, const AdviceLine& right) {
                     return left.time < right.time;
                   });
  Advice last;  // of the process that is read now
  const auto end_process = [&] {
    for (const auto& [reason, numbers] : last) {
      AdviceNumbers& sum = report.advice[reason];
      std::transform(sum.begin(), sum.end(), numbers.begin(), sum.begin(),
                     std::plus<>());
    }
    report.advice_processes += last.empty() ? 0 : 1;
    last.clear();
  };
  for (AdviceLine& it : lines) {
    // A reason that can't be read has not fallen; it stays as it was.
    Advice totals = it.totals;
    for (const std::string& reason : it.unreadable) {
      if (const auto found = last.find(reason); found != last.end()) {
        totals.insert(*found);
      }
    }
    if (Falls(last, totals)) {
      end_process();
      totals = std::move(it.totals);
    }
    last = std::move(totals);
  }
  end_process();
}

}  // namespace burdockrock
