// What keeps a run from starting within its team's cap, for logs.
#ifndef BURDOCKROCK_ENGINE_TEAMS_CAP_LIMIT_H_
#define BURDOCKROCK_ENGINE_TEAMS_CAP_LIMIT_H_

#include <compare>
#include <cstdint>

#include "engine/context.h"
#include "engine/teams/quota_state.h"

namespace burdockrock::engine {

// Why a member gets no more of a cap.
enum class CapState {
  kFull,       // the members hold it
  kBlocked,    // runs of former members may take what is left
  kUngranted,  // there is room and it is not granted, or the accountant is
               // silent
};

// The name in the log.
const char* CapStateName(CapState state);

// The dimension of a team's cap that keeps a run of the job from starting.
struct CapLimit {
  const char* dimension = "";  // the name in the log; empty: none
  CapState state = CapState::kUngranted;
  std::int64_t taken = 0;    // of the cap, as the accountant last told
  std::int64_t blocked = 0;  // of this, by runs of former members
  RefusedGrants refused{};   // since the last grant
  Duration since_refused{0};
  Duration since_told{0};   // since the accountant told; 0: it has told nothing
  std::int64_t held = 0;    // of the cap, granted to this instance
  std::int64_t usable = 0;  // by such work: of what is held, or its runs
  std::int64_t used = 0;    // of this
  std::int64_t wanted = 0;  // by this instance, as its accountant is told
  std::int64_t cap = 0;
  std::uint64_t grant = 0;  // number of the last one; 0: none yet

  auto operator<=>(const CapLimit&) const = default;
};
CapLimit CapLimitOf(const Context& context,
                    const Job& job,
                    const Resources& need);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_CAP_LIMIT_H_
