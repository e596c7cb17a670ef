#include "cli/work_by_id.h"

namespace burdockrock {

EntryResult CallById(EntryClient& client,
                     const std::string& method,
                     const std::string& id) {
  const CallOptions options = {.idempotent = true};
  EntryResult result =
      client.Call({.method = method, .path = "/v1/jobs/" + id}, options);
  const auto* answer = std::get_if<EntryAnswer>(&result);
  if (answer == nullptr || answer->status != kStatusNotFound) {
    return result;
  }
  return client.Call({.method = method, .path = "/v1/requests/" + id}, options);
}

}  // namespace burdockrock
