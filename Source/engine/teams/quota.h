// Keeps what a team has running at all workers together within its cap.
//
// Each job's owner counts what the runs of its jobs may take, and starts a run
// only within what it holds of the team's cap. One member, chosen by hashing,
// accounts for a team and grants parts of the cap to the owners. Holdings need
// no lease: a member that leaves is replaced as the owner of its jobs, and the
// accountant counts its holding until the new owners have reported theirs. A
// new accountant counts members that have not reported with all that their
// stored jobs may take.
#ifndef BURDOCKROCK_ENGINE_TEAMS_QUOTA_H_
#define BURDOCKROCK_ENGINE_TEAMS_QUOTA_H_

#include <compare>
#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Updates what own jobs need, accounts for the teams of this instance, and
// sends what is due.
void DriveQuota(Context& context);

void OnQuotaGrants(Context& context,
                   const std::string& from,
                   const QuotaGrants& grants);
void OnQuotaClaims(Context& context,
                   const std::string& from,
                   const QuotaClaims& claims);

// Whether runs that take `need` may start for the job's team.
bool HasQuota(const Context& context, const Job& job, const Resources& need);

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
  std::int64_t held = 0;       // of the cap, granted to this instance
  std::int64_t usable = 0;     // by such work: of what is held, or its runs
  std::int64_t used = 0;       // of this
  std::int64_t wanted = 0;     // by this instance, as its accountant is told
  std::int64_t cap = 0;
  std::uint64_t grant = 0;  // number of the last one; 0: none yet

  auto operator<=>(const CapLimit&) const = default;
};
CapLimit CapLimitOf(const Context& context,
                    const Job& job,
                    const Resources& need);

// Whether a step of the job's team that could start, and needs no more than
// `least`, waits here for the team's cap already. Where all that wait need
// more, or what they lack is not the cap, it may have room for `least`.
bool WaitsForCap(const Context& context,
                 const Job& job,
                 const Resources& least);

// Whether what own jobs take has been counted after this time. Tasks that gave
// up a worker since then still count.
bool IsCountedSince(const Context& context, Time since);

// Counts a start until the next DriveQuota() counts it with the others.
void TakeQuota(Context& context, const Job& job, const Resources& need);

// Called when this instance's registration was lost: the other members give
// what it held to new owners of its jobs, and account for its teams.
void ForgetHoldings(QuotaState& quota);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_QUOTA_H_
