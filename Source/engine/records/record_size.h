// Keeps the records of jobs within the size of the values that the store
// accepts.
#ifndef BURDOCKROCK_ENGINE_RECORDS_RECORD_SIZE_H_
#define BURDOCKROCK_ENGINE_RECORDS_RECORD_SIZE_H_

#include <cstddef>
#include <optional>
#include <string>

#include "engine/jobs/job_model.h"
#include "engine/options.h"
#include "engine/records/record.h"

namespace burdockrock::engine {

// How many occurrences of the job may be begun and not done, at least 1. The
// job's record grows with these, whatever the number of its repetitions.
std::size_t MaxOpenOccurrences(const JobSpec& spec, const Bounds& bounds);

// Whether the job's record lists its `done` occurrences one by one, as earlier
// releases read them, rather than as ranges.
bool ListsDone(const JobSpec& spec, std::size_t done, const Bounds& bounds);

// The part of the spec because of which the store can't hold the job.
std::optional<SpecFault> CheckStoredSize(const JobSpec& spec,
                                         const Bounds& bounds);

struct BoundedRecord {
  std::string text{};      // encoded
  bool shortened = false;  // lists of runs were left out
};

// Encodes the record. If it is above the bound, leaves out the lists of runs:
// an adopter may then count an end or a crash again that a worker reports
// twice.
BoundedRecord EncodeWithin(const Bounds& bounds, JobRecord record);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_RECORD_SIZE_H_
