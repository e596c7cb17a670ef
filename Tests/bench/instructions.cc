#include "bench/instructions.h"

#include <linux/perf_event.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace burdockrock::bench {

InstructionCounter::InstructionCounter() {
  perf_event_attr attr{};
  attr.type = PERF_TYPE_HARDWARE;
  attr.size = sizeof(attr);
  attr.config = PERF_COUNT_HW_INSTRUCTIONS;
  // Counted all the time or not at all: a counter that is shared by turns gives
  // an estimate.
  attr.pinned = 1;
  attr.exclude_kernel = 1;
  attr.exclude_hv = 1;
  fd_ = static_cast<int>(syscall(SYS_perf_event_open, &attr, /*pid=*/0,
                                 /*cpu=*/-1, /*group_fd=*/-1,
                                 PERF_FLAG_FD_CLOEXEC));
}

InstructionCounter::~InstructionCounter() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

std::optional<std::uint64_t> InstructionCounter::Read() const {
  std::uint64_t n = 0;
  if (fd_ < 0 || read(fd_, &n, sizeof(n)) != sizeof(n)) {
    return std::nullopt;
  }
  return n;
}

}  // namespace burdockrock::bench
