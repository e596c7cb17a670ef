#include "ledger/append_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockrock {

void AppendQueue::Push(PendingRecord pending) {
  Count(pending);
  records_.push_back(std::move(pending));
}

void AppendQueue::PutBack(std::vector<PendingRecord> taken) {
  for (auto it = taken.rbegin(); it != taken.rend(); ++it) {
    Count(*it);
    records_.push_front(std::move(*it));
  }
}

std::vector<PendingRecord> AppendQueue::Take(std::size_t max_bytes) {
  std::vector<PendingRecord> taken;
  std::size_t sum = 0;
  while (!records_.empty()) {
    sum += records_.front().bytes;
    if (sum > max_bytes) {
      break;
    }
    Discount(records_.front());
    taken.push_back(std::move(records_.front()));
    records_.pop_front();
  }
  return taken;
}

std::optional<PendingRecord> AppendQueue::Remove(Ticket ticket) {
  const auto it = std::find_if(
      records_.begin(), records_.end(),
      [ticket](const PendingRecord& each) { return each.ticket == ticket; });
  if (it == records_.end()) {
    return std::nullopt;
  }
  PendingRecord removed = std::move(*it);
  records_.erase(it);
  Discount(removed);
  return removed;
}

std::vector<PendingRecord> AppendQueue::RemoveIf(
    const std::function<bool(const PendingRecord&)>& selected) {
  std::vector<bool> leaves;
  for (const PendingRecord& it : records_) {
    leaves.push_back(selected(it));
  }
  std::vector<PendingRecord> removed;
  std::deque<PendingRecord> kept;
  for (std::size_t i = 0; i < leaves.size(); ++i) {
    if (leaves[i]) {
      Discount(records_[i]);
      removed.push_back(std::move(records_[i]));
    } else {
      kept.push_back(std::move(records_[i]));
    }
  }
  records_ = std::move(kept);
  return removed;
}

void AppendQueue::Count(const PendingRecord& pending) {
  bytes_ += pending.bytes;
  urgent_count_ += pending.options.urgent ? 1 : 0;
}

void AppendQueue::Discount(const PendingRecord& pending) {
  bytes_ -= pending.bytes;
  urgent_count_ -= pending.options.urgent ? 1 : 0;
}

}  // namespace burdockrock
