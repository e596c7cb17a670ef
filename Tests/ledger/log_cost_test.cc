// Counts what three ways to keep an instance's jobs cost the platform. The
// figures stand in docs/design/0003-durable-log.md.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <deque>
#include <string>

#include "ledger/slot_log.h"
#include "log_driver.h"
#include "log_fixture.h"

namespace burdockrock {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(5);
constexpr std::uint64_t kStepsPerSecond = 200;
constexpr std::uint64_t kMeasuredSeconds = 10;
constexpr std::size_t kBodyBytes = 400;
constexpr double kWritesPerSecond = 8;

// In one second, with one job accepted and one ended at each step.
struct Cost {
  std::uint64_t writes = 0;
  std::uint64_t bytes = 0;
  std::uint64_t largest_value = 0;
  std::uint64_t keys = 0;
  std::uint64_t stored_bytes = 0;  // what an adopter reads

  std::string ToText() const {
    return fmt::format(
        "{} writes/s, {} bytes/s, largest value {}, {} keys, {} stored", writes,
        bytes, largest_value, keys, stored_bytes);
  }
};

// The three ways on the same jobs, when `standing` jobs have not ended.
class CostRun {
 public:
  CostRun(std::size_t standing, std::uint32_t ring_slots)
      : standing_(standing), driver_(Options(ring_slots), budget_, store_) {
    driver_.Take(driver_.log().Create(now_));
    while (jobs_.size() < standing_) {
      Step();
    }
    // Two laps more, so that what is carried is what a long run carries.
    const std::uint64_t laps = std::uint64_t{2} * ring_slots;
    for (std::uint64_t i = 0; i < laps * kStepsPerSecond / 8; ++i) {
      Step();
    }
    puts_before_ = driver_.log().puts_sent();
    bytes_before_ = driver_.put_bytes();
    for (std::uint64_t i = 0; i < kMeasuredSeconds * kStepsPerSecond; ++i) {
      Step();
    }
  }

  Cost Slots() const {
    return {.writes = Puts() / kMeasuredSeconds,
            .bytes = (driver_.put_bytes() - bytes_before_) / kMeasuredSeconds,
            .largest_value = largest_value_,
            .keys = driver_.log().replay().used_slots(),
            .stored_bytes = driver_.log().replay().stored_bytes()};
  }

  // A put for each job accepted and a delete for each ended.
  Cost KeyPerItem() const {
    const std::uint64_t item = OneValue(1);
    return {.writes = 2 * kStepsPerSecond,
            .bytes = item * kStepsPerSecond,
            .largest_value = item,
            .keys = standing_,
            .stored_bytes = item * standing_};
  }

  // All standing jobs in one value, rewritten as often as slots are written.
  Cost OneRewrittenValue() const {
    const std::uint64_t value = OneValue(standing_);
    return {.writes = Puts() / kMeasuredSeconds,
            .bytes = value * Puts() / kMeasuredSeconds,
            .largest_value = value,
            .keys = 1,
            .stored_bytes = value};
  }

 private:
  SlotLogOptions Options(std::uint32_t ring_slots) {
    SlotLogOptions options = LogFixture().JournalOptions("a");
    options.ring_slots = ring_slots;
    options.commit_interval = milliseconds(50);
    return options;
  }

  std::uint64_t Puts() const {
    return driver_.log().puts_sent() - puts_before_;
  }

  static LogRecord Job(std::uint64_t number) {
    return {.key = fmt::format("job-{:012}", number),
            .kind = "job",
            .body = std::string(kBodyBytes, 'x')};
  }

  static std::uint64_t OneValue(std::size_t records) {
    return EncodedHeaderBytes("a") + records * EncodedBytes(Job(0));
  }

  void Step() {
    now_ += kStep;
    driver_.log().Append(Job(next_job_), {}, now_);
    jobs_.push_back(next_job_++);
    if (jobs_.size() > standing_) {
      driver_.log().Append(
          {.key = Job(jobs_.front()).key, .kind = kEraseKind, .body = ""}, {},
          now_);
      jobs_.pop_front();
    }
    const std::size_t before = driver_.put_bytes();
    driver_.Take(driver_.log().OnTime(now_));
    if (driver_.has_call()) {
      driver_.Answer(now_);
      largest_value_ =
          std::max<std::uint64_t>(largest_value_, driver_.put_bytes() - before);
    }
  }

  std::size_t standing_;
  standin::PlatformStore store_{standin::PlatformStoreOptions{}};
  WriteBudget budget_{{.writes_per_second = kWritesPerSecond, .burst = 4}};
  LogDriver driver_;
  Time now_ = kTestStart;
  std::uint64_t next_job_ = 0;
  std::deque<std::uint64_t> jobs_;
  std::uint64_t puts_before_ = 0;
  std::size_t bytes_before_ = 0;
  std::uint64_t largest_value_ = 0;
};

TEST_CASE("Slots cost fewer writes than keys and fewer bytes than one value") {
  for (const std::size_t standing : {100U, 1'000U, 10'000U}) {
    for (const std::uint32_t ring_slots : {16U, 64U, 256U}) {
      const CostRun run(standing, ring_slots);
      const Cost slots = run.Slots();
      const Cost items = run.KeyPerItem();
      const Cost value = run.OneRewrittenValue();
      MESSAGE(standing << " jobs, " << ring_slots
                       << " slots: " << slots.ToText());
      if (ring_slots == 64) {
        MESSAGE(standing << " jobs, a key for each: " << items.ToText());
        MESSAGE(standing << " jobs, one value: " << value.ToText());
      }
      CHECK(slots.writes <= kWritesPerSecond);
      CHECK(slots.writes * 40 < items.writes);
      CHECK(slots.largest_value < kMaxPlatformValueBytes);
      if (standing >= 1'000 && ring_slots >= 64) {
        CHECK(slots.bytes * 10 < value.bytes);
      }
    }
  }
}

}  // namespace
}  // namespace burdockrock
