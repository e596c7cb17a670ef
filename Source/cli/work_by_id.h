// Calls that name a job or a waiting request by its id.
#ifndef BURDOCKROCK_CLI_WORK_BY_ID_H_
#define BURDOCKROCK_CLI_WORK_BY_ID_H_

#include <string>

#include "cli/entry_client.h"

namespace burdockrock {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNotFound = 404;

// Calls `method` on the job of this id, and on the request of this id when
// there is no such job.
EntryResult CallById(EntryClient& client,
                     const std::string& method,
                     const std::string& id);

}  // namespace burdockrock

#endif  // BURDOCKROCK_CLI_WORK_BY_ID_H_
