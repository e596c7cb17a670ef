// The answers that the HTTP server gives without its handler, in the shapes of
// docs/design/protocols.md.
#ifndef BURDOCKROCK_NET_HTTP_ERROR_RESPONSE_H_
#define BURDOCKROCK_NET_HTTP_ERROR_RESPONSE_H_

#include <string>

#include "net/http_message.h"

namespace burdockrock {

// The "error" shape with one problem of the whole request.
HttpResponse InvalidRequestResponse(int status, const std::string& problem);

// 503 with Retry-After, for a connection above the limit.
HttpResponse OverloadedResponse();

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_ERROR_RESPONSE_H_
