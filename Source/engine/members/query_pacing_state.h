// When members were sent queries that are repeated until they are answered.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_QUERY_PACING_STATE_H_
#define BURDOCKROCK_ENGINE_MEMBERS_QUERY_PACING_STATE_H_

#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <string>

#include "model/time.h"

namespace burdockrock::engine {

enum class RepeatedQuery { kAdoption, kLeases, kDigest, kRuns };
inline constexpr std::size_t kRepeatedQueries = 4;

struct QueryPace {
  Time sent_at = Time::min();
  Duration pause{0};            // until a repeat; 0: the last query is answered
  bool repeated = false;        // and no repeat was answered
  Time asked_at = Time::min();  // the first query that is not answered
  Time answered_at = Time::min();  // the last answer
  Duration reply_time{0};          // of it

  auto operator<=>(const QueryPace&) const = default;
};

struct MemberQueries {
  Time heard_at = Time::min();
  std::array<QueryPace, kRepeatedQueries> paces{};

  auto operator<=>(const MemberQueries&) const = default;
};

using QueryPacing = std::map<std::string, MemberQueries>;  // by incarnation

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_QUERY_PACING_STATE_H_
