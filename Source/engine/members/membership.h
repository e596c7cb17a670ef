// Which entry instances live: the own registration, and the others'.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_MEMBERSHIP_H_
#define BURDOCKROCK_ENGINE_MEMBERS_MEMBERSHIP_H_

#include <string_view>
#include <vector>

#include "engine/context.h"

namespace burdockrock::engine {

// Registers, renews, raises the fence and takes leave of members, as due.
void DriveMembership(Context& context);

void OnMemberItem(Context& context, const StoreItem& item);
void OnMemberRemoved(Context& context, const std::string& key);

void OnLeaseGranted(Context& context, const StoreAnswer& answer);
void OnLeaseRenewed(Context& context,
                    std::uint64_t lease,
                    const StoreAnswer& answer);
void OnRegistered(Context& context, const StoreAnswer& answer);
void OnFenceAdvanced(Context& context, const StoreAnswer& answer);

// The member stops and renews no leases any more.
void OnStoppedRenewing(Context& context, const std::string& from);

// The store no longer has the own registration.
void LoseRegistration(Context& context, const char* cause);

// Asks for a fence above all that the store has given so far.
void RequestFenceAdvance(Context& context);

// Ends the registration, so that the others take over at once.
void Deregister(Context& context);

bool IsRegistered(const State& state);

// No other member can have taken this one for gone: its registration was
// renewed within its lifetime. An instance that has just woken up from a freeze
// still believes in its registration.
bool IsRegistrationCurrent(const Context& context);

// Of a member, also of one that has departed; empty when it is not known.
std::string AddressOf(const State& state, const std::string& incarnation);

// Null when it is not a member, or has departed for good.
const MemberRecord* FindMember(const State& state,
                               const std::string& incarnation);

// The member that should own `key` among those of `domain`, or among all when
// none is there or `domain` is empty. Each machine counts once. Empty when
// there is no member.
std::string ChooseMember(const State& state,
                         std::string_view key,
                         std::string_view domain);

// Members that are present or still counted, without this instance.
std::vector<std::string> OtherMembers(const Context& context);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_MEMBERSHIP_H_
