// What one slot of a log holds, and how it is written in the platform's
// key-value service.
#ifndef BURDOCKROCK_LEDGER_LOG_BATCH_H_
#define BURDOCKROCK_LEDGER_LOG_BATCH_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockrock {

// One fact in a log. The last record of a key stands; one of kind kEraseKind
// removes the key.
struct LogRecord {
  std::string key;
  std::string kind;
  std::string body;  // opaque to the log

  auto operator<=>(const LogRecord&) const = default;
};

inline constexpr char kEraseKind[] = "erase";

// Counts the batches of a log from 0, without gaps.
using LogPosition = std::uint64_t;

enum class BatchKind {
  kAppend,
  kOwner,   // its writer takes the log over from an earlier owner
  kClosed,  // the last batch; the log is finished
};

// The batch at one position. `writer` and `number` tell a writer that lost the
// answer to its write whether the batch that it reads back is its own.
struct LogBatch {
  LogPosition position = 0;
  std::uint32_t ring_slots = 0;
  std::string writer;
  std::uint64_t number = 0;
  BatchKind kind = BatchKind::kAppend;
  std::vector<LogRecord> records;

  auto operator<=>(const LogBatch&) const = default;
};

// Compact JSON:
// {"position":P,"ring":N,"writer":W,"batch":B,"kind":"append",
//  "records":[[KEY,KIND,BODY],..]}
std::string EncodeBatch(const LogBatch& batch);

// Nothing when `text` is not of the form that EncodeBatch writes.
std::optional<LogBatch> ParseBatch(const std::string& text);

// Upper bounds of the bytes that a record, and a batch without its records,
// take in what EncodeBatch writes.
std::size_t EncodedBytes(const LogRecord& record);
std::size_t EncodedHeaderBytes(std::string_view writer);

// "log/NAME/", the prefix of the keys of a log.
std::string LogPrefix(std::string_view name);

// "log/NAME/0000000007"
std::string SlotKey(std::string_view name, std::uint64_t slot);

// A key of a log, taken apart.
struct SlotName {
  std::string name;
  std::uint64_t slot = 0;
  auto operator<=>(const SlotName&) const = default;
};

// Nothing when `key` is not of the form that SlotKey writes.
std::optional<SlotName> ParseSlotKey(std::string_view key);

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_LOG_BATCH_H_
