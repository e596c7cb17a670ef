#include "wire/value_writer.h"

#include <algorithm>

namespace burdockrock {

Json::Value WriteValue(std::uint32_t value) {
  return Json::UInt(value);
}

Json::Value WriteValue(std::uint64_t value) {
  return Json::UInt64(value);
}

Json::Value WriteValue(std::int64_t value) {
  return Json::Int64(value);
}

Json::Value WriteValue(double value) {
  return value;
}

Json::Value WriteValue(bool value) {
  return value;
}

Json::Value WriteValue(const std::string& value) {
  return value;
}

Json::Value WriteValue(Duration value) {
  return Json::Int64(std::clamp(ToMilliseconds(value), 0LL, kMaxMilliseconds));
}

Json::Value WriteValue(const AttemptId& value) {
  return ToString(value);
}

}  // namespace burdockrock
