#include "engine/context.h"

#include "engine/members/membership.h"

namespace burdockrock::engine {

void Send(Context& context, const std::string& to, PeerMessage message) {
  if (to == context.self()) {
    context.state.inbox.push_back(std::move(message));
    return;
  }
  if (const MemberRecord* member = FindMember(context.state, to)) {
    context.Emit(SendPeer{
        .to = to, .address = member->address, .message = std::move(message)});
  }
}

void Reply(Context& context, const std::string& to, PeerMessage message) {
  if (FindMember(context.state, to) != nullptr || to == context.self()) {
    return Send(context, to, std::move(message));
  }
  std::string address = AddressOf(context.state, to);
  if (!address.empty()) {
    context.Emit(SendPeer{.to = to,
                          .address = std::move(address),
                          .message = std::move(message)});
  }
}

}  // namespace burdockrock::engine
