#include "ledger/log_batch.h"

#include <fmt/format.h>
#include <json/json.h>

#include <array>
#include <charconv>
#include <memory>

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
  if (!value.isArray() || value.size() != kRecordFields) {
    return std::nullopt;
  }
  for (const Json::Value& field : value) {
    if (!field.isString()) {
      return std::nullopt;
    }
  }
  return LogRecord{.key = value[0].asString(),
                   .kind = value[1].asString(),
                   .body = value[2].asString()};
}

bool HasHeader(const Json::Value& value) {
  return value.isObject() && value["position"].isUInt64() &&
         value["ring"].isUInt() && value["writer"].isString() &&
         value["batch"].isUInt64() && value["kind"].isString() &&
         value["records"].isArray();
}

Json::Value ParseJson(const std::string& text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
    return Json::Value();
  }
  return value;
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
  const Json::Value value = ParseJson(text);
  if (!HasHeader(value)) {
    return std::nullopt;
  }
  const std::optional<BatchKind> kind = KindOf(value["kind"].asString());
  if (!kind) {
    return std::nullopt;
  }
  LogBatch batch{.position = value["position"].asUInt64(),
                 .ring_slots = value["ring"].asUInt(),
                 .writer = value["writer"].asString(),
                 .number = value["batch"].asUInt64(),
                 .kind = *kind,
                 .records = {}};
  for (const Json::Value& it : value["records"]) {
    std::optional<LogRecord> record = ParseRecord(it);
    if (!record) {
      return std::nullopt;
    }
    batch.records.push_back(*std::move(record));
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
