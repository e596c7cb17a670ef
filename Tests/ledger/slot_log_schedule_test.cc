// Random schedules of writers, answers and crashes, with fixed seeds.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ledger/slot_log.h"
#include "log_driver.h"
#include "log_fixture.h"

namespace burdockrock {
namespace {

constexpr int kSeeds = 40;
constexpr int kSteps = 400;
constexpr std::size_t kWriters = 3;

enum class Use { kJournal, kClaims };

// Several writers on one log, and what they were told.
class Schedule {
 public:
  Schedule(Use use, std::uint64_t seed) : use_(use), random_(seed) {
    for (std::size_t i = 0; i < kWriters; ++i) {
      writers_.push_back(Start());
    }
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      now_ += Duration(Below(20'000));
      Step(*PickWriter());
      CheckAll();
    }
    Heal();
  }

  std::size_t committed_count() const { return committed_count_; }
  std::size_t refused_count() const { return refused_.size(); }
  std::size_t unknown_count() const { return unknown_; }

 private:
  struct Writer {
    explicit Writer(LogDriver started) : driver(std::move(started)) {}
    LogDriver driver;
    std::map<Ticket, LogRecord> appended;
    std::vector<Ticket> open;
  };

  std::uint64_t Below(std::uint64_t limit) { return random_() % limit; }
  bool Chance(std::uint64_t percent) { return Below(100) < percent; }

  const char* name() const {
    return use_ == Use::kJournal ? kJournalName : kClaimsName;
  }

  std::unique_ptr<Writer> Start() {
    const std::string id = "writer-" + std::to_string(++incarnations_);
    SlotLogOptions options = use_ == Use::kJournal ? fixture_.JournalOptions(id)
                                                   : fixture_.ClaimsOptions(id);
    options.retry.seed = random_();
    auto writer = std::make_unique<Writer>(
        LogDriver(std::move(options), fixture_.budget, fixture_.store));
    writer->driver.Take(writer->driver.log().Open(now_));
    if (use_ == Use::kJournal) {
      writer->driver.Take(writer->driver.log().Adopt(now_));
    }
    return writer;
  }

  std::unique_ptr<Writer>* Pick(std::unique_ptr<Writer>& writer) {
    const bool ended = writer->driver.log().is_fenced() ||
                       Chance(use_ == Use::kJournal ? 2 : 1);
    if (ended) {  // a crash leaves its call in the network
      if (writer->driver.has_call()) {
        network_.push_back(writer->driver.TakeCall().operation);
      }
      writer = Start();
    }
    return &writer;
  }

  Writer* PickWriter() { return Pick(writers_[Below(kWriters)])->get(); }

  void Step(Writer& writer) {
    if (!network_.empty() && Chance(15)) {
      Arrive();
    }
    if (Chance(40)) {
      AppendNew(writer);
    }
    if (use_ == Use::kJournal && !committed_.empty() && Chance(15)) {
      AppendErase(writer);
    }
    if (Chance(10) && !writer.open.empty()) {
      const Ticket ticket = writer.open[Below(writer.open.size())];
      writer.driver.Take(writer.driver.log().GiveUp(ticket, now_));
    }
    if (writer.driver.has_call()) {
      AnswerSomehow(writer.driver);
    } else {
      writer.driver.Take(writer.driver.log().OnTime(now_));
    }
  }

  // A delayed call takes effect; it may do so again later.
  void Arrive() {
    const std::size_t i = Below(network_.size());
    const PlatformOperation operation = network_[i];
    if (Chance(70)) {
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    fixture_.store.Apply(operation, now_);
  }

  void AppendNew(Writer& writer) {
    ++appended_;
    // Claims collide; a journal's keys are used once.
    const std::uint64_t number =
        use_ == Use::kClaims ? appended_ / 2 : appended_;
    Append(writer, {.key = "key-" + std::to_string(number),
                    .kind = "set",
                    .body = "body-" + std::to_string(appended_)});
  }

  // From here on the erased record may stand or not, until it is known.
  void AppendErase(Writer& writer) {
    ++appended_;
    const std::size_t i = Below(committed_.size());
    Append(writer, {.key = committed_[i].key,
                    .kind = kEraseKind,
                    .body = "body-" + std::to_string(appended_)});
    committed_.erase(committed_.begin() + static_cast<std::ptrdiff_t>(i));
  }

  void Append(Writer& writer, const LogRecord& record) {
    const Ticket ticket = writer.driver.log().Append(
        record, {.urgent = Chance(30), .refuse_when_unreachable = Chance(30)},
        now_);
    writer.appended[ticket] = record;
    writer.open.push_back(ticket);
  }

  void AnswerSomehow(LogDriver& driver) {
    const std::uint64_t draw = Below(100);
    if (draw < 50) {
      driver.Answer(now_);
    } else if (draw < 60) {
      driver.AnswerTwice(now_);
    } else if (draw < 72) {
      driver.LoseAnswer(now_);
    } else if (draw < 82) {
      network_.push_back(driver.Delay(now_));
    } else if (draw < 88) {
      driver.Refuse(now_);
    }
  }

  void CheckAll() {
    Remember();
    for (const auto& it : writers_) {
      CheckNews(*it);
      // The state that was built step by step is that of a fresh reader.
      if (it->driver.log().is_open() &&
          it->driver.log().replay().next_position() ==
              current_.next_position()) {
        REQUIRE(it->driver.log().records() == current_.records());
      }
    }
  }

  // Every body that was ever in the log, though overwritten since.
  void Remember() {
    if (fixture_.store.revision() == remembered_) {
      return;
    }
    remembered_ = fixture_.store.revision();
    const LoadedLog loaded = fixture_.Read(name());
    for (const LogBatch& batch : loaded.batches) {
      for (const LogRecord& it : batch.records) {
        ever_written_.insert(it.body);
      }
    }
    current_ = loaded.replay;
  }

  void CheckNews(Writer& writer) {
    for (const TicketOutcome& it : writer.driver.TakeNews()) {
      const LogRecord& record = writer.appended.at(it.ticket);
      std::erase(writer.open, it.ticket);
      if (it.outcome == AppendOutcome::kCommitted) {
        CheckCommitted(record);
        auto& list = record.kind == kEraseKind ? erased_ : committed_;
        list.push_back(record);
        ++committed_count_;
      } else if (it.outcome == AppendOutcome::kUnknown) {
        ++unknown_;
      } else {
        refused_.push_back(record);
      }
    }
  }

  void CheckCommitted(const LogRecord& record) const {
    const auto standing = current_.records().find(record.key);
    const bool stands = standing != current_.records().end();
    REQUIRE(stands == (record.kind != kEraseKind));
    REQUIRE((!stands || standing->second.record == record));
  }

  // All that is in the network arrives, twice, and all writers come to rest.
  void Heal() {
    for (int round = 0; round < 2; ++round) {
      std::shuffle(network_.begin(), network_.end(), random_);
      for (const PlatformOperation& it : network_) {
        fixture_.store.Apply(it, now_);
        Remember();
      }
    }
    for (const auto& it : writers_) {
      now_ = it->driver.Settle(now_);
      CheckAll();
      if (it->driver.log().is_writable()) {
        REQUIRE(it->driver.log().pending_count() == 0);
      }
    }
    for (const LogRecord& it : committed_) {
      CheckCommitted(it);
    }
    for (const LogRecord& it : erased_) {
      CheckCommitted(it);
    }
    for (const LogRecord& it : refused_) {
      REQUIRE_FALSE(ever_written_.contains(it.body));
    }
  }

  Use use_;
  std::mt19937_64 random_;
  LogFixture fixture_;
  Time now_ = kTestStart;
  std::vector<std::unique_ptr<Writer>> writers_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t appended_ = 0;
  std::vector<PlatformOperation> network_;
  LogReplay current_{kTestRingSlots};
  Revision remembered_ = 0;
  std::set<std::string> ever_written_;
  std::vector<LogRecord> committed_;
  std::vector<LogRecord> erased_;
  std::vector<LogRecord> refused_;
  std::size_t committed_count_ = 0;
  std::size_t unknown_ = 0;
};

void RunAll(Use use) {
  std::size_t committed = 0;
  std::size_t refused = 0;
  std::size_t unknown = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Schedule schedule(use, static_cast<std::uint64_t>(seed));
    schedule.Run();
    committed += schedule.committed_count();
    refused += schedule.refused_count();
    unknown += schedule.unknown_count();
  }
  MESSAGE(committed << " committed, " << refused << " refused, " << unknown
                    << " unknown");
  // The schedules reach each outcome often enough to tell something.
  CHECK(committed > 20 * kSeeds);
  CHECK(refused > 10 * kSeeds);
  CHECK(unknown > kSeeds);
}

// Symptom: an accepted job is lost, or a refused one is run.
// Sequence: any; the seed tells it.
// Cause: an outcome reported that the log does not bear out.
TEST_CASE("In any schedule a journal holds what was reported committed") {
  RunAll(Use::kJournal);
}

// Symptom: a claimed key is claimed again, or a claim is lost.
// Sequence: any; the seed tells it.
// Cause: a claim reported committed without all earlier ones absorbed.
TEST_CASE("In any schedule a claim that was committed stays the only one") {
  RunAll(Use::kClaims);
}

}  // namespace
}  // namespace burdockrock
