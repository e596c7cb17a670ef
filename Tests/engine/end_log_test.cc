// Tests that the combined log lines of ends contain every end.
#include "engine/workers/end_log.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace burdockrock::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LoggedEnd End(std::uint32_t index, std::uint64_t run = 1) {
  return {.task = {.job = "j1", .index = index},
          .run = run,
          .worker = "w1",
          .took = milliseconds(100 + index),
          .estimate = milliseconds(90)};
}

std::string FieldOf(const LogLine& line, const std::string& key) {
  for (const LogField& it : line.fields) {
    if (it.key == key) {
      return it.value;
    }
  }
  return "(none)";
}

TEST_CASE("Runs that end done within half a second share a line") {
  EndLog log;
  for (const std::uint32_t it : {3U, 0U, 2U, 4U, 7U}) {
    log.Add(seconds(10), End(it));
  }
  log.Add(seconds(10), End(9, 2));
  LoggedEnd elsewhere = End(8);
  elsewhere.worker = "w2";
  log.Add(seconds(10), elsewhere);
  LoggedEnd other = End(0);
  other.task.job = "j2";
  other.task.occurrence = 1;
  other.task.step = 2;
  other.worker = "w0";
  other.took.reset();
  log.Add(seconds(10) + milliseconds(200), other);
  CHECK(log.TakeDone(seconds(10) + milliseconds(499), false).empty());
  const auto lines = log.TakeDone(seconds(10) + milliseconds(500), false);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].number == EventNumber::kRunsDone);
  CHECK(FieldOf(lines[0], "runs") ==
        "j1.0.0/90@w1:0,2-4,7,9r2/109@w2:8/108 j2.1.2/-@w0:0/-");
  CHECK(log.TakeDone(seconds(20), true).empty());
}

TEST_CASE("A process that stops logs all pending ends") {
  EndLog log;
  log.Add(seconds(10), End(0));
  CHECK(log.TakeDone(seconds(10), true).size() == 1);
}

TEST_CASE("Other ends have a line for each step, worker and kind, at once") {
  EndLog log;
  LoggedEnd failed = End(5);
  failed.how = RunEnd::kFailed;
  LoggedEnd stopped = End(0);
  stopped.how = RunEnd::kStopped;
  log.Add(seconds(10), failed);
  log.Add(seconds(10), stopped);
  stopped.task.index = 1;
  stopped.took = milliseconds(101);
  log.Add(seconds(10), stopped);
  log.Add(seconds(10), End(2));
  const auto lines = log.TakeOthers();
  REQUIRE(lines.size() == 2);
  for (const LogLine& it : lines) {
    CHECK(it.number == EventNumber::kRunEnded);
    CHECK(FieldOf(it, "worker") == "w1");
    CHECK(FieldOf(it, "estimate_ms") == "90");
    const bool is_failed = FieldOf(it, "how") == "failed";
    CHECK(FieldOf(it, "runs") == (is_failed ? "j1.0.0:5" : "j1.0.0:0-1"));
    CHECK(FieldOf(it, "took_ms") == (is_failed ? "105" : "101"));
  }
  CHECK(log.TakeOthers().empty());
  CHECK(log.TakeDone(seconds(11), false).size() == 1);
}

// Guards against lost ends: the log truncates a value of more than 512 bytes,
// and the runs at its end would not be logged.
TEST_CASE("Many ends are logged in values that are not truncated") {
  EndLog log;
  std::size_t logged = 0;
  for (std::uint32_t it = 0; it < 1000; ++it) {
    LoggedEnd end = End(2 * it, 1001);
    end.task.job = std::string(64, 'j');
    log.Add(seconds(10), end);
    end.how = RunEnd::kLapsed;
    log.Add(seconds(10), end);
  }
  auto lines = log.TakeDone(seconds(11), false);
  const auto others = log.TakeOthers();
  lines.insert(lines.end(), others.begin(), others.end());
  for (const LogLine& it : lines) {
    const std::string runs = FieldOf(it, "runs");
    CHECK(runs.size() <= kMaxLogValueBytes);
    std::size_t at = 0;
    while ((at = runs.find("r1001", at)) != std::string::npos) {
      ++logged;
      ++at;
    }
  }
  CHECK(logged == 2000);
}

}  // namespace

}  // namespace burdockrock::engine
