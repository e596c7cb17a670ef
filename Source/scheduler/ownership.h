// Who may start work on which worker: claims, epochs, renewals, hand-overs.
//
// Each worker and minion has one owner in its failure domain, chosen by
// rendezvous hash among the live members. The members need not agree: the
// worker refuses commands below the highest epoch that it accepted, so two
// members with different views can never both start work on it.
#ifndef BURDOCKROCK_SCHEDULER_OWNERSHIP_H_
#define BURDOCKROCK_SCHEDULER_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/attempt.h"
#include "model/time.h"
#include "model/work.h"
#include "model/worker_message.h"
#include "placement/placement_index.h"
#include "scheduler/calls.h"
#include "scheduler/event.h"
#include "scheduler/health.h"

namespace burdockrock {

class Context;

// An attempt that holds room on an owned worker, or has ended there and is
// not yet acknowledged by the writer of its job's journal.
struct Booking {
  AttemptId attempt;
  Resources resources;
  AttemptState state = AttemptState::kRunning;
  Outcome outcome = Outcome::kNone;
  std::string answer;
  bool is_request = false;  // dispatched by RunCommand
  // When the worker first said that it is there; 0: it has not.
  Time confirmed{0};
  bool uncertain = false;  // the answer to the start was lost
  bool holds_room = true;
  std::string offered_by;  // the peer that offered it; empty: this process
  std::uint64_t offer_sequence = 0;
  Time sent{0};
  Time told{0};  // when the end was last told to the journal's writer
};

enum class OwnerState {
  kFree,  // not ours; some other member's or nobody's
  kOwned,
  kHandingOver,  // offered to another member, still renewed by us
};

struct WorkerRecord {
  InstanceInfo info;
  OwnerState state = OwnerState::kFree;
  std::optional<TargetIndex> index;  // while owned
  Epoch epoch = 0;                   // the highest known
  // Journals not yet shown to be this process's since it claimed the worker,
  // and the epoch of that claim.
  std::set<std::string> unchecked;
  Epoch checked_epoch = 0;
  std::string owner;          // OwnerName of who claimed that epoch
  Time quiet_until{0};        // left alone: it was just taken from us
  std::uint32_t deposed = 0;  // times that it was taken from us
  Time wanted_since{0};       // desired here while another has it
  std::string desired;        // by rendezvous hash
  bool claim_in_flight = false;
  std::uint32_t claim_refusals = 0;
  Time claim_after{0};
  bool suspect = false;  // a command failed since its last answer
  bool silent = false;   // no answer for too long
  bool removed = false;  // gone from the platform's list
  Time removed_at{0};
  Time last_answer{0};
  // When the last command was sent that showed this process to be the owner.
  Time proven{0};
  Time lease_sent{0};  // when a lease was last given or renewed
  CallId poll = 0;     // the renewal that waits at the worker
  std::uint64_t version = 0;
  std::vector<AttemptId> acknowledge;
  std::vector<AttemptId> go;
  Resources usage;
  std::unordered_map<AttemptId, Booking, AttemptIdHash> bookings;
  WorkerHealth health;
};

// How long after a worker has left the platform's list another member may not
// have seen that yet.
inline constexpr Duration kListLag = std::chrono::seconds(10);

struct Ownership {
  std::map<std::string, WorkerRecord> workers;  // of the own failure domain
  std::uint32_t owned = 0;
  // The worker that each booked task attempt is on.
  std::unordered_map<AttemptId, std::string, AttemptIdHash> holders;
  std::set<std::string> pending;  // workers that the next review looks at
};

// The name under which a process claims workers: "INSTANCE~INCARNATION". An
// instance that was replaced is another owner.
std::string OwnerName(const std::string& instance,
                      const std::string& incarnation);

// Chooses an owner for each worker: by rendezvous hash, with at most
// ceil(workers / members) of each kind per member, so that no member has far
// more than its share. Equal inputs give equal choices in every process.
std::map<std::string, std::string> AssignOwners(
    const std::vector<InstanceInfo>& workers,
    const std::vector<std::string>& members);

// The members or the list of instances changed: chooses the owners anew.
void ReassignOwners(Context& context);

// Claims what is ours and unowned, offers what is another's.
void ReviewOwnership(Context& context);

void OnClaimTimer(Context& context, const std::string& worker);
void OnRenewTimer(Context& context, const std::string& worker);
void OnLeaseBoundTimer(Context& context, const std::string& worker);
void OnHandover(Context& context,
                const std::string& from,
                const Handover& handover);
void OnWorkerAnswered(Context& context, const WorkerAnswered& answered);

// Opens or closes the worker for new work by all that is known of it.
void UpdateOpen(Context& context, WorkerRecord& worker);

// Takes room on the worker; false when it doesn't fit.
bool BookAttempt(Context& context, WorkerRecord& worker, Booking booking);

// Notes an attempt on the worker without taking room for it.
Booking& AddBooking(Context& context, WorkerRecord& worker, Booking booking);

// Returns the room and forgets the attempt.
void EraseBooking(Context& context,
                  WorkerRecord& worker,
                  const AttemptId& attempt);

// Sends a command under the worker's present epoch.
CallId CommandWorker(Context& context,
                     WorkerRecord& worker,
                     WorkerCommand command,
                     WorkerPurposeBody purpose);

// Renews at once, to carry what `go` and `acknowledge` hold.
void RenewNow(Context& context, WorkerRecord& worker);

// Claims the worker again under a higher epoch: a start whose answer was lost
// is either in the claim's report or is refused for good, as its epoch is now
// too low.
void Reclaim(Context& context, WorkerRecord& worker);

// The worker is ours and answers.
bool IsSettled(const Context& context, const WorkerRecord& worker);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_OWNERSHIP_H_
