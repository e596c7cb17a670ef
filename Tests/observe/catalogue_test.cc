// Holds that the code and the catalogues for operators say the same.
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "observe/event_catalogue.h"
#include "observe/metric_catalogue.h"

namespace burdockrock {
namespace {

// The lines of a page in docs/ that start with `start`.
std::vector<std::string> ReadRows(const std::string& page,
                                  const std::string& start) {
  std::ifstream file(fmt::format("{}/{}", BURDOCKROCK_DOCS_DIRECTORY, page));
  std::vector<std::string> rows;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(start)) {
      rows.push_back(line);
    }
  }
  return rows;
}

// Table rows without the head and the line below it.
std::vector<std::string> ReadTable(const std::string& page) {
  std::vector<std::string> rows = ReadRows(page, "| ");
  REQUIRE(rows.size() > 1);
  rows.erase(rows.begin());
  return rows;
}

TEST_CASE("docs/events.md lists the events of the code, row by row") {
  const std::vector<std::string> rows = ReadTable("events.md");
  REQUIRE(rows.size() == AllEvents().size());
  auto row = rows.begin();
  for (const EventInfo& it : AllEvents()) {
    const std::string start =
        fmt::format("| {} | {} | `{}` | {} | ", static_cast<int>(it.number),
                    LevelName(it.level), it.name, it.meaning);
    CHECK_MESSAGE(row->starts_with(start), *row, " against ", start);
    CHECK_MESSAGE(row->size() > start.size() + 2, "no advice: ", *row);
    ++row;
  }
}

TEST_CASE("Event numbers ascend and their names are unique") {
  std::set<std::string> names;
  int last = 0;
  for (const EventInfo& it : AllEvents()) {
    CHECK(static_cast<int>(it.number) > last);
    CHECK_MESSAGE(names.insert(it.name).second, it.name);
    CHECK(FindEvent(it.number) == &it);
    last = static_cast<int>(it.number);
  }
  CHECK(FindEvent(EventNumber{199}) == nullptr);
  CHECK(FindEvent(EventNumber{999}) == nullptr);
}

TEST_CASE("docs/metrics.md lists the metrics of the code, row by row") {
  std::vector<std::string> expected;
  for (const MetricInfo& it : kAllMetrics) {
    const std::string label =
        it.label.empty() ? "-" : fmt::format("`{}`", it.label);
    expected.push_back(fmt::format("| `{}` | {} | {} | {} |", it.name,
                                   MetricKindName(it.kind), label, it.help));
  }
  CHECK(ReadTable("metrics.md") == expected);
}

}  // namespace
}  // namespace burdockrock
