#include "ledger/log_replay.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

namespace burdockrock {
namespace {

// Nothing for a key below the prefix that is not one of this log's slots.
std::optional<std::uint64_t> SlotOfKey(std::string_view name,
                                       const std::string& key) {
  const std::optional<SlotName> parsed = ParseSlotKey(key);
  if (!parsed || parsed->name != name) {
    return std::nullopt;
  }
  return parsed->slot;
}

struct StoredBatch {
  LogBatch batch;
  Revision revision = 0;
};

std::string ProblemOf(const KvItem& item,
                      std::uint64_t slot,
                      const std::optional<LogBatch>& batch,
                      std::uint32_t ring_slots) {
  if (!batch) {
    return fmt::format("{} holds no batch; restore or delete the whole log",
                       item.key);
  }
  if (batch->ring_slots != ring_slots) {
    return fmt::format("{} was written for {} slots and is read for {}",
                       item.key, batch->ring_slots, ring_slots);
  }
  if (batch->position % ring_slots != slot) {
    return fmt::format("{} holds position {}; restore or delete the whole log",
                       item.key, batch->position);
  }
  return "";
}

std::size_t DigestOf(const std::vector<LogRecord>& records) {
  std::string joined;
  for (const LogRecord& it : records) {
    joined += fmt::format("{}:{}{}:{}{}:{}", it.key.size(), it.key,
                          it.kind.size(), it.kind, it.body.size(), it.body);
  }
  return std::hash<std::string>()(joined);
}

bool IsContiguous(const std::vector<StoredBatch>& stored,
                  std::uint32_t ring_slots) {
  if (stored.empty()) {
    return true;
  }
  const LogPosition first = stored.front().batch.position;
  const LogPosition last = stored.back().batch.position;
  const bool whole = last - first + 1 == stored.size();
  return whole && (first == 0 || stored.size() == ring_slots);
}

LoadedLog Replay(const std::vector<StoredBatch>& stored,
                 std::size_t from,
                 std::uint32_t ring_slots) {
  LoadedLog loaded{.replay = LogReplay(ring_slots), .batches = {}};
  for (std::size_t i = from; i < stored.size(); ++i) {
    const StoredBatch& it = stored[i];
    if (i == from) {
      loaded.replay.StartAt(it.batch.position);
    }
    loaded.replay.Apply(it.batch, it.revision);
    loaded.batches.push_back(it.batch);
  }
  return loaded;
}

}  // namespace

LogReplay::LogReplay(std::uint32_t ring_slots) : slots_(ring_slots) {}

void LogReplay::Apply(const LogBatch& batch, Revision revision) {
  const LogPosition position = next_position_;
  Slot& slot = slots_[SlotOf(position)];
  DropOverwritten(slot);
  slot = Slot{.used = true,
              .position = position,
              .revision = revision,
              .writer = batch.writer,
              .number = batch.number,
              .digest = DigestOf(batch.records),
              .bytes = EncodedHeaderBytes(batch.writer),
              .keys = {}};
  for (const LogRecord& it : batch.records) {
    slot.bytes += EncodedBytes(it);
    if (it.kind == kEraseKind) {
      Erase(it.key);
    } else {
      Set(it, position);
      slot.keys.insert(it.key);
    }
  }
  ++next_position_;
  last_writer_ = batch.writer;
  closed_ = closed_ || batch.kind == BatchKind::kClosed;
}

void LogReplay::StartAt(LogPosition position) {
  next_position_ = position;
}

std::uint64_t LogReplay::SlotOf(LogPosition position) const {
  return position % slots_.size();
}

Revision LogReplay::ExpectedRevision() const {
  return slots_[SlotOf(next_position_)].revision;
}

std::vector<LogRecord> LogReplay::OverwrittenRecords() const {
  const Slot& slot = slots_[SlotOf(next_position_)];
  std::vector<LogRecord> standing;
  for (const std::string& key : slot.keys) {
    const auto it = records_.find(key);
    if (it != records_.end() && it->second.position == slot.position) {
      standing.push_back(it->second.record);
    }
  }
  return standing;
}

bool LogReplay::Holds(const LogBatch& batch) const {
  const Slot& slot = slots_[SlotOf(batch.position)];
  return slot.used && slot.position == batch.position &&
         slot.writer == batch.writer && slot.number == batch.number &&
         slot.digest == DigestOf(batch.records);
}

bool LogReplay::IsOverwritten(LogPosition position) const {
  const Slot& slot = slots_[SlotOf(position)];
  return position < next_position_ && (!slot.used || slot.position != position);
}

std::size_t LogReplay::used_slots() const {
  return static_cast<std::size_t>(std::count_if(
      slots_.begin(), slots_.end(), [](const Slot& it) { return it.used; }));
}

std::size_t LogReplay::stored_bytes() const {
  std::size_t sum = 0;
  for (const Slot& it : slots_) {
    sum += it.bytes;
  }
  return sum;
}

void LogReplay::DropOverwritten(const Slot& slot) {
  for (const std::string& key : slot.keys) {
    const auto it = records_.find(key);
    if (it != records_.end() && it->second.position == slot.position) {
      Erase(key);
    }
  }
}

void LogReplay::Set(const LogRecord& record, LogPosition position) {
  Erase(record.key);
  live_bytes_ += EncodedBytes(record);
  records_.emplace(record.key,
                   LiveRecord{.record = record, .position = position});
}

void LogReplay::Erase(const std::string& key) {
  const auto it = records_.find(key);
  if (it == records_.end()) {
    return;
  }
  live_bytes_ -= EncodedBytes(it->second.record);
  records_.erase(it);
}

std::variant<LoadedLog, LogDamage> LoadLog(std::string_view name,
                                           std::uint32_t ring_slots,
                                           const std::vector<KvItem>& items) {
  std::vector<StoredBatch> stored;
  for (const KvItem& it : items) {
    const std::optional<std::uint64_t> slot = SlotOfKey(name, it.key);
    if (!slot) {
      continue;
    }
    std::optional<LogBatch> batch = ParseBatch(it.value);
    std::string problem = ProblemOf(it, *slot, batch, ring_slots);
    if (!problem.empty()) {
      return LogDamage{.problem = std::move(problem)};
    }
    stored.push_back({.batch = *std::move(batch), .revision = it.revision});
  }
  std::sort(stored.begin(), stored.end(),
            [](const StoredBatch& left, const StoredBatch& right) {
              return left.batch.position < right.batch.position;
            });
  if (IsContiguous(stored, ring_slots)) {
    return Replay(stored, 0, ring_slots);
  }
  // A closed log loses its slots in any order when it is purged.
  if (stored.back().batch.kind == BatchKind::kClosed) {
    return Replay(stored, stored.size() - 1, ring_slots);
  }
  return LogDamage{
      .problem = fmt::format("{} lacks slots between positions {} and {}; "
                             "restore or delete the whole log",
                             LogPrefix(name), stored.front().batch.position,
                             stored.back().batch.position)};
}

}  // namespace burdockrock
