// The policy in force, how it arrives and how it is changed.
//
// One member of each domain watches the platform; the others learn of a new
// revision from digests and pull it from a peer. A revision lower than the one
// in force is never applied.
#ifndef BURDOCKROCK_SCHEDULER_CONFIG_STATE_H_
#define BURDOCKROCK_SCHEDULER_CONFIG_STATE_H_

#include <string>

#include "config/policy.h"
#include "model/caller_message.h"
#include "scheduler/calls.h"
#include "scheduler/event.h"

namespace burdockrock {

class Context;

struct ConfigState {
  Policy policy;
  ConfigView view;
  bool loaded = false;
  Revision latest_revision = 0;  // also of a document that could not be applied
  bool absence_logged = false;   // that there is no policy yet has been logged
  bool watching = false;
  bool watching_instances = false;
  bool read_instances = false;  // the platform has answered since the start
  Duration backoff{0};
  Time retry_at{0};
};

// Applies a document if it is newer than the one in force.
void ApplyConfig(Context& context, const ConfigView& view);

void OnConfigRequested(Context& context, const ConfigAsked& asked);
void OnConfigProposed(Context& context, const ConfigProposed& proposed);
void OnConfigWritten(Context& context,
                     const ConfigWritePurpose& purpose,
                     const PlatformResult& result);

// Starts the watches that this process is to hold.
void OnWatchTimer(Context& context);
void OnConfigWatched(Context& context, const PlatformResult& result);
void OnInstancesWatched(Context& context, const PlatformResult& result);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_CONFIG_STATE_H_
