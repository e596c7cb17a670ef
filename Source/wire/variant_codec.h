// Variants in JSON: the name of the alternative beside its members.
#ifndef BURDOCKROCK_WIRE_VARIANT_CODEC_H_
#define BURDOCKROCK_WIRE_VARIANT_CODEC_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <json/value.h>

#include "wire/value_reader.h"
#include "wire/value_writer.h"

namespace burdockrock {

// One for each alternative, in the variant's order.
template <typename Variant>
using AlternativeNames = std::array<const char*, std::variant_size_v<Variant>>;

// The members of the alternative that is held.
template <typename Variant>
Json::Value WriteAlternative(const Variant& value) {
  return std::visit([](const auto& it) { return WriteValue(it); }, value);
}

namespace internal {

template <typename Variant, std::size_t kIndex>
Decoded<Variant> DecodeAs(const Json::Value& value) {
  using Alternative = std::variant_alternative_t<kIndex, Variant>;
  auto decoded = DecodeValue<Alternative>(value);
  if (auto* error = std::get_if<DecodeError>(&decoded)) {
    return std::move(*error);
  }
  return Variant(std::get<Alternative>(std::move(decoded)));
}

template <typename Variant>
using AlternativeDecoder = Decoded<Variant> (*)(const Json::Value&);

template <typename Variant, std::size_t... kIndices>
constexpr auto MakeDecoders(std::index_sequence<kIndices...> /*indices*/) {
  return std::array<AlternativeDecoder<Variant>, sizeof...(kIndices)>{
      &DecodeAs<Variant, kIndices>...};
}

}  // namespace internal

template <typename Variant>
Decoded<Variant> DecodeAlternative(const AlternativeNames<Variant>& names,
                                   std::string_view name,
                                   const Json::Value& value) {
  static constexpr auto kDecoders = internal::MakeDecoders<Variant>(
      std::make_index_sequence<std::variant_size_v<Variant>>());
  for (std::size_t it = 0; it < names.size(); ++it) {
    if (name == names[it]) {
      return kDecoders[it](value);
    }
  }
  std::string allowed;
  for (const char* it : names) {
    allowed += allowed.empty() ? "" : ", ";
    allowed += it;
  }
  return DecodeError{.problem = "there is no " + std::string(name),
                     .allowed = std::move(allowed)};
}

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_VARIANT_CODEC_H_
