#include "engine/records/record.h"

#include <algorithm>

#include <fmt/format.h>

#include "engine/records/record_fields.h"
#include "net/json.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"

namespace burdockrock::engine {

namespace {

constexpr std::uint32_t kDigits = 10;
constexpr std::uint32_t kMaxMark = 35;             // 'z'
constexpr std::string_view kTeamPrefix = "team:";  // of an earlier release
// Earlier releases take an entry with it for one without a team.
constexpr std::string_view kEntryPrefix = "job ";
constexpr std::string_view kNoTeam = "1";

}  // namespace

std::string MemberKey(std::string_view incarnation) {
  return fmt::format("{}{}", kMemberPrefix, incarnation);
}

std::string NodeKey(std::string_view node) {
  return std::string(kNodePrefix) + std::string(node);
}

std::string SpecKey(std::string_view job) {
  return fmt::format("{}{}", kSpecPrefix, job);
}

std::string JobKey(std::string_view job) {
  return fmt::format("{}{}", kJobPrefix, job);
}

std::string EncodeOwned(const OwnedEntry& entry) {
  return entry.team.empty()
             ? std::string(kNoTeam)
             : std::string(kEntryPrefix).append(WriteJson(WriteValue(entry)));
}

OwnedEntry DecodeOwned(std::string_view text) {
  if (text.starts_with(kTeamPrefix)) {
    return {.team = std::string(text.substr(kTeamPrefix.size()))};
  }
  if (!text.starts_with(kEntryPrefix)) {
    return {};
  }
  auto decoded = DecodeText<OwnedEntry>(text.substr(kEntryPrefix.size()));
  auto* entry = std::get_if<OwnedEntry>(&decoded);
  return entry == nullptr ? OwnedEntry() : std::move(*entry);
}

std::string OwnedKey(std::string_view incarnation, std::string_view job) {
  return fmt::format("{}{}/{}", kOwnedPrefix, incarnation, job);
}

char FailureMark(std::uint32_t failures) {
  const std::uint32_t capped = std::min(failures, kMaxMark);
  return static_cast<char>(capped < kDigits ? '0' + capped
                                            : 'a' + (capped - kDigits));
}

std::uint32_t FailuresOf(char mark) {
  if (mark >= '0' && mark <= '9') {
    return static_cast<std::uint32_t>(mark - '0');
  }
  if (mark >= 'a' && mark <= 'z') {
    return static_cast<std::uint32_t>(mark - 'a') + kDigits;
  }
  return 0;
}

std::string EncodeSpec(const JobSpec& spec) {
  return WriteJson(WriteValue(spec));
}

std::string EncodeMember(const MemberRecord& record) {
  return WriteJson(WriteValue(record));
}

std::string EncodeJob(const JobRecord& record) {
  return WriteJson(WriteValue(record));
}

std::variant<JobSpec, DecodeError> DecodeSpec(std::string_view text) {
  return DecodeText<JobSpec>(text);
}

std::variant<MemberRecord, DecodeError> DecodeMember(std::string_view text) {
  return DecodeText<MemberRecord>(text);
}

std::variant<JobRecord, DecodeError> DecodeJob(std::string_view text) {
  return DecodeText<JobRecord>(text);
}

}  // namespace burdockrock::engine
