// Counts the instructions that this thread carries out, as a measure of work
// that does not change with the machine's speed or with what else runs on it.
#ifndef BURDOCKROCK_TESTS_BENCH_INSTRUCTIONS_H_
#define BURDOCKROCK_TESTS_BENCH_INSTRUCTIONS_H_

#include <cstdint>
#include <optional>

namespace burdockrock::bench {

class InstructionCounter {
 public:
  // Counts the calling thread from here on, outside the kernel.
  InstructionCounter();
  ~InstructionCounter();
  InstructionCounter(const InstructionCounter&) = delete;
  InstructionCounter& operator=(const InstructionCounter&) = delete;

  // Nothing where the machine or the kernel's settings give no such counter.
  std::optional<std::uint64_t> Read() const;

 private:
  int fd_ = -1;
};

}  // namespace burdockrock::bench

#endif  // BURDOCKROCK_TESTS_BENCH_INSTRUCTIONS_H_
