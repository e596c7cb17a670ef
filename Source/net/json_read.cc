#include "net/json_read.h"

#include <cmath>
#include <cstring>
#include <variant>

#include "net/address.h"

namespace burdockrock {

std::optional<std::uint64_t> ReadWhole(const Json::Value& value,
                                       std::uint64_t most) {
  if (!value.isUInt64() || value.asUInt64() > most) {
    return std::nullopt;
  }
  return value.asUInt64();
}

std::optional<std::int64_t> ReadInteger(const Json::Value& value,
                                        std::int64_t least,
                                        std::int64_t most) {
  if (!value.isInt64() || value.asInt64() < least || value.asInt64() > most) {
    return std::nullopt;
  }
  return value.asInt64();
}

std::optional<double> ReadReal(const Json::Value& value,
                               double least,
                               double most) {
  if (!value.isNumeric()) {
    return std::nullopt;
  }
  const double number = value.asDouble();
  const bool in_range =
      std::isfinite(number) && number >= least && number <= most;
  return in_range ? std::optional(number) : std::nullopt;
}

std::optional<bool> ReadBool(const Json::Value& value) {
  return value.isBool() ? std::optional(value.asBool()) : std::nullopt;
}

std::optional<std::string> ReadText(const Json::Value& value) {
  return value.isString() ? std::optional(value.asString()) : std::nullopt;
}

std::optional<std::string> ReadAddress(const Json::Value& value) {
  auto text = ReadText(value);
  if (!text) {
    return std::nullopt;
  }
  const auto parsed = ParseAddress(*text);
  const auto* endpoint = std::get_if<TcpEndpoint>(&parsed);
  return endpoint != nullptr && endpoint->port() != 0 ? text : std::nullopt;
}

const Json::Value& MemberOf(const Json::Value& object, const char* name) {
  const Json::Value* found =
      object.isObject() ? object.find(name, name + std::strlen(name)) : nullptr;
  return found == nullptr ? Json::Value::nullSingleton() : *found;
}

const Json::Value& ElementOf(const Json::Value& array, Json::ArrayIndex index) {
  return array.isArray() && index < array.size() ? array[index]
                                                 : Json::Value::nullSingleton();
}

}  // namespace burdockrock
