// JSON field names of the messages about crashes of workers.
#ifndef BURDOCKROCK_ENGINE_MEMBERS_CRASH_FIELDS_H_
#define BURDOCKROCK_ENGINE_MEMBERS_CRASH_FIELDS_H_

#include <string>
#include <vector>

#include "engine/members/peer_message.h"
#include "engine/records/record_fields.h"

namespace burdockrock {

template <>
struct FieldsOf<engine::CrashSite> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("worker", it.worker);
    codec.Optional("domain", it.domain, std::string());
    codec.Optional("rack", it.rack, std::string());
    codec.Optional("service", it.service, std::string());
    codec.Optional("alive_ago_ms", it.alive_ago, Duration(0));
    codec.Optional("dead_ago_ms", it.dead_ago, Duration(0));
  }
};

template <>
struct FieldsOf<engine::WorkersCrashed> {
  template <typename Codec, typename Value>
  static void Visit(Codec& codec, Value& it) {
    codec.Field("workers", it.workers);
    codec.Optional("sites", it.sites, std::vector<engine::CrashSite>());
  }
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_ENGINE_MEMBERS_CRASH_FIELDS_H_
