// Calls to the platform's key-value service and what they answer, as data.
// docs/design/protocols.md gives the wire form.
#ifndef BURDOCKROCK_MODEL_PLATFORM_H_
#define BURDOCKROCK_MODEL_PLATFORM_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model/time.h"
#include "model/work.h"

namespace burdockrock {

// The platform's revision of a key; 0 stands for a key that does not exist.
using Revision = std::uint64_t;

inline constexpr std::size_t kMaxPlatformValueBytes = 1'000'000;

struct KvGet {
  std::string key;
  auto operator<=>(const KvGet&) const = default;
};

// Writes `value` if the key's revision is `expect` (0: the key must not
// exist); without `expect` whatever is there.
struct KvPut {
  std::string key;
  std::string value;
  std::optional<Revision> expect;
  auto operator<=>(const KvPut&) const = default;
};

struct KvDelete {
  std::string key;
  std::optional<Revision> expect;
  auto operator<=>(const KvDelete&) const = default;
};

struct KvRange {
  std::string prefix;
  auto operator<=>(const KvRange&) const = default;
};

// Answers when a key below `prefix` changed after revision `after`, or with no
// items when `wait` has passed.
struct KvWatch {
  std::string prefix;
  Revision after = 0;
  Duration wait{0};
  auto operator<=>(const KvWatch&) const = default;
};

// The lagging list of live and leaving instances.
struct InstancesWatch {
  Revision after = 0;
  Duration wait{0};
  auto operator<=>(const InstancesWatch&) const = default;
};

using PlatformOperation =
    std::variant<KvGet, KvPut, KvDelete, KvRange, KvWatch, InstancesWatch>;

struct KvItem {
  std::string key;
  std::string value;
  Revision revision = 0;
  bool deleted = false;
  auto operator<=>(const KvItem&) const = default;
};

// Answers KvGet (one item), KvRange and KvWatch.
struct KvItems {
  Revision revision = 0;
  std::vector<KvItem> items;
  auto operator<=>(const KvItems&) const = default;
};

// A put or delete took effect.
struct KvDone {
  Revision revision = 0;
  auto operator<=>(const KvDone&) const = default;
};

// A put or delete was refused: the key's revision is another one.
struct KvConflict {
  Revision revision = 0;
  auto operator<=>(const KvConflict&) const = default;
};

struct KvMissing {
  auto operator<=>(const KvMissing&) const = default;
};

struct KvTooLarge {
  auto operator<=>(const KvTooLarge&) const = default;
};

struct InstanceList {
  Revision revision = 0;
  std::vector<InstanceInfo> instances;
  std::vector<std::string> unreadable{};  // what is wrong with rows left out
  auto operator<=>(const InstanceList&) const = default;
};

// No answer. `may_have_taken_effect` is false only when the call is known not
// to have left this process or to have been refused before it was read.
struct PlatformUnavailable {
  bool may_have_taken_effect = true;
  std::string message;
  auto operator<=>(const PlatformUnavailable&) const = default;
};

using PlatformResult = std::variant<KvItems,
                                    KvDone,
                                    KvConflict,
                                    KvMissing,
                                    KvTooLarge,
                                    InstanceList,
                                    PlatformUnavailable>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_PLATFORM_H_
