#include "engine/teams/entitlement_rule.h"

#include <algorithm>
#include <chrono>

namespace burdockrock::engine {

namespace {

// Long enough that digests, at most a second apart, show what others count.
constexpr Duration kWindow = std::chrono::milliseconds(5000);
constexpr Duration kSlice = std::chrono::milliseconds(250);

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

ArrivalWindow::Slice& ArrivalWindow::SliceAt(Time now) {
  while (!slices_.empty() && now - slices_.front().began > kWindow) {
    slices_.pop_front();
  }
  if (slices_.empty() || now - slices_.back().began >= kSlice) {
    slices_.push_back({.began = now});
  }
  return slices_.back();
}

void ArrivalWindow::AddOwn(Time now, bool entitled) {
  ArrivalCounts& counts = SliceAt(now).counts;
  ++counts.all;
  ++counts.own;
  counts.entitled += entitled ? 1 : 0;
}

void ArrivalWindow::AddOthers(Time now, std::uint64_t jobs) {
  SliceAt(now).counts.all += jobs;
}

ArrivalCounts ArrivalWindow::Count(Time now) const {
  ArrivalCounts sum;
  for (const Slice& it : slices_) {
    if (now - it.began <= kWindow) {
      sum.all += it.counts.all;
      sum.own += it.counts.own;
      sum.entitled += it.counts.entitled;
    }
  }
  return sum;
}

bool IsEntitled(const ArrivalCounts& window, double weight, double draw) {
  const double entitled = weight * Seconds(kWindow);
  const auto all = static_cast<double>(window.all + 1);
  if (all <= entitled) {
    return true;
  }
  const double part = entitled * static_cast<double>(window.own + 1) / all;
  return static_cast<double>(window.entitled) + draw < part;
}

}  // namespace burdockrock::engine
