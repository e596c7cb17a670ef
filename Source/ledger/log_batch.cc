#include "ledger/log_batch.h"

#include <fmt/format.h>
#include <json/json.h>

#include <array>
#include <charconv>
#include <limits>
#include <memory>
#include <utility>

#include "net/json.h"
#include "net/json_read.h"

namespace burdockrock {
namespace {

constexpr std::string_view kLogPrefix = "log/";
constexpr std::size_t kSlotDigits = 10;
constexpr std::size_t kRecordFields = 3;
constexpr std::size_t kRecordPunctuation = 12;  // [ , "" "" "" ]
constexpr std::size_t kHeaderBytes = 160;       // names, numbers, punctuation

struct KindName {
  BatchKind kind;
  const char* name;
};

constexpr std::array<KindName, 3> kKindNames{{
    {BatchKind::kAppend, "append"},
    {BatchKind::kOwner, "owner"},
    {BatchKind::kClosed, "closed"},
}};

const char* NameOf(BatchKind kind) {
  for (const KindName& it : kKindNames) {
    if (it.kind == kind) {
      return it.name;
    }
  }
  return "append";
}

std::optional<BatchKind> KindOf(const std::string& name) {
  for (const KindName& it : kKindNames) {
    if (it.name == name) {
      return it.kind;
    }
  }
  return std::nullopt;
}

// An upper bound of what JSON needs for `text` between its quotes.
std::size_t EscapedBytes(std::string_view text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr std::size_t kUnicodeEscape = 6;  // \u0000
  std::size_t n = text.size();
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < kFirstPrintable) {
      n += kUnicodeEscape - 1;
    } else if (c == '"' || c == '\\') {
      n += 1;
    }
  }
  return n;
}

std::optional<LogRecord> ParseRecord(const Json::Value& value) {
  auto key = ReadText(ElementOf(value, 0));
  auto kind = ReadText(ElementOf(value, 1));
  auto body = ReadText(ElementOf(value, 2));
  if (value.size() != kRecordFields || !key || !kind || !body) {
    return std::nullopt;
  }
  return LogRecord{.key = *std::move(key),
                   .kind = *std::move(kind),
                   .body = *std::move(body)};
}

// Without its records.
std::optional<LogBatch> ParseHeader(const Json::Value& value) {
  const auto position = ReadWhole(MemberOf(value, "position"));
  const auto ring = ReadWhole(MemberOf(value, "ring"),
                              std::numeric_limits<std::uint32_t>::max());
  auto writer = ReadText(MemberOf(value, "writer"));
  const auto number = ReadWhole(MemberOf(value, "batch"));
  const auto kind =
      KindOf(ReadText(MemberOf(value, "kind")).value_or(std::string()));
  if (!position || !ring || !writer || !number || !kind) {
    return std::nullopt;
  }
  return LogBatch{.position = *position,
                  .ring_slots = static_cast<std::uint32_t>(*ring),
                  .writer = *std::move(writer),
                  .number = *number,
                  .kind = *kind,
                  .records = {}};
}

}  // namespace

std::string EncodeBatch(const LogBatch& batch) {
  Json::Value records(Json::arrayValue);
  for (const LogRecord& it : batch.records) {
    Json::Value fields(Json::arrayValue);
    fields.append(it.key);
    fields.append(it.kind);
    fields.append(it.body);
    records.append(std::move(fields));
  }
  Json::Value value(Json::objectValue);
  value["position"] = Json::UInt64(batch.position);
  value["ring"] = batch.ring_slots;
  value["writer"] = batch.writer;
  value["batch"] = Json::UInt64(batch.number);
  value["kind"] = NameOf(batch.kind);
  value["records"] = std::move(records);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

std::optional<LogBatch> ParseBatch(const std::string& text) {
  const auto parsed = ParseJson(text);
  const auto* value = std::get_if<Json::Value>(&parsed);
  auto batch = value == nullptr ? std::nullopt : ParseHeader(*value);
  if (!batch || !MemberOf(*value, "records").isArray()) {
    return std::nullopt;
  }
  for (const Json::Value& it : MemberOf(*value, "records")) {
    std::optional<LogRecord> record = ParseRecord(it);
    if (!record) {
      return std::nullopt;
    }
    batch->records.push_back(*std::move(record));
  }
  return batch;
}

std::size_t EncodedBytes(const LogRecord& record) {
  return EscapedBytes(record.key) + EscapedBytes(record.kind) +
         EscapedBytes(record.body) + kRecordPunctuation;
}

std::size_t EncodedHeaderBytes(std::string_view writer) {
  return kHeaderBytes + EscapedBytes(writer);
}

std::string LogPrefix(std::string_view name) {
  return fmt::format("{}{}/", kLogPrefix, name);
}

std::string SlotKey(std::string_view name, std::uint64_t slot) {
  return fmt::format("{}{:0{}}", LogPrefix(name), slot, kSlotDigits);
}

std::optional<SlotName> ParseSlotKey(std::string_view key) {
  const std::size_t slash = key.rfind('/');
  if (!key.starts_with(kLogPrefix) || slash == std::string_view::npos ||
      slash <= kLogPrefix.size()) {
    return std::nullopt;
  }
  const std::string_view digits = key.substr(slash + 1);
  if (digits.size() != kSlotDigits) {
    return std::nullopt;
  }
  std::uint64_t slot = 0;
  const char* const end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, slot);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return SlotName{.name = std::string(
                      key.substr(kLogPrefix.size(), slash - kLogPrefix.size())),
                  .slot = slot};
}

}  // namespace burdockrock
