// Work as text for journal records.
#ifndef BURDOCKROCK_WIRE_RECORD_CODEC_H_
#define BURDOCKROCK_WIRE_RECORD_CODEC_H_

#include <string>
#include <string_view>
#include <variant>

#include <json/value.h>

#include "model/attempt.h"
#include "model/resources.h"
#include "model/work.h"
#include "wire/decode_error.h"

namespace burdockrock {

// Times are kept in whole milliseconds.
Json::Value JobSpecToJson(const JobSpec& spec);
Json::Value RequestToJson(const Request& request);
Json::Value AttemptReportToJson(const AttemptReport& report);
Json::Value ResourcesToJson(const Resources& resources);

std::variant<JobSpec, DecodeError> JobSpecFromJson(const Json::Value& value);
std::variant<Request, DecodeError> RequestFromJson(const Json::Value& value);
std::variant<AttemptReport, DecodeError> AttemptReportFromJson(
    const Json::Value& value);
std::variant<Resources, DecodeError> ResourcesFromJson(
    const Json::Value& value);

// One line of text.
std::string EncodeJobSpec(const JobSpec& spec);
std::string EncodeRequest(const Request& request);
std::string EncodeAttemptReport(const AttemptReport& report);

std::variant<JobSpec, DecodeError> DecodeJobSpec(std::string_view text);
std::variant<Request, DecodeError> DecodeRequest(std::string_view text);
std::variant<AttemptReport, DecodeError> DecodeAttemptReport(
    std::string_view text);

}  // namespace burdockrock

#endif  // BURDOCKROCK_WIRE_RECORD_CODEC_H_
