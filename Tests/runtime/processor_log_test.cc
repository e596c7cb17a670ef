// What is logged of a process that is short of processor time.
#include <chrono>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "runtime/processor_log.h"

namespace burdockrock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A log that has looked at the time and totals before.
struct BegunLog {
  std::vector<LogLine> lines{};
  ProcessorLog log{[this](const LogLine& it) { lines.push_back(it); }};
  Time begun = seconds(100);

  BegunLog() {
    log.WriteLine(begun, {.peers_received = 7,
                          .peers_sent = 5,
                          .peers_resent = 1,
                          .processor = milliseconds(300)});
  }
};

std::string ValueOf(const LogLine& line, const std::string& key) {
  for (const auto& [name, value] : line.fields) {
    if (name == key) {
      return value;
    }
  }
  return "-";
}

}  // namespace

TEST_CASE(
    "A process in which events wait for long logs what its time goes to") {
  BegunLog it;
  it.log.NoteStep(milliseconds(4), false);
  it.log.NoteStep(milliseconds(9), true);
  it.log.NoteWait(milliseconds(400));
  it.log.NoteWait(milliseconds(20));
  it.log.WriteLine(it.begun + seconds(5), {.peers_received = 17,
                                           .peers_sent = 25,
                                           .peers_resent = 4,
                                           .peers_given_up = 2,
                                           .processor = milliseconds(900)});
  REQUIRE(it.lines.size() == 1);
  const LogLine& line = it.lines.front();
  CHECK(line.number == EventNumber::kProcessorShort);
  CHECK(ValueOf(line, "span_ms") == "5000");
  CHECK(ValueOf(line, "longest_wait_ms") == "400");
  CHECK(ValueOf(line, "processor_ms") == "600");
  CHECK(ValueOf(line, "steps") == "2");
  CHECK(ValueOf(line, "steps_ms") == "13");
  CHECK(ValueOf(line, "drives") == "1");
  CHECK(ValueOf(line, "drives_ms") == "9");
  CHECK(ValueOf(line, "peers_received") == "10");
  CHECK(ValueOf(line, "peers_sent") == "20");
  CHECK(ValueOf(line, "peers_resent") == "3");
  CHECK(ValueOf(line, "peers_given_up") == "2");
}

TEST_CASE("A process in which nothing waits for long logs nothing") {
  BegunLog it;
  it.log.NoteStep(milliseconds(9), true);
  it.log.NoteWait(milliseconds(20));
  it.log.WriteLine(it.begun + seconds(5), {});
  CHECK(it.lines.empty());
}

TEST_CASE("A wait is logged once, after the interval") {
  BegunLog it;
  it.log.NoteWait(seconds(1));
  it.log.WriteLine(it.begun + seconds(4), {});
  CHECK(it.lines.empty());
  it.log.WriteLine(it.begun + seconds(5), {});
  it.log.WriteLine(it.begun + seconds(10), {});
  CHECK(it.lines.size() == 1);
}

}  // namespace burdockrock
