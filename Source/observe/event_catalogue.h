// The table of all events that the logs name.
#ifndef BURDOCKROCK_OBSERVE_EVENT_CATALOGUE_H_
#define BURDOCKROCK_OBSERVE_EVENT_CATALOGUE_H_

#include <span>

#include "observe/event_number.h"

namespace burdockrock {

// Sorted by number.
std::span<const EventInfo> AllEvents();

// nullptr when the catalogue has no such number.
const EventInfo* FindEvent(EventNumber number);

// The name in the logs and the catalogue: "warning".
const char* LevelName(Level level);

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_EVENT_CATALOGUE_H_
