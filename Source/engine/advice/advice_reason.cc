#include "engine/advice/advice_reason.h"

namespace burdockrock::engine {

const char* AdviceReasonName(AdviceReason reason) {
  switch (reason) {
    case AdviceReason::kFirst:
      return "first";
    case AdviceReason::kAdopted:
      return "adopted";
    case AdviceReason::kWider:
      return "wider";
    case AdviceReason::kLapsed:
      return "lapsed";
    case AdviceReason::kRepeated:
      return "repeated";
  }
  return "";
}

}  // namespace burdockrock::engine
