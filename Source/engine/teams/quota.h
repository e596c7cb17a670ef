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

// Whether the job may use what is reserved for the most urgent work.
bool IsUrgent(const Configuration& configuration, const Job& job);

// The share as the accountant counts it.
QuotaHolder HolderOf(const QuotaShare& share);

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
