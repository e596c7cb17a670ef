// Planned stops: of this instance, and what others handed over in theirs.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_STOP_STATE_H_
#define BURDOCKROCK_ENGINE_MEMBERS_STOP_STATE_H_

#include <map>
#include <string>

#include "engine/members/handover_message.h"
#include "model/time.h"

namespace burdockrock::engine {

// A planned stop of this instance.
struct StopState {
  bool requested = false;
  Time requested_at{0};
  Time stage_since{0};    // start of the current stage
  bool released = false;  // the registration was ended
  bool ended = false;
  // What was handed over last, by job.
  std::map<std::string, HandedJob> handed_over{};
  Time handed_over_at = Time::min();
};

// What a stopping member has handed over of one of its jobs.
struct ReceivedHandover {
  HandedJob job{};
  Time received_at{0};
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_MEMBERS_STOP_STATE_H_
