// How long calls take to be answered, learned from the answers.
#ifndef BURDOCKROCK_ENGINE_RESPONSE_TIME_H_
#define BURDOCKROCK_ENGINE_RESPONSE_TIME_H_

#include "model/time.h"

namespace burdockrock::engine {

// A smoothed mean and mean deviation, as for the retransmission timer of TCP
// (RFC 6298).
class ResponseTime {
 public:
  ResponseTime() = default;

  // With one more answer that took so long.
  ResponseTime With(Duration sample) const;

  // A call that has taken longer has most likely lost its answer. Between
  // `least` and `most`, and `most` before the first answer.
  Duration Timeout(Duration least, Duration most) const;

  bool operator==(const ResponseTime&) const = default;

 private:
  Duration mean_{0};
  Duration deviation_{0};
  bool known_ = false;
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RESPONSE_TIME_H_
