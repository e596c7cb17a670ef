// Jobs of steps at the callers' own interface, as HTTP with JSON bodies:
// POST /v1/jobs, GET and DELETE /v1/jobs/ID, GET /v1/queues/NAME.
#ifndef BURDOCKROCK_ENGINE_RECORDS_JOB_CODEC_H_
#define BURDOCKROCK_ENGINE_RECORDS_JOB_CODEC_H_

#include <string_view>
#include <variant>

#include "engine/calls.h"
#include "net/http_message.h"
#include "wire/value_reader.h"

namespace burdockrock::engine {

// Whether the request is one of them: flat jobs and their ids, which contain a
// dot, share the path.
bool IsJobRequest(const HttpRequest& request);

// The response is the refusal of a request that can't be read.
std::variant<CallerRequest, HttpResponse> DecodeJobRequest(
    const HttpRequest& request);

HttpResponse EncodeJobAnswer(const CallerRequest& request,
                             const CallerAnswer& answer);

// The body of a submission, as `burdockrock submit --file` reads it.
Decoded<CallerRequest> ReadSubmission(std::string_view body);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_JOB_CODEC_H_
