// The accounts of the teams for which this instance was chosen: it learns what
// the members hold of each cap, and grants the rest.
#ifndef BURDOCKROCK_ENGINE_TEAMS_QUOTA_ACCOUNTS_H_
#define BURDOCKROCK_ENGINE_TEAMS_QUOTA_ACCOUNTS_H_

#include <cstdint>
#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// Takes on and leaves accounts, asks members and sends the grants that are due.
void DriveAccounts(Context& context);

void OnQuotaHoldings(Context& context,
                     const std::string& from,
                     const QuotaHoldings& holdings);

// Another member has claimed the team with a higher claim. An account of it
// here grants nothing until it has claimed the team again.
void ContestAccount(Context& context, const std::string& team);

// Called with each complete scan of the stored jobs that have not ended.
void OnOwnedScanned(Context& context, OwnedScan scan);

// The lowest priority of any queue; 0: all are equally urgent.
std::uint32_t LowestPriority(const Configuration& configuration);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_TEAMS_QUOTA_ACCOUNTS_H_
