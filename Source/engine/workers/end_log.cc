#include "engine/workers/end_log.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace burdockrock::engine {

namespace {

// Longer values would be truncated in the log (kMaxLogValueBytes).
constexpr std::size_t kMaxValueBytes = 480;
// For the runs of one step on one worker. A job's id takes up to 64 bytes more.
constexpr std::size_t kMaxRunsBytes = 320;
static_assert(kMaxValueBytes < kMaxLogValueBytes);

std::string SpanText(const std::optional<Duration>& span) {
  return span ? std::to_string(ToMilliseconds(*span)) : "-";
}

// The estimate is unknown when the run was not known here.
std::string EstimateText(const std::optional<Duration>& took,
                         Duration estimate) {
  return took ? std::to_string(ToMilliseconds(estimate)) : "-";
}

LogLine DoneLine(std::string runs) {
  return {.number = EventNumber::kRunsDone,
          .fields = {{.key = "runs", .value = std::move(runs)}}};
}

}  // namespace

void EndLog::Add(Time now, const LoggedEnd& end) {
  const bool done = end.how == RunEnd::kDone;
  if (done) {
    done_since_ = std::min(done_since_, now);
  }
  Ends& ends = (done ? done_ : others_)[Key{
      .step = StepName(end.task), .worker = end.worker, .how = end.how}];
  ends.runs.emplace_back(end.task.index, end.run);
  if (end.took) {
    ends.longest = std::max(ends.longest.value_or(*end.took), *end.took);
    ends.estimate = end.estimate;
  }
}

std::vector<LogLine> EndLog::TakeOthers() {
  std::vector<LogLine> lines;
  for (const auto& [key, it] : std::exchange(others_, {})) {
    for (const std::string& runs : ListRuns(it)) {
      lines.push_back(
          {.number = EventNumber::kRunEnded,
           .fields = {{"runs", key.step + ":" + runs},
                      {"worker", key.worker},
                      {"how", RunEndName(key.how)},
                      {"took_ms", SpanText(it.longest)},
                      {"estimate_ms", EstimateText(it.longest, it.estimate)}}});
    }
  }
  return lines;
}

std::vector<LogLine> EndLog::TakeDone(Time now, bool all) {
  std::vector<LogLine> lines;
  if (done_.empty() || (!all && now - done_since_ < kDelay)) {
    return lines;
  }
  done_since_ = kForever;
  std::string text;
  std::string last_head;
  for (const auto& [key, it] : std::exchange(done_, {})) {
    const std::string head =
        key.step + "/" + EstimateText(it.longest, it.estimate);
    for (const std::string& runs : ListRuns(it)) {
      const std::string group =
          fmt::format("@{}:{}/{}", key.worker, runs, SpanText(it.longest));
      // A blank, and the head when it differs from the last one.
      const std::size_t added = head.size() + 1 + group.size();
      if (!text.empty() && text.size() + added > kMaxValueBytes) {
        lines.push_back(DoneLine(std::exchange(text, "")));
      }
      if (text.empty()) {
        text = head;
      } else if (head != last_head) {
        text += " " + head;
      }
      text += group;
      last_head = head;
    }
  }
  lines.push_back(DoneLine(std::move(text)));
  return lines;
}

std::vector<std::string> EndLog::ListRuns(const Ends& ends) {
  auto runs = ends.runs;
  std::sort(runs.begin(), runs.end());
  std::vector<std::string> texts(1);
  for (std::size_t it = 0; it < runs.size();) {
    std::size_t last = it;
    while (last + 1 < runs.size() &&
           runs[last + 1].first == runs[last].first + 1 &&
           runs[last + 1].second == runs[it].second) {
      ++last;
    }
    if (texts.back().size() > kMaxRunsBytes) {
      texts.emplace_back();
    }
    std::string& text = texts.back();
    text += fmt::format("{}{}", text.empty() ? "" : ",", runs[it].first);
    if (last > it) {
      text += fmt::format("-{}", runs[last].first);
    }
    if (runs[it].second != 1) {
      text += fmt::format("r{}", runs[it].second);
    }
    it = last + 1;
  }
  return texts;
}

}  // namespace burdockrock::engine
