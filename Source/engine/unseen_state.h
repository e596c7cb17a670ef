// What an instance may have missed while it could not follow the store's lists.
#ifndef BURDOCKROCK_ENGINE_UNSEEN_STATE_H_
#define BURDOCKROCK_ENGINE_UNSEEN_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "engine/limits.h"
#include "engine/members/peer_message.h"
#include "model/time.h"

namespace burdockrock::engine {

// Members that registered and left while this instance could not follow the
// list of members. Their processes may still renew leases.
struct UnseenMembers {
  Time left_at = Time::min();  // latest time at which one may have left
  // When all of their machines were known to run other processes.
  Time replaced_at = kForever;
  bool check_due = false;  // the machines' records are to be read
  bool in_flight = false;
  bool found = false;  // the records read so far name a process not seen
  std::string after{};
  Time checked_from{0};  // when the first page was requested
  Time read_at = Time::min();
};

// The workers that reports tell of. Many reports share a list: it takes a scan
// of all workers.
struct ReportedWorkers {
  Time made_at{0};
  std::uint64_t members_version = 0;
  std::uint64_t unlisted_version = 0;  // State::unlisted_version
  std::vector<RememberedWorker> workers{};
  std::vector<std::uint64_t> digests{};  // of `workers`, in their order
  std::vector<std::uint64_t> known{};    // the same, sorted
  std::uint64_t digest = 0;              // of all of them
};

// Whether the members have reported the workers that left the list before this
// instance followed it; collected anew with each registration and after each
// gap in the list.
struct UnseenWorkers {
  Time reset_at{0};  // the registration, or the end of the gap
  std::set<std::string> reported_by{};  // incarnations
  // No worker is missed: a member that knows all has reported, or all members
  // have, and the machines were compared.
  bool knows_all = false;
  // This instance has compared the list of machines with that of workers.
  bool machines_compared = false;
  // This or another member got no list of machines in time.
  bool machines_unread = false;
  // Members that reported that they have.
  std::set<std::string> compared_by{};
  // This instance's place in the order in which members compare, as of this
  // version of the members.
  std::uint64_t rank_version = 0;
  std::size_t rank = 0;
  // The last query that served no recovery, and the last member of its round.
  Time asked_at = Time::min();
  std::string last_asked{};
  // Members whose queries came before this instance knew all workers.
  std::set<std::string> askers{};
  Time answer_checked_at = Time::min();
  // By member: the digest of the last list of workers that was read from it.
  std::map<std::string, std::uint64_t> lists_read{};
  // By member: the list of the last report to it.
  std::map<std::string, std::shared_ptr<const ReportedWorkers>> told{};
  // The last list, with and without the workers that nobody has claimed.
  std::map<bool, std::shared_ptr<const ReportedWorkers>> reported{};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_UNSEEN_STATE_H_
