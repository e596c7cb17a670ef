// The reducer's state at the start of a process.
#ifndef BURDOCKROCK_RUNTIME_INITIAL_STATE_H_
#define BURDOCKROCK_RUNTIME_INITIAL_STATE_H_

#include <cstdint>
#include <string>

#include "config/process_settings.h"
#include "scheduler/state.h"

namespace burdockrock {

State MakeInitialState(const ProcessSettings& settings,
                       const std::string& incarnation,
                       std::uint64_t seed);

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_INITIAL_STATE_H_
