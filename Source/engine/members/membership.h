// Membership of the cluster: registration of this entry instance in the store,
// and the registrations of the others.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_MEMBERSHIP_H_
#define BURDOCKROCK_ENGINE_MEMBERS_MEMBERSHIP_H_

#include <string_view>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// Does what is due by now: registers this instance, renews its lease, advances
// its fence, and declares members lost whose grace has passed.
void DriveMembership(Context& context);

// A member's registration appeared, changed or disappeared in the store.
void OnMemberItem(Context& context, const StoreItem& item);
// The key was not there any more at `revision`.
void OnMemberRemoved(Context& context,
                     const std::string& key,
                     std::uint64_t revision);

// Replies of the store to this instance's own requests.
void OnLeaseGranted(Context& context, const StoreAnswer& answer);
void OnLeaseRenewed(Context& context,
                    std::uint64_t lease,
                    const StoreAnswer& answer);
void OnRegistered(Context& context,
                  std::uint64_t registration,
                  const StoreAnswer& answer);
void OnFenceAdvanced(Context& context,
                     std::uint64_t registration,
                     const StoreAnswer& answer);

// The member `from` is stopping and renews no more leases.
void OnStoppedRenewing(Context& context, const std::string& from);

// Handles the loss of this instance's registration in the store. `cause` is
// logged.
void LoseRegistration(Context& context, const char* cause);

// Requests a fence above all that the store has assigned so far.
void RequestFenceAdvance(Context& context);

// Ends the registration so that the other members take over at once.
void Deregister(Context& context);

bool IsRegistered(const State& state);

// Whether the registration was renewed within its lifetime, so that no other
// member can have declared this one lost. IsRegistered() is still true in a
// process that resumes after a pause in which its registration expired.
bool IsRegistrationCurrent(const Context& context);

// Address of a current or departed member; empty when it is unknown.
std::string AddressOf(const State& state, const std::string& incarnation);

// Null when it is not a member or was declared lost.
const MemberRecord* FindMember(const State& state,
                               const std::string& incarnation);

// The member that should own `key` by weighted rendezvous hashing, among those
// of the failure domain `domain`, or among all when the domain has none or is
// empty. Each machine counts once. Returns an empty string without members.
std::string ChooseMember(const State& state,
                         std::string_view key,
                         std::string_view domain);

// Number of members that are chosen for the key before this one.
std::size_t RankOfMember(const State& state,
                         std::string_view key,
                         const std::string& incarnation);

// Incarnations of all registered members but this instance.
std::vector<std::string> OtherMembers(const Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_MEMBERSHIP_H_
