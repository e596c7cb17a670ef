#include "wire/work_answer_codec.h"

#include <string>
#include <type_traits>
#include <utility>

#include "wire/value_reader.h"
#include "wire/value_writer.h"

namespace burdockrock {

namespace {

constexpr const char* kVerdictNames = "ran, not_run, may_have_run, accepted";

template <typename Codec, typename Value>
void VisitVerdict(Codec& codec, Value& it) {
  using Type = std::remove_const_t<Value>;
  if constexpr (std::is_same_v<Type, Ran>) {
    codec.Optional("failed", it.failed, false);
    codec.Field("answer", it.answer);
  } else if constexpr (std::is_same_v<Type, NotRun>) {
    codec.Field("reason", it.reason);
    codec.Optional("detail", it.detail, std::string());
    codec.Optional("retry_after_ms", it.retry_after, Duration(0));
  } else if constexpr (std::is_same_v<Type, MayHaveRun>) {
    codec.Field("reason", it.reason);
    codec.Optional("detail", it.detail, std::string());
  }
}

NotRun RoundedUp(NotRun verdict) {
  verdict.retry_after =
      std::chrono::ceil<std::chrono::milliseconds>(verdict.retry_after);
  return verdict;
}

// Sets `out` to the alternative that `name` names; false if there is none.
template <std::size_t kIndex = 0>
bool SelectVerdict(const std::string& name, Verdict& out) {
  if constexpr (kIndex < std::variant_size_v<Verdict>) {
    out.emplace<kIndex>();
    return name == VerdictName(out) || SelectVerdict<kIndex + 1>(name, out);
  } else {
    return false;
  }
}

}  // namespace

Json::Value WriteValue(const WorkAnswer& answer) {
  Json::Value object(Json::objectValue);
  ObjectWriter writer(object);
  writer.Field("verdict", std::string(VerdictName(answer.verdict)));
  writer.OptionalName("id", answer.id);
  writer.Optional("waited_ms", answer.waited, Duration(0));
  if (const auto* not_run = std::get_if<NotRun>(&answer.verdict)) {
    const NotRun rounded = RoundedUp(*not_run);
    VisitVerdict(writer, rounded);
    return object;
  }
  std::visit([&writer](const auto& it) { VisitVerdict(writer, it); },
             answer.verdict);
  return object;
}

void ReadValue(const JsonPlace& place, WorkAnswer& out) {
  ObjectReader reader(place);
  if (!reader.Begin()) {
    return;
  }
  std::string verdict;
  reader.Field("verdict", verdict);
  reader.OptionalName("id", out.id);
  reader.Optional("waited_ms", out.waited, Duration(0));
  if (!SelectVerdict(verdict, out.verdict)) {
    place.FailMember("verdict", "is unknown", kVerdictNames);
    return;
  }
  std::visit([&reader](auto& it) { VisitVerdict(reader, it); }, out.verdict);
  reader.End();
}

}  // namespace burdockrock
