// An estimate of the response time of calls, learned from their replies.
#ifndef BURDOCKROCK_ENGINE_RESPONSE_TIME_H_
#define BURDOCKROCK_ENGINE_RESPONSE_TIME_H_

#include "model/time.h"

namespace burdockrock::engine {

// A smoothed mean and mean deviation, as for the retransmission timer of TCP
// (RFC 6298).
class ResponseTime {
 public:
  ResponseTime() = default;

  // The estimate with one more reply, which took `sample`.
  ResponseTime With(Duration sample) const;

  // A call that takes longer has most likely lost its reply. Within `least` and
  // `most`; `most` before the first reply.
  Duration Timeout(Duration least, Duration most) const;

  bool operator==(const ResponseTime&) const = default;

 private:
  Duration mean_{0};
  Duration deviation_{0};
  bool known_ = false;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RESPONSE_TIME_H_
