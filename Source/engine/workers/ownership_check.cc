#include "engine/workers/ownership_check.h"

namespace burdockrock::engine {

namespace {

bool IsOwnershipCheck(const PollWorker& poll) {
  return poll.lease_until_ms == 0 && poll.wait == Duration(0);
}

}  // namespace

bool MaySendOwnershipCheck(const Context& context, const OwnedWorker& worker) {
  return worker.claimed && worker.ownership_check_due &&
         !worker.ownership_check_in_flight &&
         HasPassed(context.now, worker.ownership_check_sent_at,
                   kOwnershipProofInterval);
}

bool IsReplyToCheck(const OwnedWorker& worker,
                    const PollWorker& poll,
                    Time called_at) {
  // A poll in flight may be the same request, and one that was sent at the same
  // time can't be told apart: then the first reply is that of the check.
  const Time checked_at = worker.ownership_check_sent_at;
  const Time polled_at = worker.poll_sent_at;
  const bool is_poll = called_at < checked_at ||
                       (polled_at > checked_at && called_at >= polled_at);
  return worker.ownership_check_in_flight && IsOwnershipCheck(poll) && !is_poll;
}

}  // namespace burdockrock::engine
