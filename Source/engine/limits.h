// Time spans and limits of the engine.
#ifndef BURDOCKROCK_ENGINE_LIMITS_H_
#define BURDOCKROCK_ENGINE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

using std::chrono::milliseconds;

// Registration of an entry instance.

// Lets the workers of a crashed instance get a new owner before their leases
// expire.
inline constexpr Duration kMemberTtl = milliseconds(2500);
// Tolerates two lost renewals in a row.
inline constexpr Duration kMemberRenewal = milliseconds(800);
// Lets an instance that lost only its registration keep its work.
inline constexpr Duration kRejoinGrace = milliseconds(2000);
// Time after a failed call in which the store counts as unsteady.
inline constexpr Duration kStoreUnsteadyPeriod = milliseconds(3000);
// How long an owner renews the leases of its workers without the store. Running
// work survives an outage, and the time by which all runs at an unreachable
// owner have ended is known.
inline constexpr Duration kMaxRenewalWithoutStore = milliseconds(12'000);
// Lets instances that start together register before any of them claims
// workers.
inline constexpr Duration kClaimDelay = milliseconds(200);
// Interval of the check of all owned workers. Bounds how long a worker stays
// with an owner chosen from an outdated list of members.
inline constexpr Duration kOwnershipCheckInterval = milliseconds(500);
// Minimum time between two advances of the own fence.
inline constexpr Duration kFenceAdvanceInterval = milliseconds(300);

// Store.

// Above the response time of a slow store.
inline constexpr Duration kStoreTimeout = milliseconds(700);
// An instance without a reply of the store for this long is not ready.
inline constexpr Duration kStoreUnavailableAfter = milliseconds(600);
// Delay after a failed call. Keeps all instances together below the store's
// rate limits when it is unavailable.
inline constexpr Duration kStoreRetryDelay = milliseconds(150);
// Longest wait of a long poll for changes. Bounds how long a dead connection
// hides a new configuration, which has to be in force in time.
inline constexpr Duration kWatchWait = milliseconds(1200);
// A watch times out this long after the wait that it requested.
inline constexpr Duration kWatchSlack = milliseconds(400);
// Minimum time between two replies to the watch of workers, whose entries
// change with each heartbeat. Below the time for which a leaving worker may
// still get new work.
inline constexpr Duration kWorkerWatchInterval = milliseconds(600);
// Entries in one transaction; a limit of the platform's interface.
inline constexpr std::size_t kMaxTransactionEntries = 32;
// Longest key, in bytes; a limit of the platform's interface.
inline constexpr std::size_t kMaxKeyBytes = 200;
// A write that the store rejected is tried again after this long: the job goes
// on meanwhile, and what it then stores may be accepted.
inline constexpr Duration kRejectedWritePause = milliseconds(10'000);
// After so many rejected writes of a job's progress its ends are acknowledged
// all the same. A worker lists a bounded number of unacknowledged ends, and
// those of other jobs would never be listed.
inline constexpr std::uint32_t kRejectedSavesTolerated = 2;
// More than one hides the store's latency; each more makes the batches smaller.
inline constexpr std::size_t kMaxTransactionsInFlight = 2;
// Share of the store's write rate for all instances together. The rest is for
// operators and workers, and a reserve.
inline constexpr double kWriteShare = 0.5;
// Transactions that an instance may send in a burst after it wrote little.
inline constexpr double kWriteBurst = 4;
// A submission that the store has not confirmed is answered after this long, so
// that its caller still has time to try another instance.
inline constexpr Duration kSubmitTimeout = milliseconds(1200);
// Ends are confirmed to their workers in batches, at this interval.
inline constexpr Duration kProgressInterval = milliseconds(700);
// Concurrent reads of other owners' jobs; many are read in a takeover.
inline constexpr std::size_t kMaxReadsInFlight = 16;

// Workers.

// Wait of a poll. Below the longest that a worker accepts.
inline constexpr Duration kPollWait = milliseconds(1900);
// A poll times out this long after the wait that it requested.
inline constexpr Duration kPollSlack = milliseconds(700);
// Wait of a poll while calls to workers get lost: an end whose listing was lost
// is learned again within the slack of a short job.
inline constexpr Duration kLossyPollWait = milliseconds(300);
inline constexpr Duration kMinPollSlack = milliseconds(150);
// Time after a call without a reply in which the shorter wait is used.
inline constexpr Duration kLossyPeriod = milliseconds(10'000);
// Pause between two polls. Ends within it share a listing.
inline constexpr Duration kPollInterval = milliseconds(100);
inline constexpr Duration kPollRetryDelay = milliseconds(150);
// Minimum time between two polls of a worker that only prove its ownership.
// Many adopters that ask for proof at once share one. Below
// kAdoptQueryInterval, so that the proof is there when they ask again.
inline constexpr Duration kOwnershipProofInterval = milliseconds(100);
// A worker that has not replied for this long gets no further lease, so that
// the time by which all its runs have ended is known.
inline constexpr Duration kMaxRenewalWithoutAnswer = milliseconds(1500);
// Range of the timeout of commands, which follows the response times of the
// workers. Commands without a reply are repeated, as they are idempotent.
inline constexpr Duration kMinCommandTimeout = milliseconds(80);
inline constexpr Duration kMaxCommandTimeout = milliseconds(500);
// Delay between two attempts of a command.
inline constexpr Duration kCommandRetryDelay = milliseconds(100);
// A worker carries out a call that got no reply within this time, or never.
inline constexpr Duration kMaxCallDelay = milliseconds(12'000);
// A start without a reply for this long is withdrawn.
inline constexpr Duration kStartTimeout = milliseconds(1200);
// Room that is booked for a gang is released after this long without a start
// and without a repetition of the booking.
inline constexpr Duration kBookingTimeout = milliseconds(2000);
// Room that is booked for a gang is released after this long in all, so that a
// gang whose advice is not answered does not keep others waiting.
inline constexpr Duration kMaxBooking = milliseconds(4000);
// A worker that reported itself unhealthy gets no new tasks for this long.
inline constexpr Duration kUnhealthyPause = milliseconds(1000);
// Factor for the worker's clock, which may be 2% slow.
inline constexpr double kClockDrift = 1.02;
inline constexpr Duration kLeaseMargin = milliseconds(300);
// Interval at which unconfirmed ends are reported to the job's owner again.
inline constexpr Duration kEndReportInterval = milliseconds(600);
// A lost worker is announced to the peers for this long.
inline constexpr Duration kLostWorkerAnnouncedFor = milliseconds(20'000);
// Runs on a crashed worker are reported for this long, also while the store is
// away and their jobs have no owner.
inline constexpr Duration kCrashReportedFor = milliseconds(120'000);
// A worker that is being emptied for a task that must run alone is given up
// after this long: by then the others have ended or have lasted.
inline constexpr Duration kEmptyTimeout = milliseconds(10'000);

// A worker that left the list is kept for this long: more than the longest time
// for which a run may continue there.
inline constexpr Duration kUnlistedWorkerKeptFor = milliseconds(25'000);
// Runs on a draining worker are moved this long before it can leave.
inline constexpr Duration kLeaveMargin = milliseconds(900);
// Consecutive failures, of different jobs, after which a worker is quarantined.
// A healthy worker seldom reaches it.
inline constexpr std::uint32_t kMaxFailuresInRow = 4;
// A quarantined worker gets no work for this long.
inline constexpr Duration kQuarantine = milliseconds(6000);

// Jobs.

// An offer without a reply is queried, and a stop repeated, after this long.
inline constexpr Duration kOfferRetryDelay = milliseconds(500);
// Runs without an update for this long are queried.
inline constexpr Duration kRunQueryDelay = milliseconds(3000);
// Minimum delay before a refused task is placed again if the view of the worker
// does not show the reason of the refusal; else there is none.
inline constexpr Duration kRefusedTaskDelay = milliseconds(20);
// Delay before a failed task is placed again. A worker at which all tasks fail
// is known by then and does not get it again.
inline constexpr Duration kFailedTaskDelay = milliseconds(50);
// Crashes of workers after which their task runs alone on the next one, so that
// a further crash is its own.
inline constexpr std::size_t kCrashesBeforeIsolation = 2;
// Crashes after which a task is given up and its job fails.
inline constexpr std::size_t kMaxCrashes = 3;
// After a crash that would isolate its task, or fail its job, that task is not
// placed for this long: other crashes may show that its group has failed.
inline constexpr Duration kCrashHold = milliseconds(1000);
inline constexpr Duration kLastCrashHold = milliseconds(3000);
// A group failure of which no further worker was found for this long is whole.
inline constexpr Duration kGroupFailureSettled = milliseconds(1000);
// Share of an owner's workers at which tasks run alone, one at least. Members
// of gangs are not bound by it, nor is an owner of few workers: there, crashes
// would hit each task beside the suspects again and again.
inline constexpr double kIsolatedShare = 0.125;
inline constexpr std::size_t kFewOwnedWorkers = 4;
// A task that is refused for that runs beside others after this time.
inline constexpr Duration kMaxIsolationWait = milliseconds(10'000);
inline constexpr Duration kMaxLastingIsolationWait = milliseconds(2000);
// Shortest time for which a task is kept alone, and longer than twice its
// longest run that ended in a crash. A run that has lasted for as long does not
// count as the cause of a crash beside an isolated one.
inline constexpr Duration kMinIsolation = milliseconds(10'000);
// A task for which no worker could be emptied in this time runs beside others.
inline constexpr Duration kIsolationTimeout = milliseconds(30'000);
// A crash of a worker is not held against runs that were at work for longer.
inline constexpr Duration kMaxCrashDelay = std::chrono::minutes(10);
// Interval at which members are queried for the runs of an adopted job.
inline constexpr Duration kAdoptQueryInterval = milliseconds(120);
// An adopted job whose runs are not all known after this long is written again:
// the write fails if the job has another owner by now.
inline constexpr Duration kOwnershipVerifyDelay = milliseconds(3000);
// A member that has not replied to a query by then is queried again.
inline constexpr Duration kPeerReplyTimeout = milliseconds(400);
// A caller's query times out after this long, before the caller itself does.
inline constexpr Duration kCallerQueryTimeout = milliseconds(1500);
// Longest delay of the reply to a state query while an update is expected: the
// job may just have ended.
inline constexpr Duration kStateUpdateWait = milliseconds(130);
// Interval of scans for jobs whose owner is lost, in case the loss of a member
// was missed.
inline constexpr Duration kOrphanScanInterval = milliseconds(5000);

// Digests and housekeeping.

// Changes of room are batched and sent at most this often. A change of a
// worker's owner, or of whether it accepts tasks, is sent within this time.
inline constexpr Duration kDigestInterval = milliseconds(50);
// Added for each member above kFewMembers, so that the message rate of an
// instance does not grow with the number of instances.
inline constexpr Duration kDigestIntervalPerMember = milliseconds(30);
// Number of members up to which no delay is added.
inline constexpr std::int64_t kFewMembers = 6;
// An unchanged state is sent again to reveal a lost digest: once this long
// after the last change, and then at the longer interval.
inline constexpr Duration kDigestRepeatDelay = milliseconds(1000);
inline constexpr Duration kDigestKeepalive = milliseconds(5000);
// After a missed digest, a full one is requested from the member again after
// this long.
inline constexpr Duration kFullDigestRetryDelay = milliseconds(400);
// Resolution of the engine's timers.
inline constexpr Duration kTick = milliseconds(25);
// Interval of the removal of expired entries.
inline constexpr Duration kExpiryInterval = milliseconds(1000);
// Minimum time between two runs of the work that is due. Under load, one run
// serves several events.
inline constexpr Duration kDriveInterval = milliseconds(3);
// The work that is due takes at most one part in so many of an instance's time;
// messages and replies take the rest.
inline constexpr int kDriveShare = 4;
// Longest pause for the sake of this share.
inline constexpr Duration kMaxDrivePause = milliseconds(100);
// An instance that is short of processor time sends digests and repeats queries
// later by so many times the time for which its events wait, within the bound.
inline constexpr int kWaitsOfDelay = 3;
inline constexpr Duration kMaxDelayWhenLate = milliseconds(1500);
// Minimum time between two rounds of placement.
inline constexpr Duration kPlacementInterval = milliseconds(3);

// Advice.

// A ticket is not used this close to its expiry, as the start command takes
// time.
inline constexpr Duration kTicketMargin = milliseconds(350);
inline constexpr Duration kAdviceRetryDelay = milliseconds(200);
// The highest priority.
inline constexpr std::uint32_t kMostUrgent = 0;
// Workers in one call; a limit of the service's interface.
inline constexpr std::size_t kMaxAdvisedWorkers = 100;
// Above the duration of the longest call, which names kMaxAdvisedWorkers
// workers.
inline constexpr Duration kAdviceTimeout = milliseconds(4000);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_LIMITS_H_
