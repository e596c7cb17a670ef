// Takes requests in: checks, the idempotency key, a slot here, a peer, or a
// place in the queue if the deadline can be met.
#ifndef BURDOCKROCK_SCHEDULER_REQUEST_ADMISSION_H_
#define BURDOCKROCK_SCHEDULER_REQUEST_ADMISSION_H_

#include <string>

#include "scheduler/event.h"
#include "scheduler/requests.h"

namespace burdockrock {

class Context;

void OnRequestArrived(Context& context, const RequestArrived& arrived);
void OnForwardRequest(Context& context,
                      const std::string& from,
                      const ForwardRequest& forward);

// The request's key is recorded, or it has none: it may be dispatched.
void AdmitRequest(Context& context, RequestEntry& entry);

void Enqueue(Context& context, RequestEntry& entry);

// Refuses what waits for a service of which no minion is left here.
void RefuseUnservable(Context& context);

// Forwards whose doubles can no longer arrive.
void ForgetOldForwards(Context& context);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REQUEST_ADMISSION_H_
