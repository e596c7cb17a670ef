#include "model/caller_message.h"

namespace burdockrock {

const char* WorkStateName(WorkState state) {
  switch (state) {
    case WorkState::kQueued:
      return "queued";
    case WorkState::kRunning:
      return "running";
    case WorkState::kFinished:
      return "finished";
    case WorkState::kFailed:
      return "failed";
    case WorkState::kCancelled:
      return "cancelled";
  }
  return "failed";
}

}  // namespace burdockrock
