// Jobs as journal records, and back.
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

// Makes the jobs of an adopted journal known. Tasks that have not ended are
// orphaned: the former writer may have started any of them. Returns how many
// jobs are unfinished.
std::size_t LoadJobs(Context& context,
                     const std::string& log,
                     const std::map<std::string, LiveRecord>& records);

// 0 when `text` is not a number.
std::uint64_t ParseCount(const std::string& text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_JOB_RECORDS_H_
