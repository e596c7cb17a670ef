// The policy in force, its distribution and its changes.
//
// One member of each domain watches the platform; the others see a new revision
// in digests and fetch it from a peer. A revision lower than the one in force
// is never applied.
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
  // The latest revision, also of a document that could not be applied.
  Revision latest_revision = 0;
  bool absence_logged = false;  // the absence of a policy has been logged
  bool watching = false;
  bool watching_instances = false;
  bool read_instances = false;  // from the platform, since the start
  Duration backoff{0};
  Time retry_at{0};
};

// Applies a document if it is newer than the one in force.
void ApplyConfig(Context& context, const ConfigView& view);

// Answers with the document in force.
void OnConfigRequested(Context& context, const ConfigRequested& asked);
// Checks a proposed document and writes it to the platform if its expected
// revision is current.
void OnConfigProposed(Context& context, const ConfigProposed& proposed);
void OnConfigWritten(Context& context,
                     const ConfigWritePurpose& purpose,
                     const PlatformResult& result);

// Starts the watches that this process is responsible for.
void OnWatchTimer(Context& context);
void OnConfigWatched(Context& context, const PlatformResult& result);
void OnInstancesWatched(Context& context, const PlatformResult& result);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_CONFIG_STATE_H_
