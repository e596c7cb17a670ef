// Codec of the engine's calls to the store, to workers, to the advice service
// and to the service of machines in burdockrock's own protocol: JSON-RPC 2.0
// over HTTP, one call per body.
//
//   {"jsonrpc":"2.0","id":1,"method":"read","params":{"key":"job/7"}}
//   {"jsonrpc":"2.0","id":1,"result":{"outcome":"absent","value":{}}}
//
// Methods of a store: read, range, watch, transaction, grant_lease, renew_lease
// and end_lease; of a worker: hold (the poll), start, stop and pace; of the
// advice service: advise; of the service of machines: list, upkeep and move.
#ifndef BURDOCKROCK_ENGINE_CALL_CODEC_H_
#define BURDOCKROCK_ENGINE_CALL_CODEC_H_

#include <string>
#include <string_view>

#include "engine/calls.h"
#include "net/http_message.h"
#include "net/http_result.h"
#include "wire/value_reader.h"

namespace burdockrock::engine {

// A call to one incarnation of a worker.
struct AddressedWorkerRequest {
  std::string worker{};  // its id
  WorkerRequest request{};
  auto operator<=>(const AddressedWorkerRequest&) const = default;
};

HttpRequest EncodeStoreCall(const StoreRequest& request);
HttpRequest EncodeWorkerCall(const std::string& worker,
                             const WorkerRequest& request);
HttpRequest EncodeAdviceCall(const AdviceRequest& request);
HttpRequest EncodeMachineCall(const std::string& holder,
                              const MachineRequest& request);

// A response that does not follow the protocol counts as no reply.
StoreAnswer DecodeStoreResult(const HttpResult& result);
WorkerAnswer DecodeWorkerResult(const HttpResult& result);
AdviceAnswer DecodeAdviceResult(const HttpResult& result);
MachineAnswer DecodeMachineResult(const HttpResult& result);

// The server's side, for test servers.
Decoded<StoreRequest> DecodeStoreCall(std::string_view body);
Decoded<AddressedWorkerRequest> DecodeWorkerCall(std::string_view body);
Decoded<AdviceRequest> DecodeAdviceCall(std::string_view body);
Decoded<MachineRequest> DecodeMachineCall(std::string_view body);
std::string EncodeStoreResult(const StoreAnswer& answer);
std::string EncodeWorkerResult(const WorkerAnswer& answer);
std::string EncodeAdviceResult(const AdviceAnswer& answer);
std::string EncodeMachineResult(const MachineAnswer& answer);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_CALL_CODEC_H_
