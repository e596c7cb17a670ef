#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "ledger/slot_log.h"
#include "log_driver.h"
#include "log_fixture.h"

namespace burdockrock {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

bool Stands(LogFixture& fixture, const char* name, const std::string& key) {
  return fixture.Read(name).replay.records().contains(key);
}

// Symptom: a job is recorded twice and run twice.
// Sequence: a put takes effect, its answer is lost; the writer puts the same
// records again at the next slot.
// Cause: a lost answer taken for a failed write.
TEST_CASE("A write whose answer was lost is found and not written again") {
  LogFixture fixture;
  LogDriver driver = fixture.CreatedJournal("a");
  const Ticket ticket = driver.Append("job-1", "x", kTestStart);
  driver.LoseAnswer(kTestStart);
  CHECK_FALSE(driver.outcome(ticket));
  driver.Settle(kTestStart);
  CHECK(driver.outcome(ticket) == AppendOutcome::kCommitted);
  CHECK(fixture.store.key_count() == 1);
  CHECK(fixture.store.calls().Of(standin::CallKind::kPut).total == 1);
}

// Symptom: a job is recorded twice and run twice.
// Sequence: a put is held up in the network; the slot is read back and still
// free; the writer puts again; then the first put arrives.
// Cause: the second put went to another slot than the first.
TEST_CASE("A put that arrives after its repetition changes nothing") {
  LogFixture fixture;
  LogDriver driver = fixture.CreatedJournal("a");
  const Ticket ticket = driver.Append("job-1", "x", kTestStart);
  const PlatformOperation delayed = driver.Delay(kTestStart);
  SUBCASE("before the repetition") {
    driver.Take(driver.log().OnTime(kTestStart + seconds(1)));
    driver.Answer(kTestStart + seconds(1));  // the read: free
    fixture.store.Apply(delayed, kTestStart);
    driver.Settle(kTestStart + seconds(1));
  }
  SUBCASE("after the repetition") {
    driver.Settle(kTestStart);
    fixture.store.Apply(delayed, kTestStart);
  }
  CHECK(driver.outcome(ticket) == AppendOutcome::kCommitted);
  CHECK(fixture.store.key_count() == 1);
  driver.Append("job-2", "y", kTestStart + seconds(2));
  driver.Settle(kTestStart + seconds(2));
  CHECK(fixture.Read(kJournalName).batches.size() == 2);
}

// Symptom: a caller hears "not run"; its job is in the journal and is run.
// Sequence: a put is held up in the network; the caller's deadline passes; the
// put arrives.
// Cause: giving up taken for taking back.
TEST_CASE("Giving up while a put may be under way is answered as unknown") {
  LogFixture fixture;
  LogDriver driver = fixture.CreatedJournal("a");
  const Ticket sent = driver.Append("job-1", "x", kTestStart);
  const Ticket queued = driver.Append("job-2", "x", kTestStart);
  const PlatformOperation delayed = driver.Delay(kTestStart);
  driver.Take(driver.log().GiveUp(sent, kTestStart));
  driver.Take(driver.log().GiveUp(queued, kTestStart));
  CHECK(driver.outcome(sent) == AppendOutcome::kUnknown);
  CHECK(driver.outcome(queued) == AppendOutcome::kNotWritten);
  fixture.store.Apply(delayed, kTestStart);
  driver.Settle(kTestStart);
  CHECK(driver.late_outcome(sent) == AppendOutcome::kCommitted);
  CHECK(Stands(fixture, kJournalName, "job-1"));
  CHECK_FALSE(Stands(fixture, kJournalName, "job-2"));
}

// Symptom: callers wait in an outage of the platform until their deadlines, or
// hear "not run" of a job that is run.
// Sequence: the platform is down before a put leaves, or after.
// Cause: the two are not told apart.
TEST_CASE("While the platform is down nothing is claimed that is not known") {
  LogFixture fixture;
  LogDriver driver = fixture.CreatedJournal("a");
  const AppendOptions caller_waits{.urgent = true,
                                   .refuse_when_unreachable = true};
  const LogRecord record{.key = "job-1", .kind = "set", .body = "x"};
  const Ticket first = driver.log().Append(record, caller_waits, kTestStart);
  const Ticket patient = driver.Append("end-of-job-0", "x", kTestStart);
  SUBCASE("before the put left") {
    driver.Refuse(kTestStart);
    CHECK(driver.outcome(first) == AppendOutcome::kNotWritten);
    CHECK_FALSE(driver.outcome(patient));
    const Ticket next = driver.log().Append(record, caller_waits, kTestStart);
    driver.Take(driver.log().OnTime(kTestStart));
    CHECK(driver.outcome(next) == AppendOutcome::kNotWritten);
  }
  SUBCASE("after the put left") {
    driver.Delay(kTestStart);
    CHECK_FALSE(driver.outcome(first));
    driver.Take(driver.log().GiveUp(first, kTestStart));
    CHECK(driver.outcome(first) == AppendOutcome::kUnknown);
  }
  CHECK_FALSE(driver.log().is_reachable());
  CHECK(fixture.store.key_count() == 0);
  driver.Settle(kTestStart + seconds(10));
  CHECK(driver.log().is_reachable());
  CHECK(driver.outcome(patient) == AppendOutcome::kCommitted);
}

// Symptom: every entry instance asks a platform that just came back at once.
// Sequence: an outage; each retries at a fixed period since its start.
// Cause: retries without growing and scattered delays.
TEST_CASE("Opening retries with growing delays until the platform answers") {
  LogFixture fixture;
  LogDriver driver = fixture.Claims("a");
  driver.Take(driver.log().Open(kTestStart));
  const Ticket ticket = driver.Append("key", "x", kTestStart);
  Time now = kTestStart;
  Duration last(0);
  for (int i = 0; i < 6; ++i) {
    driver.Refuse(now);
    const Time next = driver.log().next_time();
    CHECK(next - now > last);
    last = next - now;
    now = next;
    driver.Take(driver.log().OnTime(now));
  }
  CHECK(last > milliseconds(700));
  CHECK_FALSE(driver.log().is_open());
  CHECK_FALSE(driver.outcome(ticket));
  driver.Settle(now);
  CHECK(driver.outcome(ticket) == AppendOutcome::kCommitted);
}

// Symptom: a caller hears "accepted" and its job is never run.
// Sequence: the writer pauses; a peer adopts its journal; the writer wakes and
// appends, or its put was in the network all the while.
// Cause: nothing in the write tells that the journal has a new owner.
TEST_CASE("A paused writer is fenced by its adopter's owner record") {
  LogFixture fixture;
  LogDriver paused = fixture.CreatedJournal("a");
  const Ticket before = paused.Append("job-1", "x", kTestStart);
  paused.Settle(kTestStart);
  const Time woken = kTestStart + seconds(20);
  Ticket after = 0;
  SUBCASE("that appends when it wakes") {
    LogDriver adopter = fixture.AdoptedJournal("b", kTestStart + seconds(10));
    CHECK(adopter.log().records().contains("job-1"));
    after = paused.Append("job-2", "y", woken);
  }
  SUBCASE("whose put is held up") {
    after = paused.Append("job-2", "y", kTestStart);
    const LedgerCall delayed = paused.TakeCall();
    fixture.AdoptedJournal("b", kTestStart + seconds(10));
    paused.AnswerWith(delayed, fixture.store.Apply(delayed.operation, woken),
                      woken);
  }
  SUBCASE("whose put is held up and given up on") {
    after = paused.Append("job-2", "y", kTestStart);
    const PlatformOperation delayed = paused.Delay(kTestStart);
    fixture.AdoptedJournal("b", kTestStart + seconds(10));
    fixture.store.Apply(delayed, woken);
  }
  paused.Settle(woken);
  CHECK(paused.outcome(before) == AppendOutcome::kCommitted);
  CHECK(paused.outcome(after) == AppendOutcome::kFenced);
  CHECK(paused.log().is_fenced());
  CHECK(paused.fenced_by() == "b");
  CHECK_FALSE(Stands(fixture, kJournalName, "job-2"));
  const Ticket later = paused.Append("job-3", "z", woken);
  CHECK(paused.outcome(later) == AppendOutcome::kFenced);
}

// Symptom: a caller hears "accepted" and its job is in no journal.
// Sequence: a fenced writer starts its journal anew under the same name; its
// first batch has the number and the position of its first batch before.
// Cause: that one, read back after the conflict, is taken for the new one.
TEST_CASE("A journal that is created a second time is not written") {
  LogFixture fixture;
  LogDriver before = fixture.CreatedJournal("a");
  before.Append("job-1", "x", kTestStart);
  before.Settle(kTestStart);
  LogDriver again = fixture.CreatedJournal("a");
  const Ticket ticket = again.Append("job-2", "y", kTestStart);
  SUBCASE("and told so") {}
  SUBCASE("and the answer is lost") {
    again.LoseAnswer(kTestStart);
  }
  again.Settle(kTestStart);
  CHECK(again.outcome(ticket) == AppendOutcome::kFenced);
  CHECK_FALSE(Stands(fixture, kJournalName, "job-2"));
}

// Symptom: an accepted job is lost with the death of its entry instance.
// Sequence: a peer reads the journal; the writer, still alive, commits one
// more job; the peer adopts what it had read.
// Cause: time between the read and the owner record.
TEST_CASE("An adopter takes in what was written before its owner record") {
  LogFixture fixture;
  LogDriver writer = fixture.CreatedJournal("a");
  LogDriver adopter = fixture.Journal("b");
  adopter.Take(adopter.log().Open(kTestStart));
  adopter.Settle(kTestStart);
  const Ticket last = writer.Append("job-1", "x", kTestStart);
  writer.Settle(kTestStart);
  CHECK(writer.outcome(last) == AppendOutcome::kCommitted);
  adopter.Take(adopter.log().Adopt(kTestStart));
  adopter.Settle(kTestStart);
  CHECK(adopter.log().is_writable());
  CHECK(adopter.log().records().contains("job-1"));
}

// Symptom: a dead instance's jobs are run by two peers.
// Sequence: two peers read the journal and adopt it at once.
// Cause: the later owner record was taken for another takeover.
TEST_CASE("Of two adopters at once exactly one owns the journal") {
  LogFixture fixture;
  LogDriver writer = fixture.CreatedJournal("a");
  writer.Append("job-1", "x", kTestStart);
  writer.Settle(kTestStart);
  LogDriver first = fixture.Journal("b");
  LogDriver second = fixture.Journal("c");
  for (LogDriver* it : {&first, &second}) {
    it->Take(it->log().Open(kTestStart));
    it->Settle(kTestStart);
    it->Take(it->log().Adopt(kTestStart));
  }
  first.Settle(kTestStart);
  second.Settle(kTestStart);
  CHECK(first.log().is_writable());
  CHECK(second.log().is_fenced());
  CHECK(second.fenced_by() == "b");
}

// Symptom: a funder receives one submission twice.
// Sequence: a caller's retry reaches another entry instance; both claim its
// key at once.
// Cause: each wrote its claim without reading the other's.
TEST_CASE("Of two racing claims of a key exactly one is committed") {
  LogFixture fixture;
  LogDriver first = fixture.OpenClaims("a");
  LogDriver second = fixture.OpenClaims("b");
  const Ticket claim_of_first = first.Append("key-1", "by a", kTestStart);
  const Ticket claim_of_second = second.Append("key-1", "by b", kTestStart);
  const Ticket other = second.Append("key-2", "by b", kTestStart);
  first.Settle(kTestStart);
  second.Settle(kTestStart);
  CHECK(first.outcome(claim_of_first) == AppendOutcome::kCommitted);
  CHECK(second.outcome(claim_of_second) == AppendOutcome::kDropped);
  CHECK(second.outcome(other) == AppendOutcome::kCommitted);
  REQUIRE(second.absorbed().size() == 1);
  CHECK(second.absorbed().front().body == "by a");
  CHECK(fixture.Read(kClaimsName).replay.records() == second.log().records());
}

// Symptom: a funder receives one submission twice, hours apart.
// Sequence: a writer has no claim to append for so long that others go round
// the whole ring (in a log that deletes old slots: the slot that it holds for
// the next one was used and deleted); then it claims a claimed key.
// Cause: its write meets a slot that looks free to it.
TEST_CASE("A writer that slept through a lap of the ring reads it first") {
  LogFixture fixture;
  LogDriver sleeper = fixture.OpenClaims("a");
  LogDriver busy = fixture.OpenClaims("b");
  busy.Append("key-1", "by b", kTestStart);
  busy.Settle(kTestStart);
  for (std::uint32_t i = 0; i < 2 * kTestRingSlots; ++i) {
    busy.Append("filler-" + std::to_string(i), "", kTestStart);
    busy.Settle(kTestStart);
  }
  const Ticket again = sleeper.Append("key-1", "by a", kTestStart);
  const Ticket fresh = sleeper.Append("key-2", "by a", kTestStart);
  sleeper.Settle(kTestStart);
  CHECK(sleeper.outcome(again) == AppendOutcome::kDropped);
  CHECK(sleeper.outcome(fresh) == AppendOutcome::kCommitted);
  CHECK(sleeper.missed_batches());
  CHECK(sleeper.log().records().at("key-1").record.body == "by b");
  CHECK(fixture.Read(kClaimsName).replay.records() == sleeper.log().records());
}

// Symptom: a caller hears "accepted" and its job is never run.
// Sequence: a writer is paused for an hour; its journal is adopted, closed and
// purged; it wakes (or its put arrives) and creates the slot that it holds for
// the next one.
// Cause: a purged journal's slots look like unused ones.
TEST_CASE("A writer that wakes after its journal was purged is fenced") {
  LogFixture fixture;
  LogDriver paused = fixture.CreatedJournal("a");
  paused.Append("job-1", "x", kTestStart);
  paused.Settle(kTestStart);
  const Time woken = kTestStart + hours(1);
  std::optional<LedgerCall> delayed;
  Ticket after = 0;
  SUBCASE("and then appends") {}
  SUBCASE("and gets a very late answer") {
    after = paused.Append("job-2", "y", kTestStart);
    delayed = paused.TakeCall();
  }
  LogDriver adopter = fixture.AdoptedJournal("b", kTestStart);
  adopter.Append({.key = "job-1", .kind = kEraseKind, .body = ""}, kTestStart);
  adopter.Settle(kTestStart);
  adopter.Take(adopter.log().Close(kTestStart));
  adopter.Settle(kTestStart);
  const Time purged = kTestStart + adopter.log().PurgeDelay();
  adopter.Take(adopter.log().Purge(purged));
  adopter.Settle(purged);
  REQUIRE(fixture.store.key_count() == 0);

  if (delayed) {
    const PlatformResult late = fixture.store.Apply(delayed->operation, woken);
    REQUIRE(std::holds_alternative<KvDone>(late));
    paused.AnswerWith(*delayed, late, woken);
  } else {
    after = paused.Append("job-2", "y", woken);
  }
  Time now = woken;
  for (int i = 0; i < 5 && !paused.outcome(after); ++i) {
    if (paused.has_call()) {
      paused.Answer(now);
    }
    now = std::max(now, std::min(paused.log().next_time(), now + seconds(9)));
    paused.Take(paused.log().OnTime(now));
  }
  CHECK(paused.outcome(after) != AppendOutcome::kCommitted);
  CHECK_FALSE(paused.log().is_writable());
  // Without a put in the network the purged journal does not come back.
  CHECK(fixture.store.key_count() == (delayed ? 1 : 0));
}

// Symptom: a commit is reported for a record that is not in the log.
// Sequence: the answer to a call that was given up on, or a second answer,
// arrives while a later call is under way.
// Cause: an answer taken for that of the call under way.
TEST_CASE("An answer to an earlier call is ignored") {
  LogFixture fixture;
  LogDriver driver = fixture.CreatedJournal("a");
  const Ticket first = driver.Append("job-1", "x", kTestStart);
  const LedgerCall call = driver.TakeCall();
  const PlatformResult done = fixture.store.Apply(call.operation, kTestStart);
  driver.AnswerWith(call, done, kTestStart);
  CHECK(driver.outcome(first) == AppendOutcome::kCommitted);
  const Ticket second = driver.Append("job-2", "y", kTestStart);
  driver.AnswerWith(call, done, kTestStart);
  CHECK_FALSE(driver.outcome(second));
  driver.Settle(kTestStart);
  CHECK(driver.outcome(second) == AppendOutcome::kCommitted);
}

}  // namespace
}  // namespace burdockrock
