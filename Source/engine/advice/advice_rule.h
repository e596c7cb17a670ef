// Decides how many workers a call to the advice service names, and when one
// more call for a step is worth its service time.
#ifndef BURDOCKROCK_ENGINE_ADVICE_ADVICE_RULE_H_
#define BURDOCKROCK_ENGINE_ADVICE_ADVICE_RULE_H_

#include <cstddef>

#include "model/time.h"

namespace burdockrock::engine {

// The share of workers that a queue's policy allows, learned from the replies.
class AllowedShare {
 public:
  double value() const { return share_; }

  // Adds a reply that allowed `allowed` of `named` workers without earlier
  // advice.
  void Update(std::size_t allowed, std::size_t named);

  bool operator==(const AllowedShare&) const = default;

 private:
  double share_ = 0.4;  // before the first reply
};

// The share of the room at allowed workers that is left when the reply comes,
// learned from the replies. Under load, steps of other instances take much of
// it during the call and its wait.
class LeftShare {
 public:
  double value() const { return share_; }

  // Adds a reply after which `left` tasks fit where `expected` were.
  void Update(double left, double expected);

  bool operator==(const LeftShare&) const = default;

 private:
  double share_ = 1;
};

// A call while its workers are being chosen.
struct AdviceCallDraft {
  std::size_t waiting = 0;  // waiting tasks of the step
  bool gang = false;
  std::size_t named = 0;  // workers chosen so far
  double starts = 0;      // expected starts there, by the allowed share
  double max_starts = 0;  // starts if all of these workers are allowed
  double ticketed = 0;    // starts at other workers with valid tickets
  double left = 1;        // share of the room that the reply finds; LeftShare
};

// Whether the call names enough workers. Too few cause another call, whose
// decision takes the service far longer than further workers in this one.
bool HasEnoughWorkers(const AdviceCallDraft& call);

// Whether to make another call for a step whose previous call was `since_call`
// ago. Under load, little room is free at a time, and calls of all waiting
// steps for it would keep the service busy. A step without a call for some time
// makes one for any room. A gang starts as a whole, so its call needs room for
// all of it.
bool IsWorthACall(const AdviceCallDraft& call, Duration since_call);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_ADVICE_ADVICE_RULE_H_
