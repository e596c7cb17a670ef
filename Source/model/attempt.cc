#include "model/attempt.h"

#include <charconv>

#include <fmt/format.h>

namespace burdockrock {

namespace {

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || stop != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::size_t AttemptIdHash::operator()(const AttemptId& id) const {
  const std::size_t job = std::hash<std::string>()(id.job);
  const std::size_t rest = (static_cast<std::size_t>(id.task) << 32U) ^
                           static_cast<std::size_t>(id.number);
  return job ^ std::hash<std::size_t>()(rest * 0x9e3779b97f4a7c15ULL);
}

std::string ToString(const AttemptId& id) {
  return fmt::format("{}/{}/{}", id.job, id.task, id.number);
}

std::optional<AttemptId> ParseAttemptId(std::string_view text) {
  const std::size_t last = text.rfind('/');
  if (last == std::string_view::npos || last == 0) {
    return std::nullopt;
  }
  const std::size_t middle = text.rfind('/', last - 1);
  if (middle == std::string_view::npos || middle == 0) {
    return std::nullopt;
  }
  const auto task =
      ParseNumber<std::uint32_t>(text.substr(middle + 1, last - middle - 1));
  const auto number = ParseNumber<std::uint64_t>(text.substr(last + 1));
  if (!task || !number) {
    return std::nullopt;
  }
  return AttemptId{.job = std::string(text.substr(0, middle)),
                   .task = *task,
                   .number = *number};
}

const char* AttemptStateName(AttemptState state) {
  switch (state) {
    case AttemptState::kHeld:
      return "held";
    case AttemptState::kRunning:
      return "running";
    case AttemptState::kEnded:
      return "ended";
  }
  return "ended";
}

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNone:
      return "none";
    case Outcome::kDone:
      return "done";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kStopped:
      return "stopped";
    case Outcome::kLeaseLapsed:
      return "lease_lapsed";
    case Outcome::kWorkerCrashed:
      return "worker_crashed";
  }
  return "none";
}

std::optional<AttemptState> ParseAttemptState(std::string_view text) {
  for (const AttemptState it :
       {AttemptState::kHeld, AttemptState::kRunning, AttemptState::kEnded}) {
    if (text == AttemptStateName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

std::optional<Outcome> ParseOutcome(std::string_view text) {
  for (const Outcome it :
       {Outcome::kNone, Outcome::kDone, Outcome::kFailed, Outcome::kStopped,
        Outcome::kLeaseLapsed, Outcome::kWorkerCrashed}) {
    if (text == OutcomeName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

}  // namespace burdockrock
