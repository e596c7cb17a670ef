// Admission of requests: validation, claim of the idempotency key, then
// dispatch here, forwarding to a peer, or queueing if the deadline can be met.
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

// Dispatches, forwards, queues or refuses a request whose key is recorded or
// that needs none.
void AdmitRequest(Context& context, RequestEntry& entry);

void Enqueue(Context& context, RequestEntry& entry);

// Refuses the queued requests of services without an owned minion.
void RefuseUnservable(Context& context);

// Drops accepted forwards of which no duplicate can arrive any more.
void ForgetOldForwards(Context& context);

}  // namespace burdockrock

#endif  // BURDOCKROCK_SCHEDULER_REQUEST_ADMISSION_H_
