// What was sent or received of each kind of message between entry instances.
#ifndef BURDOCKROCK_RUNTIME_KIND_TRAFFIC_H_
#define BURDOCKROCK_RUNTIME_KIND_TRAFFIC_H_

#include <map>
#include <string_view>

#include "runtime/edge_traffic.h"

namespace burdockrock {

// By method. The bytes are those of the messages alone, without HTTP's headers.
using KindTraffic = std::map<std::string_view, EdgeTraffic>;

}  // namespace burdockrock

#endif  // BURDOCKROCK_RUNTIME_KIND_TRAFFIC_H_
