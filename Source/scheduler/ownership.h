// Ownership of workers and minions: claims, epochs, lease renewals, handovers.
//
// Each worker and minion has one owner in its failure domain, chosen by
// rendezvous hash among the live members. Only the owner starts work on it. The
// members need not agree: the worker refuses commands below the highest epoch
// that it accepted, so two members with different views can never both start
// work on it.
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
struct State;

// An attempt that occupies capacity of an owned worker, or has ended there and
// is not yet acknowledged by the writer of its job's journal.
struct Booking {
  AttemptId attempt;
  Resources resources;
  AttemptState state = AttemptState::kRunning;
  Outcome outcome = Outcome::kNone;
  std::string answer;
  bool is_request = false;  // dispatched by RunCommand
  // When the worker first reported the attempt; 0: not yet.
  Time confirmed{0};
  bool unverified = false;  // the answer to the start was lost
  bool holds_room = true;
  std::string offered_by;  // the peer that offered it; empty for this process
  std::uint64_t offer_sequence = 0;
  Time sent{0};
  // When the end was last sent to the journal's writer.
  Time end_reported_at{0};
};

enum class OwnerState {
  kFree,  // not owned by this process
  kOwned,
  kHandingOver,  // offered to another member; this process still renews leases
};

// A worker or minion of the own failure domain, as known to this process.
struct WorkerRecord {
  InstanceInfo info;
  // When its present process started, in Unix milliseconds; 0: not told.
  std::int64_t born = 0;
  OwnerState state = OwnerState::kFree;
  std::optional<TargetIndex> index;  // while owned
  Epoch epoch = 0;                   // the highest known
  // Journals for which this process hasn't verified that it is still the
  // writer since it claimed the worker, and the epoch of that claim.
  std::set<std::string> unchecked_journals;
  Epoch checked_epoch = 0;
  std::string owner;            // OwnerName of the claimant of that epoch
  Time claim_backoff_until{0};  // not claimed again before
  std::uint32_t ownership_losses = 0;  // how often another member claimed it
  Time desired_since{0};  // assigned to this process, owned by another
  std::string desired;    // the member it is assigned to
  bool claim_in_flight = false;
  // Claimed again by its owner, and the claim was not accepted yet.
  bool reclaiming = false;
  std::uint32_t claim_refusals = 0;
  Time claim_after{0};
  bool suspect = false;       // a command failed since its last answer
  bool unresponsive = false;  // no answer for longer than lease.worker_silent
  bool removed = false;       // no longer in the platform's list
  Time removed_at{0};
  Time last_answer{0};
  // When the last command was sent whose answer verified the ownership.
  Time ownership_verified_at{0};
  Time lease_sent{0};         // when a lease was last given or renewed
  CallId poll = 0;            // the outstanding long poll; 0 if there is none
  std::uint64_t version = 0;  // of the last report received
  std::vector<AttemptId> acknowledge;  // ends to acknowledge to the worker
  std::vector<AttemptId> go;           // held attempts that may start
  Resources usage;
  std::unordered_map<AttemptId, Booking, AttemptIdHash> bookings;
  WorkerHealth health;
};

// Upper bound of the time after which all members know that a worker was
// removed from the platform's list.
inline constexpr Duration kListLag = std::chrono::seconds(10);

struct Ownership {
  std::map<std::string, WorkerRecord> workers;  // of the own failure domain
  std::uint32_t owned = 0;
  // The worker of each booked task attempt.
  std::unordered_map<AttemptId, std::string, AttemptIdHash> attempt_workers;
  std::set<std::string> pending_checks;  // workers to check next
};

// The name under which a process claims workers: "INSTANCE~INCARNATION". A
// restarted instance is a different owner.
std::string OwnerName(const std::string& instance,
                      const std::string& incarnation);

// Chooses an owner for each worker by rendezvous hash, with at most
// ceil(workers / members) of each kind per member, so that the load is even.
// Equal inputs give equal results in every process.
std::map<std::string, std::string> AssignOwners(
    const std::vector<InstanceInfo>& workers,
    const std::vector<std::string>& members);

// Reassigns the owners after a change of the members or the list of instances.
void ReassignOwners(Context& context);

// Claims workers that are assigned to this process, and offers owned ones that
// are assigned to another.
void CheckOwnership(Context& context);

void OnClaimTimer(Context& context, const std::string& worker);
void OnRenewTimer(Context& context, const std::string& worker);
void OnLeaseBoundTimer(Context& context, const std::string& worker);
void OnHandover(Context& context,
                const std::string& from,
                const Handover& handover);
void OnWorkerAnswered(Context& context, const WorkerAnswered& answered);

// Why the worker takes no new work; empty if it does.
const char* WhyClosed(const State& state, const WorkerRecord& worker);

// Lets waiting tasks and requests use the room at the end of this step.
void OnRoomFreed(Context& context);

// Opens or closes the worker for new work, according to its record.
void UpdateOpen(Context& context, WorkerRecord& worker);

// Applies a changed capacity to the worker's room, if it is owned. What it has
// keeps its room, also beyond the new capacity.
void ResizeWorker(Context& context,
                  WorkerRecord& worker,
                  const Resources& capacity);

// Reserves capacity of the worker for the attempt; false if it doesn't fit.
bool BookAttempt(Context& context, WorkerRecord& worker, Booking booking);

// Records an attempt on the worker without reserving capacity.
Booking& AddBooking(Context& context, WorkerRecord& worker, Booking booking);

// Opens or closes a worker on probation, which takes one attempt at a time.
// Follows each change of its bookings and of their states.
void OnBookingsChanged(Context& context, WorkerRecord& worker);

// Releases the attempt's capacity and removes its booking.
void EraseBooking(Context& context,
                  WorkerRecord& worker,
                  const AttemptId& attempt);

// Sends a command under the worker's current epoch.
CallId CommandWorker(Context& context,
                     WorkerRecord& worker,
                     WorkerCommand command,
                     WorkerPurposeBody purpose);

// Renews the lease at once, which sends `go` and `acknowledge`. Does nothing
// for a worker that was removed from the list.
void RenewNow(Context& context, WorkerRecord& worker);

// Claims the worker again under a higher epoch. A start whose answer was lost
// is then either in the report of the claim or will never be accepted, as its
// epoch is too low.
void Reclaim(Context& context, WorkerRecord& worker);

// Whether this process owns the worker, isn't claiming it, and the worker is
// listed and responsive.
bool IsOwnedAndResponsive(const Context& context, const WorkerRecord& worker);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_OWNERSHIP_H_
