// Reads the members of a JSON object and keeps what was wrong with them, so
// that one answer names every fault.
#ifndef BURDOCKROCK_STANDIN_FIELD_READER_H_
#define BURDOCKROCK_STANDIN_FIELD_READER_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "model/attempt.h"
#include "model/resources.h"
#include "model/time.h"

namespace burdockrock::standin {

// Each reading method marks its member as known. A member that is absent takes
// the default; without a default its absence is a fault. `name` must be a
// literal. After a fault the value read is empty.
class FieldReader {
 public:
  // `path` names the object in faults. Both must outlive the reader.
  FieldReader(const Json::Value& object, std::string_view path);

  std::string Text(const char* name,
                   std::optional<std::string> by_default = std::nullopt);
  std::uint64_t Count(
      const char* name,
      std::optional<std::uint64_t> by_default = std::nullopt,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  std::uint32_t SmallCount(const char* name, std::uint32_t by_default);
  bool Flag(const char* name, bool by_default);
  // A whole number of milliseconds, at most kMaxMilliseconds.
  Duration Milliseconds(const char* name,
                        std::optional<Duration> by_default = std::nullopt);
  Resources ResourcesOf(const char* name,
                        std::optional<Resources> by_default = std::nullopt);
  AttemptId Attempt(const char* name);
  std::vector<AttemptId> Attempts(const char* name);
  std::vector<std::string> Texts(const char* name);

  bool Has(const char* name) const;

  // The member, or null. Its content is the caller's to check.
  const Json::Value& Child(const char* name);

  void AddFault(std::string_view name, std::string_view problem);

  // All faults, members that no method asked for included; empty when there
  // are none. Call it last.
  std::string Faults();

  static constexpr std::uint64_t kMaxMilliseconds = 1'000'000'000;

 private:
  // Null when the member is absent.
  const Json::Value* Find(const char* name);
  const Json::Value* Require(const char* name, bool has_default);

  const Json::Value& object_;
  std::string_view path_;
  std::vector<std::string_view> known_;
  std::string faults_;
};

}  // namespace burdockrock::standin

#endif  // BURDOCKROCK_STANDIN_FIELD_READER_H_
