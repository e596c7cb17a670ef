#include "cli/log_summary_text.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace burdockrock {

namespace {

using Row = std::vector<std::string>;

constexpr const char* kGap = "  ";

// A heading, and rows whose first column is aligned left and the others right.
std::string Table(const std::string& heading, const std::vector<Row>& rows) {
  std::vector<std::size_t> widths;
  for (const Row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t it = 0; it < row.size(); ++it) {
      widths[it] = std::max(widths[it], row[it].size());
    }
  }
  std::string text = "\n" + heading + "\n";
  for (const Row& row : rows) {
    text += fmt::format("{}{:<{}}", kGap, row[0], widths[0]);
    for (std::size_t it = 1; it < row.size(); ++it) {
      text += fmt::format("{}{:>{}}", kGap, row[it], widths[it]);
    }
    text += "\n";
  }
  return text;
}

std::uint64_t CountOf(const LineCounts& counts, const std::string& name) {
  const auto it = counts.find(name);
  return it == counts.end() ? 0 : it->second;
}

void AddCounts(const LineCounts& names, const LineCounts& counts, Row& row) {
  for (const auto& [name, total] : names) {
    row.push_back(std::to_string(CountOf(counts, name)));
  }
}

void AddNames(const LineCounts& names, Row& row) {
  for (const auto& [name, total] : names) {
    row.push_back(name);
  }
}

// One row for each window that has a line of this kind, and their sum.
std::string CountsTable(const LogReport& report,
                        const std::string& heading,
                        const LineCounts WindowCounts::*member) {
  const LineCounts& total = report.total.*member;
  if (total.empty()) {
    return "\n" + heading + ": none\n";
  }
  std::vector<Row> rows = {{"window"}};
  AddNames(total, rows.back());
  for (const auto& [start, counts] : report.windows) {
    if (!(counts.*member).empty()) {
      rows.push_back({start});
      AddCounts(total, counts.*member, rows.back());
    }
  }
  rows.push_back({"total"});
  AddCounts(total, total, rows.back());
  return Table(heading, rows);
}

std::string JobsTable(const LogReport& report, std::int64_t window_s) {
  const std::string heading = fmt::format(
      "Jobs accepted, and ended by state, by window of {} s", window_s);
  const LineCounts& states = report.total.ended;
  if (report.total.accepted == 0 && states.empty()) {
    return "\n" + heading + ": none\n";
  }
  std::vector<Row> rows = {{"window", "accepted"}};
  AddNames(states, rows.back());
  const auto add = [&](const std::string& start, const WindowCounts& counts) {
    rows.push_back({start, std::to_string(counts.accepted)});
    AddCounts(states, counts.ended, rows.back());
  };
  for (const auto& [start, counts] : report.windows) {
    if (counts.accepted != 0 || !counts.ended.empty()) {
      add(start, counts);
    }
  }
  add("total", report.total);
  return Table(heading, rows);
}

std::string TeamsTable(const LogReport& report) {
  const std::string heading = "Refusals and lines on waiting steps by team";
  if (report.teams.empty()) {
    return "\n" + heading + ": none\n";
  }
  std::vector<Row> rows = {{"team", "refused", "waits"}};
  for (const auto& [team, counts] : report.teams) {
    rows.push_back(
        {team, std::to_string(counts.refused), std::to_string(counts.waits)});
  }
  return Table(heading, rows);
}

std::string SpanTitle(std::string name) {
  std::replace(name.begin(), name.end(), '_', ' ');
  return name;
}

std::string StepsTable(const StepGroup& group, const std::string& kind) {
  const std::string heading =
      fmt::format("Steps of ended jobs that ran {} after their last start: {}",
                  kind, group.steps);
  if (group.steps == 0) {
    return "\n" + heading + "\n";
  }
  std::vector<Row> rows = {
      {"span", "steps", "median ms", "p90 ms", "reversed"}};
  for (std::size_t it = 0; it < kStepSpanNames.size(); ++it) {
    const StepSpan& span = group.spans[it];
    const bool is_known = span.count != 0;
    rows.push_back({SpanTitle(kStepSpanNames[it]), std::to_string(span.count),
                    is_known ? std::to_string(span.median_ms) : "-",
                    is_known ? std::to_string(span.p90_ms) : "-",
                    std::to_string(span.reversed)});
  }
  return Table(heading, rows);
}

std::string AdviceTable(const LogReport& report) {
  const std::string heading = fmt::format(
      "Calls for advice by reason; processes: {}", report.advice_processes);
  if (report.advice.empty()) {
    return "\n" + heading + "\n";
  }
  std::vector<Row> rows = {{"reason"}};
  rows.back().insert(rows.back().end(), kAdviceNumberNames.begin(),
                     kAdviceNumberNames.end());
  AdviceNumbers total = {};
  const auto add = [&rows](const std::string& reason,
                           const AdviceNumbers& numbers) {
    rows.push_back({reason});
    for (const std::uint64_t it : numbers) {
      rows.back().push_back(std::to_string(it));
    }
  };
  for (const auto& [reason, numbers] : report.advice) {
    add(reason, numbers);
    for (std::size_t it = 0; it < numbers.size(); ++it) {
      total[it] += numbers[it];
    }
  }
  add("total", total);
  return Table(heading, rows);
}

