// How a call of the HTTP client ended.
#ifndef BURDOCKROCK_NET_HTTP_RESULT_H_
#define BURDOCKROCK_NET_HTTP_RESULT_H_

#include <compare>
#include <string>
#include <variant>

#include "net/http_message.h"

namespace burdockrock {

// No whole answer came.
struct HttpFailure {
  // False only if no byte of the request left this process.
  bool may_have_been_received = true;
  std::string message{};
  auto operator<=>(const HttpFailure&) const = default;
};

// Any status is an HttpResponse.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_NET_HTTP_RESULT_H_
