#include "ledger/slot_log.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "log_driver.h"
#include "log_fixture.h"

namespace burdockrock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::uint64_t Puts(const LogFixture& fixture) {
  return fixture.store.calls().Of(standin::CallKind::kPut).total;
}

TEST_CASE("What is pending shares one write after the commit interval") {
  LogFixture fixture;
  LogDriver driver = fixture.CreatedJournal("a");
  std::vector<Ticket> tickets;
  tickets.reserve(5);
  for (int i = 0; i < 5; ++i) {
    tickets.push_back(driver.log().Append(
        {.key = std::to_string(i), .kind = "set", .body = "b"}, {},
        kTestStart));
  }
  const Time due = kTestStart + driver.log().options().commit_interval;
  driver.Take(driver.log().OnTime(due - milliseconds(1)));
  CHECK_FALSE(driver.has_call());
  CHECK(driver.log().next_time() == due);
  driver.Take(driver.log().OnTime(due));
  driver.Answer(due + milliseconds(2));
  for (const Ticket it : tickets) {
    CHECK(driver.outcome(it) == AppendOutcome::kCommitted);
  }
  CHECK(Puts(fixture) == 1);
  CHECK(fixture.Read(kJournalName).replay.records() == driver.log().records());
  CHECK(driver.log().records().size() == 5);
}

TEST_CASE("A batch stays below its bytes and an oversized record is refused") {
  LogFixture fixture;
  SlotLogOptions options = fixture.JournalOptions("a");
  options.max_batch_bytes = 1000;
  LogDriver driver(options, fixture.budget, fixture.store);
  driver.Take(driver.log().Create(kTestStart));
  const Ticket large =
      driver.Append("large", std::string(900, 'x'), kTestStart);
  driver.Settle(kTestStart);
  CHECK(driver.outcome(large) == AppendOutcome::kNotWritten);
  std::vector<Ticket> tickets;
  tickets.reserve(4);
  for (int i = 0; i < 4; ++i) {
    tickets.push_back(
        driver.Append(std::to_string(i), std::string(400, 'x'), kTestStart));
  }
  driver.Settle(kTestStart);
  for (const Ticket it : tickets) {
    CHECK(driver.outcome(it) == AppendOutcome::kCommitted);
  }
  CHECK(Puts(fixture) == 3);  // the first alone, then two, then one
  const Ticket beyond_half =
      driver.Append("5", std::string(800, 'x'), kTestStart);
  const Ticket over = driver.Append("6", std::string(800, 'x'), kTestStart);
  const Ticket over_too = driver.Append("7", std::string(800, 'x'), kTestStart);
  driver.Settle(kTestStart);
  CHECK(driver.outcome(beyond_half) == AppendOutcome::kCommitted);
  CHECK(driver.outcome(over) == AppendOutcome::kCommitted);
  // Standing and pending records may take half of the ring's 8000 bytes.
  CHECK(driver.outcome(over_too) == AppendOutcome::kNotWritten);
}

TEST_CASE("The writes of all logs keep to one budget, urgent ones first") {
  LogFixture fixture;
  WriteBudget budget{
      {.writes_per_second = 10, .burst = 3, .urgent_reserve = 1}};
  LogDriver journal(fixture.JournalOptions("a"), budget, fixture.store);
  LogDriver claims(fixture.ClaimsOptions("a"), budget, fixture.store);
  journal.Take(journal.log().Create(kTestStart));
  claims.Take(claims.log().Open(kTestStart));
  claims.Settle(kTestStart);
  Time now = kTestStart;
  for (int i = 0; i < 2; ++i) {
    journal.log().Append({.key = std::to_string(i), .kind = "set", .body = ""},
                         {}, now);
    now += milliseconds(10);
    journal.Take(journal.log().OnTime(now));
    journal.Answer(now);
  }
  const Ticket ordinary =
      journal.log().Append({.key = "2", .kind = "set", .body = ""}, {}, now);
  now += milliseconds(10);
  journal.Take(journal.log().OnTime(now));
  CHECK_FALSE(journal.has_call());
  const Ticket urgent = claims.Append("key", "", now);
  REQUIRE(claims.has_call());
  claims.Answer(now);
  CHECK(claims.outcome(urgent) == AppendOutcome::kCommitted);
  const Time next = journal.log().next_time();
  CHECK(next > now + milliseconds(50));
  CHECK(next < now + milliseconds(200));
  journal.Settle(now);
  CHECK(journal.outcome(ordinary) == AppendOutcome::kCommitted);
}

TEST_CASE("A standing record is carried over every lap of the ring") {
  LogFixture fixture;
  SlotLogOptions options = fixture.JournalOptions("a");
  options.keep = [](const LogRecord& it) { return it.key != "expired"; };
  LogDriver driver(options, fixture.budget, fixture.store);
  driver.Take(driver.log().Create(kTestStart));
  driver.Append("kept", "x", kTestStart);
  driver.Settle(kTestStart);
  driver.Append("expired", "x", kTestStart);
  driver.Settle(kTestStart);
  for (std::uint32_t i = 0; i < 3 * kTestRingSlots; ++i) {
    const std::string key = std::to_string(i);
    driver.Append(key, "x", kTestStart);
    driver.Settle(kTestStart);
    driver.Append({.key = key, .kind = kEraseKind, .body = ""}, kTestStart);
    driver.Settle(kTestStart);
  }
  CHECK(driver.log().records().size() == 1);
  CHECK(driver.log().records().contains("kept"));
  CHECK(fixture.store.key_count() == kTestRingSlots);
  CHECK(fixture.Read(kJournalName).replay.records() == driver.log().records());
}

TEST_CASE("A closed journal keeps its slots for a while and is then purged") {
  LogFixture fixture;
  LogDriver owner = fixture.CreatedJournal("a");
  owner.Append("job", "x", kTestStart);
  owner.Settle(kTestStart);
  owner.Take(owner.log().Close(kTestStart));
  CHECK_FALSE(owner.has_call());  // a record stands
  owner.Append({.key = "job", .kind = kEraseKind, .body = ""}, kTestStart);
  owner.Settle(kTestStart);
  owner.Take(owner.log().Close(kTestStart));
  owner.Settle(kTestStart);
  CHECK(owner.log().is_closed());
  const Ticket after = owner.Append("late", "x", kTestStart);
  CHECK(owner.outcome(after) == AppendOutcome::kFenced);

  LogDriver reader = fixture.Journal("b");
  reader.Take(reader.log().Open(kTestStart));
  reader.Settle(kTestStart);
  CHECK(reader.log().is_closed());
  reader.Take(reader.log().Purge(kTestStart + seconds(1)));
  CHECK_FALSE(reader.has_call());
  CHECK(fixture.store.key_count() == 3);
  const Time later = kTestStart + reader.log().PurgeDelay();
  reader.Take(reader.log().Purge(later));
  reader.Settle(later);
  CHECK(reader.purged());
  CHECK(fixture.store.key_count() == 0);
}

}  // namespace
}  // namespace burdockrock
