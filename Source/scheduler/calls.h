// Outstanding calls to the platform and to workers, each with its purpose.
#ifndef BURDOCKROCK_SCHEDULER_CALLS_H_
#define BURDOCKROCK_SCHEDULER_CALLS_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>

#include "model/attempt.h"
#include "model/platform.h"
#include "model/time.h"
#include "model/worker_message.h"
#include "scheduler/event.h"

namespace burdockrock {

struct ConfigWatchPurpose {};
struct InstancesWatchPurpose {};

// An operator's change of the configuration. If the answer to the write is
// lost, `document` is compared with what is read back.
struct ConfigWritePurpose {
  ReplyId reply = 0;
  Revision expect = 0;
  std::string document;
  bool reading_back = false;
};

struct LedgerPurpose {
  std::string log;
  std::uint64_t ledger_call = 0;
};

struct OrphanScanPurpose {};

using PlatformPurpose = std::variant<ConfigWatchPurpose,
                                     InstancesWatchPurpose,
                                     ConfigWritePurpose,
                                     LedgerPurpose,
                                     OrphanScanPurpose>;

struct ClaimPurpose {
  Time sent{0};
};

struct RenewPurpose {
  Time sent{0};
  bool is_poll = false;  // the long poll, of which there is one per worker
};

struct StartPurpose {
  AttemptId attempt;
};

struct RunPurpose {
  std::string request;
  AttemptId attempt;
};

struct StopPurpose {};

using WorkerPurposeBody = std::
    variant<ClaimPurpose, RenewPurpose, StartPurpose, RunPurpose, StopPurpose>;

struct WorkerPurpose {
  std::string worker;
  Epoch epoch = 0;        // the epoch carried by the command
  std::int64_t born = 0;  // the process that it was meant for
  WorkerPurposeBody body;
};

// Answers are matched by call id, so that a late or duplicate answer is either
// applied to its own call or dropped.
struct Calls {
  CallId next = 1;
  std::unordered_map<CallId, PlatformPurpose> platform;
  std::unordered_map<CallId, WorkerPurpose> workers;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_CALLS_H_
