// A deployment of Lanyu's size: three failure domains with two entry instances
// each and 50 minions of 8 slots in all.
#ifndef BURDOCKROCK_TESTS_BENCH_LANYU_H_
#define BURDOCKROCK_TESTS_BENCH_LANYU_H_

#include <memory>
#include <string>

#include "scheduler/entry_group.h"

namespace burdockrock::bench {

inline constexpr double kLanyuSlots = 400;
inline constexpr double kLanyuMeanRunMs = 80;
// What the slots can do: 400 slots of 80 ms each.
inline constexpr double kLanyuStartsPerSecond = 5000;

// Serving, with every worker and minion owned, and then left alone for some
// seconds. `policy` is a merge patch on the policy as JSON text.
std::unique_ptr<EntryGroup> MakeLanyu(const std::string& policy = "{}",
                                      std::uint32_t workers = 0);
std::unique_ptr<EntryGroup> MakeLanyu(const EntryGroupOptions& options);

EntryGroupOptions LanyuOptions();

// A settled group of any size; throws when it does not settle.
std::unique_ptr<EntryGroup> MakeSettled(const EntryGroupOptions& options);

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_LANYU_H_
