#include "standin/worker_messages.h"

namespace burdockrock::standin {

const char* RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kStaleEpoch:
      return "stale_epoch";
    case Refusal::kNoRoom:
      return "no_room";
    case Refusal::kAlreadyEnded:
      return "already_ended";
    case Refusal::kNotFound:
      return "not_found";
  }
  return "not_found";
}

}  // namespace burdockrock::standin
