// Codec of the callers' interface for jobs of steps, HTTP with JSON bodies:
// POST /v1/jobs, GET and DELETE /v1/jobs/ID, GET /v1/queues/NAME.
#ifndef BURDOCKROCK_ENGINE_RECORDS_JOB_CODEC_H_
#define BURDOCKROCK_ENGINE_RECORDS_JOB_CODEC_H_

#include <string_view>
#include <variant>

#include "engine/calls.h"
#include "net/http_message.h"
#include "wire/value_reader.h"

namespace burdockrock::engine {

// Whether the request is for a job of steps or a queue. Other jobs share the
// paths: their ids contain a dot, and their submissions have no "steps".
bool IsJobRequest(const HttpRequest& request);

// The decoded request, or the response that refuses an invalid one.
std::variant<CallerRequest, HttpResponse> DecodeJobRequest(
    const HttpRequest& request);

// The response to a decoded request.
HttpResponse EncodeJobAnswer(const CallerRequest& request,
                             const CallerAnswer& answer);

// The body of a submission, as `burdockrock submit --file` reads it.
Decoded<CallerRequest> ReadSubmission(std::string_view body);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_JOB_CODEC_H_
