// The known entry instances, their last digests, and the platform's list of
// instances.
#ifndef BURDOCKROCK_SCHEDULER_MEMBERSHIP_H_
#define BURDOCKROCK_SCHEDULER_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/peer_message.h"
#include "model/time.h"
#include "scheduler/event.h"

namespace burdockrock {

class Context;

// Another entry instance, as known to this process.
struct Peer {
  std::string id;
  std::string domain;
  std::string address;
  std::string incarnation;  // empty until its first message
  Time last_received{0};
  bool alive = false;
  bool leaving = false;  // according to the platform's list; never reset
  Digest digest;
  Time digest_at{0};
  // Requests forwarded and resources offered to it since its digest: its free
  // capacity is smaller than the digest reports by that much.
  std::map<std::string, std::int64_t> forwarded_requests;
  Resources offered_resources;
  // Sizes of tasks that no worker of it had room for since its digest: what is
  // free there may be split over many.
  std::vector<Resources> refused_sizes;
  bool refused_work = false;  // it refused work since its digest otherwise
  std::uint64_t offer_sequence = 0;     // of the last offer sent to it
  std::uint64_t accepted_sequence = 0;  // of the last offer accepted from it
  Time pulled_at{0};                    // when it was last sent PullDocuments
};

struct Membership {
  std::map<std::string, Peer> peers;
  std::uint64_t digest_sequence = 0;
  InstanceList instances;
  bool has_instances = false;
  // Live peers have had time to send a digest since the start.
  bool startup_wait_over = false;
  // When the peers were first informed that this process serves. It claims
  // workers one digest interval later: by then the members that start at the
  // same time know each other, and none claims a worker that it would hand over
  // at once.
  Time announced_at{0};
  std::vector<std::string> members;  // of the own domain, as last checked
};

// Adds the configured peers and sets the first timers of a process.
void StartMembership(Context& context);

// Checks which peers are alive, sends digests, and sets the next digest timer.
void OnDigestTimer(Context& context);

void OnDigest(Context& context,
              const PeerMessageReceived& received,
              const Digest& digest);

// Records that `received.from` is alive under this incarnation. False if the
// message is from an older incarnation, or from this instance, and must be
// dropped.
bool NotePeerMessage(Context& context, const PeerMessageReceived& received);

// Applies a list of instances if it is newer than the known one.
void ApplyInstances(Context& context, const InstanceList& list);

// Sends the documents of which the peer has an older revision.
void OnPullDocuments(Context& context,
                     const std::string& from,
                     const PullDocuments& pull);

// Whether this process may own workers and accept work.
bool IsServing(const Context& context);

// Live entry instances of the own domain that may own workers, including this
// one; sorted.
std::vector<std::string> DomainMembers(const Context& context);

// Live entry instances of the whole deployment, including this one.
std::size_t CountLivePeers(const Context& context);

// In a large deployment a member of another domain sends each digest to only
// one member here, in rotation. The length of that rotation, by which timeouts
// and the maximum age of digests are multiplied; 1 in a small deployment.
std::int64_t FarDigestRotation(const Context& context);

// Whether the peer is alive and in the own domain.
bool IsDomainPeer(const Context& context, const Peer& peer);

// How many tasks of this size the peer has room for, as far as is known.
std::int64_t PlacesAt(const Peer& peer, const Resources& need);

// Whether this process is the member that watches the platform for all of its
// domain.
bool IsWatcher(const Context& context);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_MEMBERSHIP_H_
