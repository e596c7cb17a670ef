// Writes of jobs that are queued for the store, several in one transaction.
#ifndef BURDOCKROCK_ENGINE_RECORDS_WRITER_STATE_H_
#define BURDOCKROCK_ENGINE_RECORDS_WRITER_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "engine/calls.h"
#include "model/time.h"

namespace burdockrock::engine {

enum class ChangeKind { kCreateJob, kSaveJob, kAdoptJob, kRemoveJob };

// A write that is queued for the store. All of it goes into one transaction.
struct Change {
  ChangeKind kind = ChangeKind::kSaveJob;
  std::string job{};
  std::uint64_t version = 0;  // of the job's progress that it writes
  std::vector<StoreCondition> conditions{};
  std::vector<StorePut> puts{};
  std::vector<std::string> removes{};
  bool may_be_applied = false;  // an earlier attempt got no reply
  bool alone = false;           // the store rejected a transaction with others
  // What of it exceeds a bound of the store, so that it is never sent; empty:
  // nothing.
  std::string oversized{};

  std::size_t entries() const {
    return conditions.size() + puts.size() + removes.size();
  }
};

// Changes that one transaction writes.
struct Batch {
  std::vector<Change> changes{};
  std::uint64_t fence = 0;
};

struct WriterState {
  double tokens = 0;    // transactions that may be sent now (token bucket)
  Time refilled_at{0};  // when `tokens` was last computed
  std::deque<Change> queue{};
  std::map<std::uint64_t, Batch> in_flight{};
  std::uint64_t last_batch = 0;
  Time retry_at{0};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_WRITER_STATE_H_
