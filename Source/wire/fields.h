// Names the members of a type on the wire, once for both directions.
#ifndef BURDOCKROCK_WIRE_FIELDS_H_
#define BURDOCKROCK_WIRE_FIELDS_H_

#include "model/time.h"

namespace burdockrock {

// Specialised for each type that is a JSON object. Visit calls one of these
// for each member, in order:
//   codec.Field("name", it.name)          must be there
//   codec.Optional("name", it.name, d)    left out when it equals `d`
//   codec.Name("name", it.name)           must be there; at most kMaxNameBytes
//   codec.OptionalName("name", it.name)   left out when empty
//   codec.Identifier("name", it.name)     a name that is not empty
//   codec.Address("name", it.name)        "IP:PORT"
//   codec.Clock("name", it.ms)            must be there; a reading of a clock
//   codec.OptionalClock("name", it.ms)    left out when 0
//   codec.Elements("name", it.v, it.bad)  must be there; elements that can't be
//                                         read are left out, their faults in
//                                         bad
//   codec.Amount("name", it.name)         left out when 0; at most kMaxAmount
//   codec.Choice("name", it.flag, f, t)   text `f` for false, `t` for true
//   codec.Ignored("name")                 may be there and is not read
// The codec is an ObjectReader or an ObjectWriter.
template <typename T>
struct FieldsOf;

template <typename T>
concept HasFields = requires {
  sizeof(FieldsOf<T>);
};

// The longest span of time on the wire, about 31 years. Longer ones are
// written as this one: kForever in whole milliseconds would be refused by the
// reader as an overflow, and the message with it.
inline constexpr long long kMaxMilliseconds = 1'000'000'000'000;

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_FIELDS_H_
