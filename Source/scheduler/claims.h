// Idempotency keys: a request marked non-idempotent is dispatched at most
// once, whichever entry instances its caller tries.
//
// The claim of a key is durable in one of kClaimShards logs before the first
// dispatch. Several entry instances append to a shard; the platform's
// compare-and-swap orders them, and who finds the key claimed by another does
// not dispatch.
#ifndef BURDOCKROCK_SCHEDULER_CLAIMS_H_
#define BURDOCKROCK_SCHEDULER_CLAIMS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ledger/slot_log.h"
#include "model/verdict.h"

namespace burdockrock {

class Context;
struct RequestEntry;
struct Job;

// The same for all processes of a deployment for its whole life: a key is
// looked for in one shard only.
inline constexpr std::uint32_t kClaimShards = 8;

enum class ClaimState {
  kClaimed,     // dispatched, or about to be
  kReleased,    // known not to have been dispatched; may be claimed again
  kRan,         // `answer` is what it answered
  kFailed,      // it ran and failed
  kMayHaveRun,  // the outcome is lost
  kAccepted,    // a job, recorded in its journal
};

struct ClaimRecord {
  std::string id;      // of the request or job
  std::string writer;  // instance and incarnation
  ClaimState state = ClaimState::kClaimed;
  std::string answer;
  std::int64_t wall_ms = 0;  // when it was written, milliseconds since 1970

  auto operator<=>(const ClaimRecord&) const = default;
};

std::string EncodeClaim(const ClaimRecord& claim);
std::optional<ClaimRecord> DecodeClaim(const std::string& text);

// Keys that this process is recording or has work for.
struct Claims {
  std::map<std::string, std::string> active;  // by record key; value: work id
  // Requests and jobs that wait for a shard to be read, by log.
  std::map<std::string, std::vector<std::string>> waiting;
};

// Records the key of a request or job. It goes on with AdmitRequest or
// OnJobClaimed, or ends with the verdict that is due.
void ClaimKeyOfRequest(Context& context, RequestEntry& entry);
void ClaimKeyOfJob(Context& context, Job& job);

// Writes what became of a claimed request or job. Not waited for: a retry that
// comes before it is told that the request may have run.
void SettleClaim(Context& context,
                 const std::string& team,
                 const std::string& key,
                 const std::string& id,
                 ClaimState state,
                 const std::string& answer);

// A claim's append has ended.
void OnClaimAppended(Context& context,
                     const std::string& id,
                     AppendOutcome outcome);

// A shard has been read, or can't be: what waited for it is looked up or
// refused.
void OnClaimShardRead(Context& context, const std::string& log);

// Gives up an append that is under way for work that will not be dispatched.
void GiveUpClaim(Context& context,
                 const std::string& team,
                 const std::string& key,
                 const std::string& id,
                 std::uint64_t ticket);

bool IsClaimLog(const std::string& log);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_CLAIMS_H_
