// What callers and operators send and are answered, as HTTP with JSON bodies.
#ifndef BURDOCKROCK_WIRE_CALLER_CODEC_H_
#define BURDOCKROCK_WIRE_CALLER_CODEC_H_

#include <compare>
#include <string>
#include <string_view>
#include <variant>

#include "model/caller_message.h"
#include "model/platform.h"
#include "model/work.h"
#include "net/http_message.h"
#include "wire/decode_error.h"

namespace burdockrock {

// A new policy document, to be stored if the one in force has `expect`.
struct ConfigProposal {
  Revision expect = 0;
  std::string document;  // {"author", "base", "overlays"}
  auto operator<=>(const ConfigProposal&) const = default;
};

// Each reads a whole body and returns all of its errors at once. An absent
// deadline_ms gives a deadline of 0.
std::variant<Request, DecodeErrors> DecodeRequestBody(std::string_view body);
std::variant<JobSpec, DecodeErrors> DecodeJobBody(std::string_view body);
std::variant<ConfigProposal, DecodeErrors> DecodeConfigBody(
    std::string_view body);

HttpResponse EncodeCallerAnswer(const CallerAnswer& answer);

// 400, not run because invalid.
HttpResponse EncodeDecodeErrors(const DecodeErrors& errors);

// A refusal for another cause than the body: `problem` says what is wrong,
// `allowed` what is accepted instead.
HttpResponse EncodeRefusal(int status,
                           Reason reason,
                           const std::string& problem,
                           const std::string& allowed);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_CALLER_CODEC_H_
