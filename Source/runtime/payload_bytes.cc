#include "runtime/payload_bytes.h"

#include <string>
#include <vector>

namespace burdockrock {

namespace {

std::size_t Of(const AttemptReport& report) {
  return report.answer.size();
}

std::size_t Of(const std::vector<AttemptReport>& reports) {
  std::size_t bytes = 0;
  for (const AttemptReport& it : reports) {
    bytes += Of(it);
  }
  return bytes;
}

std::size_t Of(const WorkAnswer& answer) {
  const auto* ran = std::get_if<Ran>(&answer.verdict);
  return ran == nullptr ? 0 : ran->answer.size();
}

std::size_t Of(const WorkStatus& status) {
  std::size_t bytes = 0;
  for (const std::string& it : status.answers) {
    bytes += it.size();
  }
  return bytes;
}

std::size_t Of(const std::vector<TaskUpdate>& updates) {
  std::size_t bytes = 0;
  for (const TaskUpdate& it : updates) {
    bytes += Of(it.report);
  }
  return bytes;
}

}  // namespace

std::size_t PayloadBytes(const WorkerCommand& command) {
  if (const auto* start = std::get_if<StartCommand>(&command)) {
    return start->payload.size();
  }
  const auto* run = std::get_if<RunCommand>(&command);
  return run == nullptr ? 0 : run->payload.size();
}

std::size_t PayloadBytes(const WorkerResult& result) {
  if (const auto* ended = std::get_if<RunEnded>(&result)) {
    return ended->answer.size();
  }
  if (const auto* claimed = std::get_if<ClaimAccepted>(&result)) {
    return Of(claimed->attempts);
  }
  const auto* renewed = std::get_if<RenewDone>(&result);
  return renewed == nullptr ? 0 : Of(renewed->attempts);
}

std::size_t PayloadBytes(const PeerMessage& message) {
  if (const auto* forward = std::get_if<ForwardRequest>(&message)) {
    return forward->request.payload.size();
  }
  if (const auto* answer = std::get_if<ForwardAnswer>(&message)) {
    return Of(answer->answer);
  }
  if (const auto* offer = std::get_if<TaskOffer>(&message)) {
    return offer->payload.size();
  }
  if (const auto* update = std::get_if<TaskUpdate>(&message)) {
    return Of(update->report);
  }
  if (const auto* found = std::get_if<AttemptSearchAnswer>(&message)) {
    return Of(found->found);
  }
  const auto* told = std::get_if<AskWorkAnswer>(&message);
  return told == nullptr ? 0 : Of(told->status);
}

std::size_t PayloadBytes(const CallerAnswer& answer) {
  if (const auto* work = std::get_if<WorkAnswer>(&answer)) {
    return Of(*work);
  }
  const auto* status = std::get_if<WorkStatus>(&answer);
  return status == nullptr ? 0 : Of(*status);
}

}  // namespace burdockrock
