#include "standin/call_counter.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::standin {

namespace {

void AddOne(CallCounts& counts) {
  ++counts.total;
  ++counts.this_second;
  counts.peak_second = std::max(counts.peak_second, counts.this_second);
}

void NextSecond(CallCounts& counts, bool adjacent) {
  counts.last_second = adjacent ? counts.this_second : 0;
  counts.this_second = 0;
}

}  // namespace

const char* CallKindName(CallKind kind) {
  static constexpr std::array<const char*, kCallKindCount> kNames = {
      "get", "put", "delete", "range", "watch", "instances", "lease"};
  return kNames.at(static_cast<std::size_t>(kind));
}

bool IsWrite(CallKind kind) {
  return kind == CallKind::kPut || kind == CallKind::kDelete ||
         kind == CallKind::kLease;
}

void CallCounter::Add(CallKind kind, Time now) {
  StartSecond(std::chrono::floor<std::chrono::seconds>(now).count());
  AddOne(kinds_.at(static_cast<std::size_t>(kind)));
  AddOne(groups_.at(IsWrite(kind) ? 1 : 0));
}

const CallCounts& CallCounter::Of(CallKind kind) const {
  return kinds_.at(static_cast<std::size_t>(kind));
}

const CallCounts& CallCounter::OfGroup(bool writes) const {
  return groups_.at(writes ? 1 : 0);
}

void CallCounter::StartSecond(std::int64_t second) {
  if (second == second_) {
    return;
  }
  const bool adjacent = second == second_ + 1;
  for (CallCounts& it : kinds_) {
    NextSecond(it, adjacent);
  }
  for (CallCounts& it : groups_) {
    NextSecond(it, adjacent);
  }
  second_ = second;
}

}  // namespace burdockrock::standin
