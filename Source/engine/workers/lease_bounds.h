// Computes when the leases that other processes renewed at an unreachable
// worker have expired. Until then its runs may continue.
#ifndef BURDOCKROCK_ENGINE_WORKERS_LEASE_BOUNDS_H_
#define BURDOCKROCK_ENGINE_WORKERS_LEASE_BOUNDS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// The time after which a lease that is renewed now has expired by any worker's
// clock.
Duration LeaseSpan(const Context& context);

// Assumes that other processes have renewed leases at the worker until now, and
// discards earlier lease reports.
void AssumeForeignLeases(Context& context, OwnedWorker& worker);

// When the leases that other processes may have renewed have expired. Bounded
// by the longest time for which a process renews leases without the store;
// sooner when every such process has reported its expiry or is known to have
// ended.
Time ForeignLeasesEnd(const Context& context, const OwnedWorker& worker);

// Remembers that the leases of a worker that this instance no longer owns end
// at `end`.
void RememberReleasedLease(Context& context,
                           const std::string& worker,
                           Time end);

// The end of leases from an earlier ownership; 0 when there are none.
Time ReleasedLeaseEnd(const Context& context, const std::string& worker);

// Queries other members about the leases of unreachable workers, as due.
void DriveLeaseQueries(Context& context);

void OnLeaseQuery(Context& context,
                  const std::string& from,
                  const LeaseQuery& query);
void OnLeaseReport(Context& context,
                   const std::string& from,
                   const LeaseReport& report);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_LEASE_BOUNDS_H_
