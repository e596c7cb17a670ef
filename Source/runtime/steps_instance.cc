#include "runtime/steps_instance.h"

#include <utility>

#include <fmt/format.h>

#include "engine/call_codec.h"
#include "engine/members/member_features.h"
#include "engine/records/documents.h"
#include "engine/records/job_codec.h"
#include "runtime/engine_edges.h"

namespace burdockrock {

namespace {

EngineCallCodec CallCodec() {
  return {
      .encode_store = engine::EncodeStoreCall,
      .decode_store =
          [](const engine::StoreRequest& /*request*/,
             const HttpResult& result) {
            return engine::DecodeStoreResult(result);
          },
      .encode_worker = engine::EncodeWorkerCall,
      .decode_worker = engine::DecodeWorkerResult,
      .encode_advice = engine::EncodeAdviceCall,
      .decode_advice = engine::DecodeAdviceResult,
      .encode_machines = engine::EncodeMachineCall,
      .decode_machines =
          [](const engine::MachineRequest& /*request*/,
             const HttpResult& result) {
            return engine::DecodeMachineResult(result);
          },
  };
}

}  // namespace

StepsInstance::StepsInstance(boost::asio::io_context& io,
                             const StepsInstanceOptions& options)
    : clients_(io,
               {.store = options.settings.steps.store,
                .advice = options.settings.steps.advice,
                .machines = options.settings.steps.machines,
                .codec = CallCodec(),
                .on_event =
                    [this](engine::EventBody it) {
                      instance_.Handle(std::move(it));
                    }}),
      callers_({.codec = {.decode = engine::DecodeJobRequest,
                          .encode = engine::EncodeJobAnswer},
                .on_event =
                    [this](engine::EventBody it) {
                      instance_.Handle(std::move(it));
                    },
                .log = [this](const LogLine& it) { instance_.Log(it); }}),
      instance_(io, MakeInstanceOptions(options)) {}

bool StepsInstance::Handle(const HttpRequest& request,
                           const HttpResponder& responder) {
  if (!engine::IsJobRequest(request)) {
    return false;
  }
  callers_.Handle(request, responder);
  return true;
}

EngineInstanceOptions StepsInstance::MakeInstanceOptions(
    const StepsInstanceOptions& options) {
  const ProcessSettings& settings = options.settings;
  return {
      .engine = {.self = {.incarnation = engine::WithFeatures(fmt::format(
                              "{}-{}", settings.instance, options.incarnation)),
                          .node = settings.instance,
                          .domain = settings.domain,
                          .address = settings.steps.peers},
                 .documents = engine::OwnDocuments(),
                 .seed = options.seed},
      .edges = JoinEdges(clients_, callers_),
      .peers_address = settings.steps.peers,
      .metrics_address = settings.steps.metrics,
      .log_format = settings.log.format,
      .log_level = settings.log.level,
      .log_sink = options.log_sink,
      .on_drained = options.on_drained};
}

}  // namespace burdockrock
