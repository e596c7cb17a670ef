// One entry instance of a settled group, driven event by event and timed. The
// group must not run any more after this has begun.
#ifndef BURDOCKROCK_TESTS_BENCH_DRIVEN_ENTRY_H_
#define BURDOCKROCK_TESTS_BENCH_DRIVEN_ENTRY_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bench/sample.h"
#include "scheduler/entry_group.h"

namespace burdockrock::bench {

class DrivenEntry {
 public:
  explicit DrivenEntry(EntryGroup& group);

  // Carries out one event; its processor time in microseconds goes to `took`.
  Effects Step(EventBody body, Sample& took);

  // A request arrives and is dispatched; its run is remembered.
  void Arrive(Sample& took);
  // A random one of the remembered runs ends.
  void EndOne(Sample& took);
  std::size_t running() const { return runs_.size(); }

  // A peer of the own domain offers a task, and the worker starts it.
  void Offer(const Resources& resources, Sample& took);

  void ReceiveDigest(const std::string& from, Sample& took);
  // The answer to the renewal that waits at a random worker. Its attempts are
  // those booked there.
  void AnswerRenewal(Sample& took);

  State& state() { return state_; }

 private:
  State& state_;
  Time now_;
  std::mt19937_64 random_{7};
  std::vector<CallId> runs_;
  std::uint64_t next_reply_ = 1'000'000;
  std::uint64_t next_offer_ = 0;
  std::uint64_t next_digest_ = 1'000'000'000;
};

// What the heap gets back when the state is destroyed, in bytes.
double HeapBytesOf(State& state);

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_DRIVEN_ENTRY_H_
