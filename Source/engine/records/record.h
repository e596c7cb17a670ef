// The records in the store and their keys.
#ifndef BURDOCKROCK_ENGINE_RECORDS_RECORD_H_
#define BURDOCKROCK_ENGINE_RECORDS_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "engine/jobs/job_model.h"
#include "model/resources.h"
#include "model/time.h"
#include "wire/decode_error.h"

namespace burdockrock::engine {

// Keys:
// `member/INCARNATION`: a MemberRecord, under a lease;
// `node/NODE`: the last incarnation of a machine, kept after its lease expired;
// `spec/JOB`: a JobSpec, never changed;
// `job/JOB`: a JobRecord;
// `owned/INCARNATION/JOB`: index by owner of the jobs that have not ended.
inline constexpr std::string_view kMemberPrefix = "member/";
inline constexpr std::string_view kNodePrefix = "node/";
inline constexpr std::string_view kSpecPrefix = "spec/";
inline constexpr std::string_view kJobPrefix = "job/";
inline constexpr std::string_view kOwnedPrefix = "owned/";

// Key of one entry.
std::string MemberKey(std::string_view incarnation);
std::string NodeKey(std::string_view node);
std::string SpecKey(std::string_view job);
std::string JobKey(std::string_view job);
std::string OwnedKey(std::string_view incarnation, std::string_view job);

// The value of an entry under kOwnedPrefix: what others need to know of a job
// before they read its record. Records have no fields for it: earlier releases
// could not read them.
struct OwnedEntry {
  std::string team{};  // empty: none
  // The most that the job's runs take at once; unset: not known. Only jobs of a
  // team tell it.
  std::optional<Resources> most{};
  bool excess = false;  // beyond the team's entitlement

  auto operator<=>(const OwnedEntry&) const = default;
};

std::string EncodeOwned(const OwnedEntry& entry);
// Reads the forms of earlier releases, too; any other text is a job without a
// team.
OwnedEntry DecodeOwned(std::string_view text);

// The registration of an entry instance.
struct MemberRecord {
  std::string incarnation{};
  std::string node{};  // the machine; the same for later incarnations
  std::string domain{};
  std::string address{};     // its listener for peers
  std::uint32_t weight = 1;  // its share of workers and jobs

  auto operator<=>(const MemberRecord&) const = default;
};

// Runs of one task that have ended and are counted in its mark. Workers list an
// end until it is acknowledged, so a new owner of the job may receive it again
// and must not count it twice.
struct EndedRuns {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::vector<std::uint64_t> runs{};

  auto operator<=>(const EndedRuns&) const = default;
};

// Runs of one task whose workers crashed.
struct CrashedRuns {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::vector<std::uint64_t> runs{};
  std::vector<std::string> workers{};    // of these runs
  std::vector<std::uint64_t> excused{};  // of these runs
  std::uint32_t lost_starts = 0;         // see TaskCrashes
  Duration longest{0};                   // the longest of these runs

  auto operator<=>(const CrashedRuns&) const = default;
};

// A start of a task that is stored before it is sent: if the run is found
// nowhere after the loss of the job's owner, its worker may have crashed.
struct StoredStart {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint64_t run = 0;
  std::string worker{};

  auto operator<=>(const StoredStart&) const = default;
};

// The tasks of one occurrence: one string per step with one mark per task, 'D'
// for done, else the number of failed runs as '0' to '9' and then 'a' to 'z'.
// 'z' (35) also stands for more.
struct OccurrenceRecord {
  std::uint32_t number = 0;
  std::vector<std::string> steps{};
  // Of tasks that are not done.
  std::vector<EndedRuns> ended{};
  std::vector<CrashedRuns> crashed{};
  std::vector<StoredStart> starts{};

  auto operator<=>(const OccurrenceRecord&) const = default;
};

// Consecutive occurrences, from `first` to `last`.
struct OccurrenceRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;

  auto operator<=>(const OccurrenceRange&) const = default;
};

inline constexpr char kDoneMark = 'D';
// Conversion between a number of failed runs and its mark.
char FailureMark(std::uint32_t failures);
std::uint32_t FailuresOf(char mark);

// The owner of a job and its progress.
struct JobRecord {
  std::string owner{};           // an incarnation
  std::uint64_t generation = 0;  // rises with each change of owner
  std::uint64_t write = 0;       // distinguishes writes of the same owner
  JobState state = JobState::kQueued;
  std::string queue{};
  std::int64_t ended_ms = 0;     // wall time since 1970; 0: not ended
  std::int64_t accepted_ms = 0;  // wall time since 1970
  std::string cause{};           // of a job that failed
  // Those that have begun. A repeated job's record leaves out those of which
  // there is nothing to tell yet, and those in `done`.
  std::vector<OccurrenceRecord> occurrences{};
  // Of a repeated job with many done occurrences, in order. Earlier releases
  // can't read a record that has it.
  std::vector<OccurrenceRange> done{};

  auto operator<=>(const JobRecord&) const = default;
};

// The stored values are JSON.
std::string EncodeSpec(const JobSpec& spec);
std::string EncodeMember(const MemberRecord& record);
std::string EncodeJob(const JobRecord& record);

// Decoded, or the first fault of the text.
std::variant<JobSpec, DecodeError> DecodeSpec(std::string_view text);
std::variant<MemberRecord, DecodeError> DecodeMember(std::string_view text);
std::variant<JobRecord, DecodeError> DecodeJob(std::string_view text);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_RECORD_H_
