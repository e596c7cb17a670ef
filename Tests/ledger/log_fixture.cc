#include "log_fixture.h"

#include <doctest/doctest.h>

namespace burdockrock {

SlotLogOptions LogFixture::JournalOptions(const std::string& writer) const {
  return {.name = kJournalName,
          .writer = writer,
          .exclusive = true,
          .ring_slots = kTestRingSlots};
}

SlotLogOptions LogFixture::ClaimsOptions(const std::string& writer) const {
  return {.name = kClaimsName,
          .writer = writer,
          .ring_slots = kTestRingSlots,
          .still_wanted = [](const LogRecord&, const LogRecord* current) {
            return current == nullptr;
          }};
}

LogDriver LogFixture::Journal(const std::string& writer) {
  return LogDriver(JournalOptions(writer), budget, store);
}

LogDriver LogFixture::Claims(const std::string& writer) {
  return LogDriver(ClaimsOptions(writer), budget, store);
}

LogDriver LogFixture::CreatedJournal(const std::string& writer) {
  LogDriver driver = Journal(writer);
  driver.Take(driver.log().Create(kTestStart));
  return driver;
}

LogDriver LogFixture::OpenClaims(const std::string& writer) {
  LogDriver driver = Claims(writer);
  driver.Take(driver.log().Open(kTestStart));
  driver.Settle(kTestStart);
  return driver;
}

LogDriver LogFixture::AdoptedJournal(const std::string& writer, Time now) {
  LogDriver driver = Journal(writer);
  driver.Take(driver.log().Open(now));
  driver.Take(driver.log().Adopt(now));
  driver.Settle(now);
  REQUIRE(driver.log().is_writable());
  return driver;
}

LoadedLog LogFixture::Read(const std::string& name) {
  const PlatformResult result =
      store.Apply(KvRange{.prefix = LogPrefix(name)}, Time(0));
  auto loaded = LoadLog(name, kTestRingSlots, std::get<KvItems>(result).items);
  REQUIRE(std::holds_alternative<LoadedLog>(loaded));
  return std::get<LoadedLog>(loaded);
}

}  // namespace burdockrock
