// Which entry instances are there, what they told of themselves, and the
// platform's list of instances.
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

// What this process knows of another entry instance.
struct Peer {
  std::string id;
  std::string domain;
  std::string address;
  std::string incarnation;  // empty until it was heard
  Time last_heard{0};
  bool alive = false;
  bool leaving = false;  // by the platform's list; never undone
  Digest digest;
  Time digest_at{0};
  // Requests handed to it since its digest, by service: its room is that much
  // smaller than it says.
  std::map<std::string, std::int64_t> lent;
  Resources lent_room;
  bool struck = false;                  // it refused work since its digest
  std::uint64_t offer_sequence = 0;     // of the last offer sent to it
  std::uint64_t accepted_sequence = 0;  // of the last offer taken from it
  Time pulled_at{0};
};

struct Membership {
  std::map<std::string, Peer> peers;
  std::uint64_t digest_sequence = 0;
  InstanceList instances;
  bool has_instances = false;
  bool settled = false;  // time was given to hear the peers after the start
  // When the peers were first told that this process serves. It claims workers
  // one digest later: by then each member knows of the others that start with
  // it, and none claims what it would hand over at once.
  Time announced{0};
  std::vector<std::string> members;  // last reviewed, of the own domain
};

// Starts the first reads and digests of a process.
void StartMembership(Context& context);

// The digest timer: sends digests and reviews who is alive.
void OnDigestTimer(Context& context);

void OnDigest(Context& context, const PeerSaid& said, const Digest& digest);

// Notes that `said.from` is alive under this incarnation. False when the
// message is of an older incarnation and must be dropped.
bool NotePeer(Context& context, const PeerSaid& said);

// Takes a list of instances newer than the one known.
void ApplyInstances(Context& context, const InstanceList& list);

void OnPullDocuments(Context& context,
                     const std::string& from,
                     const PullDocuments& pull);

// This process may own workers and take work.
bool IsServing(const Context& context);

// Live entry instances of the own domain that may own workers, with this one,
// sorted.
std::vector<std::string> DomainMembers(const Context& context);

// Live entry instances of the whole deployment, with this one.
std::size_t CountLivePeers(const Context& context);

// In a large deployment a member of another domain sends each digest to one
// member here in turn: the number of turns, by which its patience and the age
// of its digests are longer.
std::int64_t FarDigestTurns(const Context& context);

// A peer in the own domain that can be talked to now.
bool IsDomainPeer(const Context& context, const Peer& peer);

// True for one member of the domain: the one that watches the platform for
// all of them.
bool IsWatcher(const Context& context);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_MEMBERSHIP_H_