std::string HeadText(const LogReport& report) {
  std::string text = fmt::format(
      "From {} to {}\nEvents: {}\nInstances: {}\nSkipped lines: {}\n"
      "Unreadable values: {}\n",
      report.first, report.last, report.events, report.instances,
      report.skipped_lines, report.unreadable_values);
  for (const auto& [name, count] : report.suppressed) {
    text += fmt::format("Suppressed lines of {}: {}\n", name, count);
  }
  return text;
}

Json::Value NumberJson(std::uint64_t number) {
  return static_cast<Json::UInt64>(number);
}

Json::Value CountsJson(const LineCounts& counts) {
  Json::Value json(Json::objectValue);
  for (const auto& [name, count] : counts) {
    json[name] = NumberJson(count);
  }
  return json;
}

Json::Value WindowJson(const WindowCounts& counts) {
  Json::Value json(Json::objectValue);
  json["accepted"] = NumberJson(counts.accepted);
  json["ended"] = CountsJson(counts.ended);
  json["refused"] = CountsJson(counts.refused);
  json["waits"] = CountsJson(counts.waits);
  json["standings"] = CountsJson(counts.standings);
  return json;
}

Json::Value GroupJson(const StepGroup& group) {
  Json::Value json(Json::objectValue);
  json["steps"] = NumberJson(group.steps);
  for (std::size_t it = 0; it < kStepSpanNames.size(); ++it) {
    const StepSpan& span = group.spans[it];
    Json::Value& entry = json[kStepSpanNames[it]];
    entry["count"] = NumberJson(span.count);
    if (span.count != 0) {
      entry["median_ms"] = static_cast<Json::Int64>(span.median_ms);
      entry["p90_ms"] = static_cast<Json::Int64>(span.p90_ms);
    }
    entry["reversed"] = NumberJson(span.reversed);
  }
  return json;
}

Json::Value AdviceJson(const LogReport& report) {
  Json::Value json(Json::objectValue);
  json["processes"] = NumberJson(report.advice_processes);
  json["reasons"] = Json::Value(Json::objectValue);
  for (const auto& [reason, numbers] : report.advice) {
    for (std::size_t it = 0; it < numbers.size(); ++it) {
      json["reasons"][reason][kAdviceNumberNames[it]] = NumberJson(numbers[it]);
    }
  }
  return json;
}

}  // namespace

std::string SummaryText(const LogReport& report, std::int64_t window_s) {
  std::string text = HeadText(report);
  text += JobsTable(report, window_s);
  text += CountsTable(report, "Refused requests by window and cause",
                      &WindowCounts::refused);
  text += CountsTable(report, "Lines on waiting steps by window and cause",
                      &WindowCounts::waits);
  text += CountsTable(report, "Lines on waiting steps by window and standing",
                      &WindowCounts::standings);
  text += TeamsTable(report);
  text += StepsTable(report.short_steps, "under 2 s");
  text += StepsTable(report.long_steps, "2 s or more");
  text += fmt::format("\nSteps whose last start or end is not known: {}\n",
                      report.steps_without_run);
  text += AdviceTable(report);
  return text;
}

Json::Value SummaryJson(const LogReport& report, std::int64_t window_s) {
  Json::Value json(Json::objectValue);
  json["events"] = NumberJson(report.events);
  json["instances"] = NumberJson(report.instances);
  json["first"] = report.first;
  json["last"] = report.last;
  json["skipped_lines"] = NumberJson(report.skipped_lines);
  json["unreadable_values"] = NumberJson(report.unreadable_values);
  json["suppressed"] = CountsJson(report.suppressed);
  json["window_s"] = static_cast<Json::Int64>(window_s);
  json["windows"] = Json::Value(Json::arrayValue);
  for (const auto& [start, counts] : report.windows) {
    Json::Value window = WindowJson(counts);
    window["start"] = start;
    json["windows"].append(std::move(window));
  }
  json["total"] = WindowJson(report.total);
  json["teams"] = Json::Value(Json::objectValue);
  for (const auto& [team, counts] : report.teams) {
    json["teams"][team]["refused"] = NumberJson(counts.refused);
    json["teams"][team]["waits"] = NumberJson(counts.waits);
  }
  json["steps"]["under_2_s"] = GroupJson(report.short_steps);
  json["steps"]["of_2_s_or_more"] = GroupJson(report.long_steps);
  json["steps"]["without_run"] = NumberJson(report.steps_without_run);
  json["advice"] = AdviceJson(report);
  return json;
}

}  // namespace burdockrock
