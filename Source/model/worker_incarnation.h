// The name of one run of a worker's process.
#ifndef BURDOCKROCK_MODEL_WORKER_INCARNATION_H_
#define BURDOCKROCK_MODEL_WORKER_INCARNATION_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockrock {

// A worker may start again under the id that it had, without any memory. Its
// processes are therefore told apart by the id and the time of their start:
// "ID#BORN", with `born` in Unix milliseconds. The name is the id alone if
// `born` is 0, as it is for a worker that does not tell it.
std::string IncarnationName(std::string_view id, std::int64_t born);

// The id under which the incarnation runs.
std::string_view WorkerIdOf(std::string_view incarnation);

// When the incarnation started, in Unix milliseconds; 0 if its name does not
// tell it.
std::int64_t BornOf(std::string_view incarnation);

// Whether a reply in which a worker tells that it started at `born` is of
// another incarnation than the one asked. It can't be told if either is 0.
bool IsOtherIncarnation(std::string_view asked, std::int64_t born);

// Whether both name processes of one worker, and `name` started later than
// `other` by the worker's clock. False if either start is not told.
bool IsLaterIncarnation(std::string_view name, std::string_view other);

}  // namespace burdockrock

#endif  // BURDOCKROCK_MODEL_WORKER_INCARNATION_H_
