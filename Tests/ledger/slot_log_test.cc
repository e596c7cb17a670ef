#include "ledger/slot_log.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "fake_platform.h"
#include "log_driver.h"

namespace burdockrock {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time kStart = seconds(100);
const char kJournal[] = "jobs/neihu-a/entry-1-e17";
const char kClaims[] = "claims/3";

struct Fixture {
  FakePlatform platform;
  WriteBudget budget{{.writes_per_second = 1000, .burst = 1000}};

  LogDriver Journal(const std::string& writer, std::uint32_t ring_slots = 8) {
    return LogDriver({.name = kJournal,
                      .writer = writer,
                      .exclusive = true,
                      .ring_slots = ring_slots},
                     budget, platform);
  }

  // Drops a pending claim as soon as another's claim of its key stands.
  LogDriver Claims(const std::string& writer, std::uint32_t ring_slots = 8) {
    return LogDriver(
        {.name = kClaims,
         .writer = writer,
         .ring_slots = ring_slots,
         .still_wanted = [](const LogRecord&,
                            const LogRecord* current) { return !current; }},
        budget, platform);
  }

  LoadedLog Read(const char* name, std::uint32_t ring_slots = 8) {
    const PlatformResult result =
        platform.Execute(KvRange{.prefix = LogPrefix(name)});
    auto loaded = LoadLog(name, ring_slots, std::get<KvItems>(result).items);
    REQUIRE(std::holds_alternative<LoadedLog>(loaded));
    return std::get<LoadedLog>(loaded);
  }
};

TEST_CASE("What is pending shares one write after the commit interval") {
  Fixture fixture;
  LogDriver driver = fixture.Journal("a");
  driver.Take(driver.log().Create(kStart));
  std::vector<Ticket> tickets;
  for (int i = 0; i < 5; ++i) {
    tickets.push_back(driver.log().Append(
        {.key = std::to_string(i), .kind = "set", .body = "\"b\"\n"}, {},
        kStart));
  }
  const Time due = kStart + driver.log().options().commit_interval;
  CHECK(driver.log().next_time() == due);
  driver.Take(driver.log().OnTime(due));
  driver.Answer(due + milliseconds(2));
  for (const Ticket it : tickets) {
    CHECK(driver.outcome(it) == AppendOutcome::kCommitted);
  }
  CHECK(fixture.platform.writes() == 1);
  CHECK(fixture.Read(kJournal).replay.records() == driver.log().records());
  CHECK(fixture.Read(kJournal).replay.records().size() == 5);
}

// Symptom: a job is recorded twice and run twice.
// Sequence: a put takes effect, its answer is lost; the writer puts the same
// records again at the next slot.
// Cause: a lost answer taken for a failed write.
TEST_CASE("A write whose answer was lost is found and not written again") {
  Fixture fixture;
  LogDriver driver = fixture.Journal("a");
  driver.Take(driver.log().Create(kStart));
  const Ticket ticket = driver.Append("job-1", "x", kStart);
  driver.LoseAnswer(kStart);
  CHECK_FALSE(driver.outcome(ticket));
  driver.Settle(kStart);
  CHECK(driver.outcome(ticket) == AppendOutcome::kCommitted);
  CHECK(fixture.platform.items().size() == 1);
  CHECK(fixture.platform.writes() == 1);
}

// Symptom: a caller hears "accepted" and its job is never run.
// Sequence: the writer pauses; a peer adopts its journal; the writer wakes and
// appends.
// Cause: nothing in the write tells that the journal has a new owner.
TEST_CASE("A paused writer is fenced by its adopter's owner record") {
  Fixture fixture;
  LogDriver paused = fixture.Journal("a");
  paused.Take(paused.log().Create(kStart));
  const Ticket before = paused.Append("job-1", "x", kStart);
  paused.Settle(kStart);
  LogDriver adopter = fixture.Journal("b");
  adopter.Take(adopter.log().Open(kStart));
  adopter.Take(adopter.log().Adopt(kStart));
  adopter.Settle(kStart);
  REQUIRE(adopter.log().is_writable());

  const Ticket after = paused.Append("job-2", "y", kStart + seconds(20));
  paused.Settle(kStart + seconds(20));
  CHECK(paused.outcome(before) == AppendOutcome::kCommitted);
  CHECK(paused.outcome(after) == AppendOutcome::kFenced);
  CHECK(paused.log().is_fenced());
  CHECK(paused.fenced_by() == "b");
  CHECK(adopter.log().records().contains("job-1"));
  CHECK_FALSE(fixture.Read(kJournal).replay.records().contains("job-2"));
}

// Symptom: a funder receives one submission twice.
// Sequence: a caller's retry reaches another entry instance; both claim its
// key at once.
// Cause: each wrote its claim without reading the other's.
TEST_CASE("Of two racing claims of a key exactly one is committed") {
  Fixture fixture;
  LogDriver first = fixture.Claims("a");
  LogDriver second = fixture.Claims("b");
  first.Take(first.log().Open(kStart));
  second.Take(second.log().Open(kStart));
  first.Settle(kStart);
  second.Settle(kStart);
  const Ticket claim_of_first = first.Append("key-1", "by a", kStart);
  const Ticket claim_of_second = second.Append("key-1", "by b", kStart);
  const Ticket other = second.Append("key-2", "by b", kStart);
  first.Settle(kStart);
  second.Settle(kStart);
  CHECK(first.outcome(claim_of_first) == AppendOutcome::kCommitted);
  CHECK(second.outcome(claim_of_second) == AppendOutcome::kDropped);
  CHECK(second.outcome(other) == AppendOutcome::kCommitted);
  REQUIRE(second.absorbed().size() == 1);
  CHECK(second.absorbed().front().body == "by a");
  CHECK(fixture.Read(kClaims).replay.records() == second.log().records());
}

}  // namespace
}  // namespace burdockrock
