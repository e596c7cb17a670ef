#include "engine/members/room_codec.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <string>

#include "wire/dom_reader.h"
#include "wire/text_writer.h"
#include "wire/value_reader.h"

namespace burdockrock::engine {

namespace {

constexpr std::uint64_t kAccepting = 1;
constexpr std::uint64_t kLost = 2;

// Columns of a row after the worker's name.
enum Column {
  kVersion,
  kState,
  kProcessors,
  kMemory,
  kSlowness,
  kAccelerators,
  kYieldingProcessors,
  kYieldingMemory,
  kYieldingAccelerators,
  kColumns
};
using Columns = std::array<std::uint64_t, kColumns>;

Columns ColumnsOf(const WorkerRoom& room) {
  const auto amount = [](std::int64_t it) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(it, 0));
  };
  Columns columns{};
  columns[kVersion] = room.version;
  columns[kState] = room.lost ? kLost : room.accepting ? kAccepting : 0;
  columns[kProcessors] = amount(room.free.processors_milli);
  columns[kMemory] = amount(room.free.memory_mb);
  columns[kSlowness] = room.slowness;
  columns[kAccelerators] = amount(room.free.accelerators);
  columns[kYieldingProcessors] = amount(room.yielding.processors_milli);
  columns[kYieldingMemory] = amount(room.yielding.memory_mb);
  columns[kYieldingAccelerators] = amount(room.yielding.accelerators);
  return columns;
}

// Of those that are written: zeros at the end of a row are omitted.
std::span<const std::uint64_t> WrittenOf(const Columns& columns) {
  const auto last = std::find_if(columns.rbegin(), columns.rend(),
                                 [](std::uint64_t it) { return it != 0; });
  return {columns.begin(), last.base()};
}

Json::Value WriteRow(const WorkerRoom& room) {
  const Columns columns = ColumnsOf(room);
  Json::Value row(Json::arrayValue);
  row.append(room.worker);
  for (const std::uint64_t it : WrittenOf(columns)) {
    row.append(Json::UInt64(it));
  }
  return row;
}

void WriteRow(const WorkerRoom& room, std::string& out) {
  const Columns columns = ColumnsOf(room);
  out += '[';
  WriteQuoted(room.worker, out);
  for (const std::uint64_t it : WrittenOf(columns)) {
    out += ',';
    burdockrock::WriteText(it, out);
  }
  out += ']';
}

// Largest valid value of a column.
std::uint64_t MaxOf(std::size_t column) {
  switch (column) {
    case kVersion:
      return UINT64_MAX;
    case kState:
      return kLost;
    case kSlowness:
      return UINT32_MAX;
    default:
      return kMaxAmount;
  }
}

void SetColumns(const Columns& columns, WorkerRoom& room) {
  const auto amount = [&](Column it) {
    return static_cast<std::int64_t>(columns[it]);
  };
  room.version = columns[kVersion];
  room.accepting = columns[kState] == kAccepting;
  room.lost = columns[kState] == kLost;
  room.free = {.processors_milli = amount(kProcessors),
               .memory_mb = amount(kMemory),
               .accelerators = amount(kAccelerators)};
  room.yielding = {.processors_milli = amount(kYieldingProcessors),
                   .memory_mb = amount(kYieldingMemory),
                   .accelerators = amount(kYieldingAccelerators)};
  room.slowness = static_cast<std::uint32_t>(columns[kSlowness]);
}

void ReadRow(const JsonPlace& place, WorkerRoom& room) {
  const Json::Value& row = place.value();
  if (row.empty() || row.size() > kColumns + 1) {
    place.Fail(place.Shown() + " is not a row", "1 to 10 columns");
    return;
  }
  ReadName(JsonPlace(row[0], place, Json::ArrayIndex{0}), room.worker);
  Columns columns{};
  for (Json::ArrayIndex it = 1; it < row.size(); ++it) {
    const JsonPlace cell(row[it], place, it);
    const std::uint64_t max = MaxOf(it - 1);
    ReadValue(cell, columns.at(it - 1));
    if (columns.at(it - 1) > max) {
      cell.Fail(cell.Shown() + " is too large", "0 to " + std::to_string(max));
    }
  }
  SetColumns(columns, room);
}

bool ReadDomRow(const simdjson::dom::array& row, WorkerRoom& room) {
  Columns columns{};
  std::size_t index = 0;
  for (const JsonElement it : row) {
    const bool read =
        index == 0 ? ReadDomName(it, room.worker)
                   : index <= kColumns && ReadDomAmount(it, MaxOf(index - 1),
                                                        columns.at(index - 1));
    if (!read) {
      return false;
    }
    ++index;
  }
  SetColumns(columns, room);
  return index > 0;
}

}  // namespace

Json::Value WriteValue(const std::vector<WorkerRoom>& rooms) {
  Json::Value array(Json::arrayValue);
  std::uint64_t fence = 0;
  for (const WorkerRoom& it : rooms) {
    if (it.fence != fence) {
      fence = it.fence;
      array.append(Json::UInt64(fence));
    }
    array.append(WriteRow(it));
  }
  return array;
}

void WriteText(const std::vector<WorkerRoom>& rooms, std::string& out) {
  out += '[';
  std::uint64_t fence = 0;
  for (const WorkerRoom& it : rooms) {
    out += &it == &rooms.front() ? "" : ",";
    if (it.fence != fence) {
      fence = it.fence;
      burdockrock::WriteText(fence, out);
      out += ',';
    }
    WriteRow(it, out);
  }
  out += ']';
}

void ReadValue(const JsonPlace& place, std::vector<WorkerRoom>& out) {
  if (!place.value().isArray()) {
    place.Fail(place.Shown() + " is not an array", "an array");
    return;
  }
  out.clear();
  std::uint64_t fence = 0;
  Json::ArrayIndex index = 0;
  for (const Json::Value& it : place.value()) {
    const JsonPlace item(it, place, index++);
    if (it.isArray()) {
      out.push_back({.fence = fence});
      ReadRow(item, out.back());
    } else {
      ReadValue(item, fence);
    }
  }
}

bool ReadDom(const JsonElement& value, std::vector<WorkerRoom>& out) {
  simdjson::dom::array rooms;
  if (value.get(rooms) != simdjson::SUCCESS) {
    return false;
  }
  out.clear();
  std::uint64_t fence = 0;
  for (const JsonElement it : rooms) {
    simdjson::dom::array row;
    const bool read =
        it.get(row) == simdjson::SUCCESS
            ? ReadDomRow(row, out.emplace_back(WorkerRoom{.fence = fence}))
            : burdockrock::ReadDom(it, fence);
    if (!read) {
      return false;
    }
  }
  return true;
}

}  // namespace burdockrock::engine
