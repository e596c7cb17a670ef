#include "engine/members/query_pacing.h"

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

#include "engine/limits.h"

namespace burdockrock::engine {

namespace {

constexpr Duration kLongestPause = milliseconds(3000);
// A member that hears this one and is not heard takes a run that is not queried
// for an abandoned one.
constexpr Duration kLongestRunPause = milliseconds(1000);
// For a member that is heard: the query or its answer got lost.
constexpr Duration kLongestPauseIfHeard = milliseconds(1000);
// A member that was not heard for this long and is heard again is asked at
// once. Longer than the pauses between the digests of a large fleet.
constexpr Duration kSilence = milliseconds(2000);
// A pause is longer than the doubled one by at most this part of it.
constexpr std::int64_t kJitterDivisor = 4;

Duration FirstPause(RepeatedQuery query) {
  switch (query) {
    case RepeatedQuery::kAdoption:
      return kAdoptQueryInterval;
    case RepeatedQuery::kLeases:
    case RepeatedQuery::kDigest:
      return kPeerReplyTimeout;
    case RepeatedQuery::kRuns:
      return kOfferRetryDelay;
  }
  return kPeerReplyTimeout;
}

Duration LongestPause(RepeatedQuery query) {
  return query == RepeatedQuery::kRuns ? kLongestRunPause : kLongestPause;
}

// A query for a worker that was not asked about before waits for the repeat of
// those before it: to a member that is heard it goes as soon as without them.
Duration LongestPauseIfHeard(RepeatedQuery query) {
  return query == RepeatedQuery::kLeases ? kPeerReplyTimeout
                                         : kLongestPauseIfHeard;
}

// Runs are also reported with other messages, or not at all.
bool IsAnsweredByAny(RepeatedQuery query) {
  return query == RepeatedQuery::kRuns;
}

const MemberQueries* Find(const State& state, const std::string& member) {
  const auto it = state.query_pacing.find(member);
  return it == state.query_pacing.end() ? nullptr : &it->second;
}

bool IsHeardSinceQuery(const MemberQueries& queries, const QueryPace& pace) {
  return queries.heard_at > pace.sent_at;
}

// Derived from what differs between members and queries, so that the repeats of
// many members don't meet.
Duration Jitter(const std::string& self,
                const std::string& member,
                const QueryPace& pace) {
  const auto seed = static_cast<std::uint64_t>(pace.sent_at.count());
  const std::uint64_t digest = XXH64(self.data(), self.size(),
                                     XXH64(member.data(), member.size(), seed));
  const std::int64_t most = pace.pause.count() / kJitterDivisor;
  return Duration(
      static_cast<std::int64_t>(digest % static_cast<std::uint64_t>(most + 1)));
}

// A repeat before a reply can be there, by the time that the last one took,
// would only be one more message to a member that is late.
Duration FirstPauseAfter(const QueryPace& pace, RepeatedQuery query) {
  return std::max(FirstPause(query),
                  std::min(2 * pace.reply_time, LongestPauseIfHeard(query)));
}

bool IsAnswered(const MemberQueries& queries,
                const QueryPace& pace,
                RepeatedQuery query) {
  return pace.pause == Duration(0) ||
         (IsAnsweredByAny(query) && IsHeardSinceQuery(queries, pace));
}

}  // namespace

bool MayRepeat(const Context& context,
               const std::string& member,
               RepeatedQuery query) {
  const MemberQueries* queries = Find(context.state, member);
  if (queries == nullptr) {
    return true;
  }
  const QueryPace& pace = queries->paces[static_cast<std::size_t>(query)];
  if (IsAnswered(*queries, pace, query)) {
    return HasPassed(context.now, pace.answered_at,
                     std::min(pace.reply_time, LongestPauseIfHeard(query)));
  }
  Duration pause = pace.pause;
  if (pace.repeated) {
    pause += Jitter(context.self(), member, pace);
  }
  if (IsHeardSinceQuery(*queries, pace)) {
    pause = std::min(pause, LongestPauseIfHeard(query));
  }
  return HasPassed(context.now, pace.sent_at, pause);
}

bool MayQuery(const Context& context,
              const std::string& member,
              RepeatedQuery query) {
  const MemberQueries* queries = Find(context.state, member);
  return queries == nullptr ||
         !queries->paces[static_cast<std::size_t>(query)].repeated ||
         MayRepeat(context, member, query);
}

void NoteQueried(Context& context,
                 const std::string& member,
                 RepeatedQuery query) {
  if (member == context.self()) {
    return;  // answers itself in the same step
  }
  MemberQueries& queries = context.state.query_pacing[member];
  QueryPace& pace = queries.paces[static_cast<std::size_t>(query)];
  if (IsAnswered(queries, pace, query)) {
    pace.sent_at = context.now;
    pace.asked_at = context.now;
    pace.pause = FirstPauseAfter(pace, query);
    pace.repeated = false;
  } else if (MayRepeat(context, member, query)) {
    pace.sent_at = context.now;
    pace.pause = std::min(2 * pace.pause, LongestPause(query));
    pace.repeated = true;
  }
}

void NoteAnswered(Context& context,
                  const std::string& member,
                  RepeatedQuery query) {
  const auto it = context.state.query_pacing.find(member);
  if (it == context.state.query_pacing.end()) {
    return;
  }
  QueryPace& pace = it->second.paces[static_cast<std::size_t>(query)];
  if (pace.pause != Duration(0)) {
    pace = {.sent_at = pace.sent_at,
            .answered_at = context.now,
            .reply_time = context.now - pace.asked_at};
  }
}

void NoteHeard(Context& context, const std::string& member) {
  MemberQueries& queries = context.state.query_pacing[member];
  if (HasPassed(context.now, queries.heard_at, kSilence)) {
    queries.paces = {};
  }
  queries.heard_at = context.now;
}

void ForgetQueriesOfDeparted(Context& context) {
  const MembersState& members = context.state.members;
  if (context.state.query_pacing.size() <=
      members.present.size() + members.departed.size()) {
    return;
  }
  std::erase_if(context.state.query_pacing, [&](const auto& it) {
    return !members.present.contains(it.first) &&
           !members.departed.contains(it.first);
  });
}

}  // namespace burdockrock::engine
