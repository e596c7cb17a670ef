#include "net/handshake_filter.h"

#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <limits>

#ifdef __linux__
#include <linux/filter.h>
#endif

namespace burdockrock {

#ifdef __linux__

namespace {

// Of a TCP header.
constexpr std::uint32_t kFlagsOffset = 13;
constexpr std::uint32_t kSyn = 0x02;
constexpr std::uint32_t kAck = 0x10;

// Bytes of a packet that a filter keeps.
constexpr std::uint32_t kNone = 0;
constexpr std::uint32_t kAll = std::numeric_limits<std::uint32_t>::max();

}  // namespace

// The filter of a listener sees packets from their TCP header on.
bool DropNewHandshakes(int listener) {
  std::array<sock_filter, 5> code{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, kNone),
      BPF_STMT(BPF_RET | BPF_K, kAll),
  }};
  const sock_fprog program{.len = code.size(), .filter = code.data()};
  return setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                    sizeof(program)) == 0;
}

#else

bool DropNewHandshakes(int /*listener*/) {
  return false;
}

#endif

}  // namespace burdockrock
