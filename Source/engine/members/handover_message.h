// What an instance that stops, or gives up workers, tells the next owners.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_HANDOVER_MESSAGE_H_
#define BURDOCKROCK_ENGINE_MEMBERS_HANDOVER_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "model/time.h"

namespace burdockrock::engine {

// One task of a step that is handed over.
struct HandedTask {
  std::uint32_t index = 0;
  std::string worker{};      // where its run may be; empty: it has no run
  std::string checkpoint{};  // where its next run resumes

  auto operator<=>(const HandedTask&) const = default;
};

// The tasks of a lasting step that have no run. Where their number at a worker
// is limited, also those that may have one.
struct HandedStep {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<HandedTask> tasks{};

  auto operator<=>(const HandedStep&) const = default;
};

// A task under which workers crashed, and how long ago the last one did.
struct HandedCrash {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  Duration ago{0};

  auto operator<=>(const HandedCrash&) const = default;
};

// Counts only for the owner with the next generation: others may have started
// the tasks since.
struct HandedJob {
  std::string job{};
  std::uint64_t generation = 0;  // of the sender's ownership
  std::vector<HandedStep> steps{};
  std::vector<HandedCrash> crashes{};

  auto operator<=>(const HandedJob&) const = default;
};

// The sender is stopping and has sent its last offer. Only to members for which
// KnowsHandovers() is true.
struct JobsHandedOver {
  std::vector<HandedJob> jobs{};

  auto operator<=>(const JobsHandedOver&) const = default;
};

// A run and how long it has been at work.
struct HandedRun {
  std::string task{};
  std::uint64_t run = 0;
  Duration lasted{0};

  auto operator<=>(const HandedRun&) const = default;
};

// What runs at one worker.
struct HandedWorker {
  std::string worker{};
  std::vector<HandedRun> runs{};

  auto operator<=>(const HandedWorker&) const = default;
};

// Sent to the next owner of the workers by one that gives them up. Only to
// members for which KnowsHandovers() is true.
struct RunsHandedOver {
  std::vector<HandedWorker> workers{};

  auto operator<=>(const RunsHandedOver&) const = default;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_HANDOVER_MESSAGE_H_
