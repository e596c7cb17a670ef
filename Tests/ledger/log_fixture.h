// A platform, a budget, and the two uses of a log that the tests drive.
#ifndef BURDOCKROCK_LEDGER_LOG_FIXTURE_H_
#define BURDOCKROCK_LEDGER_LOG_FIXTURE_H_

#include <cstdint>
#include <string>

#include "ledger/slot_log.h"
#include "log_driver.h"
#include "standin/platform_store.h"

namespace burdockrock {

inline constexpr char kJournalName[] = "jobs/neihu-a/entry-1-e17";
inline constexpr char kClaimsName[] = "claims/3";
inline constexpr Time kTestStart = std::chrono::seconds(100);
inline constexpr std::uint32_t kTestRingSlots = 8;

struct LogFixture {
  standin::PlatformStore store{standin::PlatformStoreOptions{}};
  WriteBudget budget{{.writes_per_second = 1000, .burst = 1000}};

  // A log with one writer at a time.
  SlotLogOptions JournalOptions(const std::string& writer) const;
  // A log in which a pending claim is dropped when another's claim stands.
  SlotLogOptions ClaimsOptions(const std::string& writer) const;

  LogDriver Journal(const std::string& writer);
  LogDriver Claims(const std::string& writer);
  // As Journal; created and empty.
  LogDriver CreatedJournal(const std::string& writer);
  // As Claims; read and at rest.
  LogDriver OpenClaims(const std::string& writer);
  // As Journal; adopted and at rest.
  LogDriver AdoptedJournal(const std::string& writer, Time now);

  // What a reader that starts now finds.
  LoadedLog Read(const std::string& name);
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_LOG_FIXTURE_H_
