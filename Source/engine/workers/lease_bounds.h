// When the leases have run out that other processes renewed at a worker which
// can't be reached. Until then what runs there may go on.
#ifndef BURDOCKROCK_ENGINE_WORKERS_LEASE_BOUNDS_H_
#define BURDOCKROCK_ENGINE_WORKERS_LEASE_BOUNDS_H_

#include <string>

#include "engine/context.h"

namespace burdockrock::engine {

// A lease that is renewed now has run out after this long for certain, by any
// worker's clock.
Duration LeaseSpan(const Context& context);

// Somebody else may have renewed leases there, until now at least. What was
// told about it before counts no more.
void AssumeForeignLeases(Context& context, OwnedWorker& worker);

// Never later than what holds for the longest time in which another process may
// renew leases; sooner when all that may have done so have said until when, or
// are known to have ended.
Time ForeignLeasesEnd(const Context& context, const OwnedWorker& worker);

// This instance owns the worker no more; its last leases end at `end`.
void RememberReleasedLease(Context& context,
                           const std::string& worker,
                           Time end);

// Of leases from an earlier ownership.
Time ReleasedLeaseEnd(const Context& context, const std::string& worker);

// Asks the others about the workers that can't be reached, as due.
void DriveLeaseQueries(Context& context);

void OnLeaseQuery(Context& context,
                  const std::string& from,
                  const LeaseQuery& query);
void OnLeaseReport(Context& context,
                   const std::string& from,
                   const LeaseReport& report);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_LEASE_BOUNDS_H_
