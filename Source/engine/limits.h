// The engine's own times and limits. Each says where its figure comes from.
#ifndef BURDOCKROCK_ENGINE_LIMITS_H_
#define BURDOCKROCK_ENGINE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "model/time.h"

namespace burdockrock::engine {

using std::chrono::milliseconds;

// Registration of an entry instance.

// A dead instance's workers must have a new owner before their leases (6 s,
// renewed at least every 2 s) run out: 2.5 s leave 1.5 s for the claims.
inline constexpr Duration kMemberTtl = milliseconds(2500);
// Three renewals a lifetime: two may be lost.
inline constexpr Duration kMemberRenewal = milliseconds(800);
// An instance whose registration vanished in a store's outage is back in well
// under a second; taking its work over meanwhile would cost two moves.
inline constexpr Duration kRejoinGrace = milliseconds(2000);
// For so long after the last failed call the store counts as unsteady.
inline constexpr Duration kStoreUnsteady = milliseconds(3000);
// An owner stops renewing its workers when it could not reach the store for so
// long: longer than the outages to be borne (10 s), since running work must
// outlast them, and the bound after which an unreachable worker's runs are
// known to have ended.
inline constexpr Duration kMaxWithoutStore = milliseconds(12'000);
// Instances that start together register within this time; who claims workers
// before has to give most of them up again.
inline constexpr Duration kClaimDelay = milliseconds(200);
// Workers whose owner took them by a view of the members that was old are
// claimed back after this long at the latest.
inline constexpr Duration kOwnershipReview = milliseconds(500);
// Between two raises of the own fence.
inline constexpr Duration kRaiseInterval = milliseconds(300);

// Store.

// The store answers in 4 ms, slowed down 60 times in 240.
inline constexpr Duration kStoreTimeout = milliseconds(700);
// An instance without an answer of the store for so long is not ready.
inline constexpr Duration kStoreAway = milliseconds(600);
// After a call that failed: soon enough to be back within a second of the end
// of an outage, seldom enough that 40 instances stay far below the store's
// rates.
inline constexpr Duration kStoreRetry = milliseconds(150);
// A connection that went silent shows only by the missing answer of its watch;
// configurations must be in force 2 s after they were stored.
inline constexpr Duration kWatchWait = milliseconds(1200);
inline constexpr Duration kWatchSlack = milliseconds(400);
// Between two answers of the watch of workers. Each worker's entry changes with
// every heartbeat: without a pause the watch would answer 32 times a second for
// 48 workers. A worker that leaves must get no new work 2 s later.
inline constexpr Duration kWorkersPause = milliseconds(600);
// Entries in one transaction, by the platform's interface.
inline constexpr std::size_t kMaxTransactionEntries = 32;
// Two hide the store's latency; more would spread the same changes thinner.
inline constexpr std::size_t kMaxTransactionsInFlight = 2;
// Share of the store's rate of writes that all instances take together: the
// other half is left for operators, workers and a deployment twice as large.
inline constexpr double kWriteShare = 0.5;
// Transactions that an instance which wrote little before may send at once.
inline constexpr double kWriteBurst = 4;
// A submission whose write got no answer is told so after this long, well
// before its caller's 3 s are over, so that it can ask another instance.
inline constexpr Duration kSubmitPatience = milliseconds(1200);
// Ends are confirmed to their workers in batches of this age.
inline constexpr Duration kProgressInterval = milliseconds(700);
// Reads of other owners' jobs at once: a takeover reads some dozens of them.
inline constexpr std::size_t kMaxReadsInFlight = 16;

// Workers.

// The longest a hold may wait for an end, by the platform's interface 2 s.
inline constexpr Duration kHoldWait = milliseconds(1900);
// An answer is late this long after the wait that was asked for.
inline constexpr Duration kHoldSlack = milliseconds(700);
// While workers leave calls unanswered: an end whose listing was lost is known
// within a short job's slack.
inline constexpr Duration kLossyHoldWait = milliseconds(300);
inline constexpr Duration kLeastHoldSlack = milliseconds(150);
// For so long after a call without an answer.
inline constexpr Duration kLossyFor = milliseconds(10'000);
// Pause between two holds: ends that come within it share one look. At three
// ends a second and worker it saves a third of the looks, and delays an end by
// 50 ms in the mean.
inline constexpr Duration kHoldPause = milliseconds(100);
inline constexpr Duration kHoldRetry = milliseconds(150);
// A worker that has not answered for so long is only looked at, its lease is
// no longer renewed: so the time is known when all that ran there has ended.
inline constexpr Duration kRenewWithoutAnswer = milliseconds(1500);
// Orders without an answer are repeated, as they do nothing the second time;
// the timeout follows the workers' answers between these two.
inline constexpr Duration kLeastOrderTimeout = milliseconds(80);
inline constexpr Duration kOrderTimeout = milliseconds(500);
// Between two tries of an order.
inline constexpr Duration kOrderRetry = milliseconds(100);
// A start that got no answer for so long is withdrawn.
inline constexpr Duration kStartPatience = milliseconds(1200);
// Room booked for a gang is given back after this long without a start.
inline constexpr Duration kBookingTime = milliseconds(2000);
// No new tasks after a worker said that it is unhealthy.
inline constexpr Duration kUnhealthyPause = milliseconds(1000);
// The worker's clock may be 2% slow.
inline constexpr double kClockDrift = 1.02;
inline constexpr Duration kLeaseMargin = milliseconds(300);
// Ends are told to the job's owner again after this long.
inline constexpr Duration kEndRepeat = milliseconds(600);
// A worker that is gone is told to the peers for so long.
inline constexpr Duration kGoneTold = milliseconds(20'000);

// A worker that left the list is remembered for so long: past the longest time
// in which something may still run there (kMaxWithoutStore and a lease).
inline constexpr Duration kUnlistedKept = milliseconds(25'000);
// Runs on a draining worker are moved this long before it may leave.
inline constexpr Duration kLeaveMargin = milliseconds(900);
// Failures in a row, of different jobs, after which a worker gets no work for a
// while: 4 at a failure rate of 0.1 hit one sound worker in 10,000 rows.
inline constexpr std::uint32_t kMaxFailuresInRow = 4;
inline constexpr Duration kQuarantine = milliseconds(6000);

// Jobs.

// Offers that got no answer are asked about after this long.
inline constexpr Duration kOfferRepeat = milliseconds(500);
// Runs that were not heard of for so long are asked about.
inline constexpr Duration kRunCheck = milliseconds(3000);
// A refused task looks for room again after this long at the earliest where the
// view of the worker does not show why it refused; else at once.
inline constexpr Duration kRefusedPause = milliseconds(20);
// A failed task waits so that a worker that fails all at once does not get it
// back before it is known.
inline constexpr Duration kFailedPause = milliseconds(50);
// The members are asked again what runs of an adopted job; proofs of ownership
// take a few ms.
inline constexpr Duration kAdoptRepeat = milliseconds(120);
// An adopted job whose runs are not all known after this long is written again,
// to learn whether it has another owner by now.
inline constexpr Duration kOwnershipDoubt = milliseconds(3000);
// A member that has not answered a question by then is asked again.
inline constexpr Duration kPeerAnswer = milliseconds(400);
// A caller's question is given up after this long; callers wait 3 s.
inline constexpr Duration kQuestionPatience = milliseconds(1500);
// A question for the state of a job that may just have ended is answered when
// the news is in, at most so much later. From its worker to the store an end
// takes up to kHoldPause, two hops and a write, and callers who are told
// "running" a few ms too early ask again only after 250 ms.
inline constexpr Duration kStateNews = milliseconds(130);
// Scan for jobs whose owner is gone, should a member's end have been missed.
inline constexpr Duration kOrphanScan = milliseconds(5000);

// Digests and housekeeping.

// Changes of room are told together: one digest in place of the several that a
// burst of starts would send. This is the shortest time between two of them;
// whose a worker is, and whether it takes tasks, is not told later.
inline constexpr Duration kDigestInterval = milliseconds(50);
// Free room is told later by so much for each member above the few, so that the
// messages of one instance don't grow with the fleet: 770 ms at 30 members. At
// 30 members and 40 jobs a second an instance exchanges 73 digests a second,
// 601 with 50 ms.
inline constexpr Duration kDigestIntervalPerMember = milliseconds(30);
// So many members send and receive at most 200 digests a second each at 50 ms.
inline constexpr std::int64_t kFewMembers = 6;
// An unchanged state is told again, so that a lost digest is noticed: once this
// long after the last change, and then seldom.
inline constexpr Duration kDigestRepeat = milliseconds(1000);
inline constexpr Duration kDigestReminder = milliseconds(5000);
// A member whose digest was missed is asked again for the whole.
inline constexpr Duration kDigestAsk = milliseconds(400);
// The engine looks at what is due; no time of its own is finer than this.
inline constexpr Duration kTick = milliseconds(25);
// Between two looks for what is kept no longer; the shortest time of keeping is
// a minute.
inline constexpr Duration kForgetInterval = milliseconds(1000);
// Between two looks at all that follows from the events that came. As long as
// two hops between instances: so long an event may wait for the next look, and
// under load one look serves several of them.
inline constexpr Duration kDriveInterval = milliseconds(3);
// Between two rounds of placement.
inline constexpr Duration kPlacementInterval = milliseconds(3);

// Advice.

// A ticket is not used in the last part of its life: the order takes time.
inline constexpr Duration kTicketMargin = milliseconds(350);
inline constexpr Duration kAdviceRetry = milliseconds(200);
// The priority that comes before all others.
inline constexpr std::uint32_t kMostUrgent = 0;
// Workers in one call, by the service's interface.
inline constexpr std::size_t kMaxAdvised = 100;
// The longest call, 100 workers of the slowest queue, takes 1.8 s.
inline constexpr Duration kAdviceTimeout = milliseconds(4000);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_LIMITS_H_
