// What the other members understand, as the names of their incarnations tell.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_MEMBER_FEATURES_H_
#define BURDOCKROCK_ENGINE_MEMBERS_MEMBER_FEATURES_H_

#include <string>
#include <string_view>

namespace burdockrock::engine {

// The name of an incarnation that understands all that this release sends.
// Earlier releases refuse records and messages with fields that they don't
// know, so that the name is the only place to announce it.
std::string WithFeatures(std::string incarnation);

// Whether the member understands MemberLoad and what was added with it. Such a
// member knows teams, too.
bool KnowsLoad(std::string_view incarnation);

// Whether the member passes digests on, and takes those that others pass on.
// Such a member knows loads, too.
bool KnowsRelays(std::string_view incarnation);

// Whether the member understands what a stopping one hands over of its jobs.
// Such a member knows relays, too.
bool KnowsHandovers(std::string_view incarnation);

// Whether the member numbers its registrations, and binds what it holds of caps
// to them. Such a member knows handovers, too.
bool KnowsRegistrations(std::string_view incarnation);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_MEMBER_FEATURES_H_
