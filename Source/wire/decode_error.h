// Why a JSON text was not accepted.
#ifndef BURDOCKROCK_WIRE_DECODE_ERROR_H_
#define BURDOCKROCK_WIRE_DECODE_ERROR_H_

#include <compare>
#include <string>
#include <vector>

namespace burdockrock {

struct DecodeError {
  std::string path;  // "$.resources.memory_mb"; "$" is the whole text
  std::string problem;
  std::string allowed;  // what is accepted there; may be empty
  auto operator<=>(const DecodeError&) const = default;
};

using DecodeErrors = std::vector<DecodeError>;

// "$.count: -1 is negative; allowed: 1 to 100000"
std::string ToString(const DecodeError& error);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_DECODE_ERROR_H_
