// What the placement indexes know of a worker or a minion.
#ifndef BURDOCKROCK_PLACEMENT_TARGET_H_
#define BURDOCKROCK_PLACEMENT_TARGET_H_

#include <compare>
#include <cstdint>
#include <string>

#include "model/resources.h"

namespace burdockrock {

// A dense handle of a target; used again after the target is removed.
using TargetIndex = std::uint32_t;

// A worker or a minion as it is declared.
struct TargetInfo {
  std::string id;
  std::string service = {};  // of a minion; empty for a worker
  std::string rack = {};
  Resources capacity = {};

  auto operator<=>(const TargetInfo&) const = default;
};

// A target with its books.
struct Target {
  TargetInfo info;
  Resources free;          // negative where a worker reports too much
  std::uint32_t rank = 0;  // its number among the targets of its rack
  bool open = false;

  auto operator<=>(const Target&) const = default;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_TARGET_H_
