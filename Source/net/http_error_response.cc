#include "net/http_error_response.h"

#include <chrono>

#include "model/time.h"
#include "net/json.h"

namespace burdockrock {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::chrono::seconds kRetryAfter{1};

}  // namespace

HttpResponse InvalidRequestResponse(int status, const std::string& problem) {
  Json::Value error;
  error["path"] = "$";
  error["problem"] = problem;
  error["allowed"] = "an HTTP/1.1 request within the limits of this server";
  Json::Value body;
  body["verdict"] = "not_run";
  body["reason"] = "invalid";
  body["errors"].append(error);
  return HttpResponse{.status = status, .body = WriteJson(body)};
}

HttpResponse OverloadedResponse() {
  Json::Value body;
  body["verdict"] = "not_run";
  body["reason"] = "overloaded";
  body["retry_after_ms"] =
      static_cast<Json::Int64>(ToMilliseconds(kRetryAfter));
  return HttpResponse{.status = kServiceUnavailable,
                      .body = WriteJson(body),
                      .retry_after = kRetryAfter};
}

}  // namespace burdockrock
