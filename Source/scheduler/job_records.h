// Encodes jobs as journal records and decodes them.
#ifndef BURDOCKROCK_SCHEDULER_JOB_RECORDS_H_
#define BURDOCKROCK_SCHEDULER_JOB_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "ledger/slot_log.h"
#include "scheduler/jobs.h"

namespace burdockrock {

class Context;

// Loads the jobs of an adopted journal. Tasks that have not ended become
// orphaned: the former writer may have started any of them. Returns the number
// of unfinished jobs.
std::size_t LoadJobs(Context& context,
                     const std::string& log,
                     const std::map<std::string, LiveRecord>& records);

// Returns the number that `text` begins with (12 for "12x"), or 0 if there is
// none.
std::uint64_t ParseCount(const std::string& text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOB_RECORDS_H_
