// The name of one start of a process.
#ifndef BURDOCKROCK_RUNTIME_INCARNATION_H_
#define BURDOCKROCK_RUNTIME_INCARNATION_H_

#include <cstdint>
#include <string>

namespace burdockrock {

// Differs between two starts of an instance: by the time in microseconds since
// 1970, and by the process's id for those at the same microsecond. Digits and
// lower-case letters only, since ids are joined from it by '.' and '/'.
std::string MakeIncarnation(std::uint64_t wall_us, std::uint32_t process_id);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_INCARNATION_H_
