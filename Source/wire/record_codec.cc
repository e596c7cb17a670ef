#include "wire/record_codec.h"

#include "net/json.h"
#include "wire/value_reader.h"
#include "wire/value_writer.h"
#include "wire/work_fields.h"

namespace burdockrock {

Json::Value JobSpecToJson(const JobSpec& spec) {
  return WriteValue(spec);
}

Json::Value RequestToJson(const Request& request) {
  return WriteValue(request);
}

Json::Value AttemptReportToJson(const AttemptReport& report) {
  return WriteValue(report);
}

Json::Value ResourcesToJson(const Resources& resources) {
  return WriteValue(resources);
}

std::variant<JobSpec, DecodeError> JobSpecFromJson(const Json::Value& value) {
  return DecodeValue<JobSpec>(value);
}

std::variant<Request, DecodeError> RequestFromJson(const Json::Value& value) {
  return DecodeValue<Request>(value);
}

std::variant<AttemptReport, DecodeError> AttemptReportFromJson(
    const Json::Value& value) {
  return DecodeValue<AttemptReport>(value);
}

std::variant<Resources, DecodeError> ResourcesFromJson(
    const Json::Value& value) {
  return DecodeValue<Resources>(value);
}

std::string EncodeJobSpec(const JobSpec& spec) {
  return WriteJson(JobSpecToJson(spec));
}

std::string EncodeRequest(const Request& request) {
  return WriteJson(RequestToJson(request));
}

std::string EncodeAttemptReport(const AttemptReport& report) {
  return WriteJson(AttemptReportToJson(report));
}

std::variant<JobSpec, DecodeError> DecodeJobSpec(std::string_view text) {
  return DecodeText<JobSpec>(text);
}

std::variant<Request, DecodeError> DecodeRequest(std::string_view text) {
  return DecodeText<Request>(text);
}

std::variant<AttemptReport, DecodeError> DecodeAttemptReport(
    std::string_view text) {
  return DecodeText<AttemptReport>(text);
}

}  // namespace burdockrock
