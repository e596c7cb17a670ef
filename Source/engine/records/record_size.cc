#include "engine/records/record_size.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace burdockrock::engine {

namespace {

// Share of a record for the marks of its open occurrences. The rest is for
// their lists of runs.
constexpr std::size_t kMarksShare = 4;
// Upper bounds, in bytes: field names and numbers of one occurrence with its
// range of those that are done, the quotes around the marks of one step, and
// all else in a record.
constexpr std::size_t kOccurrenceBytes = 96;
constexpr std::size_t kStepBytes = 4;
constexpr std::size_t kHeadBytes = 1024;
// Most bytes of a record for occurrences that are done and listed one by one.
constexpr std::size_t kListedDoneBytes = 32'768;

std::size_t OccurrenceBytes(const JobSpec& spec) {
  std::size_t n = kOccurrenceBytes;
  for (const StepSpec& it : spec.steps) {
    n += kStepBytes + it.count;
  }
  return n;
}

}  // namespace

std::size_t MaxOpenOccurrences(const JobSpec& spec, const Bounds& bounds) {
  return std::max<std::size_t>(
      bounds.max_value_bytes / kMarksShare / OccurrenceBytes(spec), 1);
}

bool ListsDone(const JobSpec& spec, std::size_t done, const Bounds& bounds) {
  return done * OccurrenceBytes(spec) <=
         std::min(kListedDoneBytes, bounds.max_value_bytes / kMarksShare);
}

std::optional<SpecFault> CheckStoredSize(const JobSpec& spec,
                                         const Bounds& bounds) {
  const std::size_t record = kHeadBytes + OccurrenceBytes(spec);
  const std::size_t largest = std::max(record, EncodeSpec(spec).size());
  if (largest <= bounds.max_value_bytes) {
    return std::nullopt;
  }
  return SpecFault{
      .path = "steps",
      .problem = fmt::format("the job takes {} bytes in the store", largest),
      .allowed = fmt::format("up to {} bytes", bounds.max_value_bytes)};
}

BoundedRecord EncodeWithin(const Bounds& bounds, JobRecord record) {
  std::string text = EncodeJob(record);
  if (text.size() <= bounds.max_value_bytes) {
    return {.text = std::move(text)};
  }
  for (OccurrenceRecord& it : record.occurrences) {
    it.ended.clear();
  }
  text = EncodeJob(record);
  if (text.size() > bounds.max_value_bytes) {
    for (OccurrenceRecord& it : record.occurrences) {
      it.crashed.clear();
      it.starts.clear();
    }
    text = EncodeJob(record);
  }
  return {.text = std::move(text), .shortened = true};
}

}  // namespace burdockrock::engine
