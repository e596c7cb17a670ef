// The documents that operators and workers keep in burdockrock's own store: the
// configuration of queues and services, and an entry for each worker.
#ifndef BURDOCKROCK_ENGINE_RECORDS_DOCUMENTS_H_
#define BURDOCKROCK_ENGINE_RECORDS_DOCUMENTS_H_

#include <string>
#include <string_view>

#include "engine/options.h"
#include "wire/value_reader.h"

namespace burdockrock::engine {

// How the engine reads them.
StoreDocuments OwnDocuments();

std::string EncodeWorker(const WorkerInfo& worker);
std::string EncodeConfiguration(const Configuration& configuration);

// A configuration that can be put in force, or its first fault: two queues of
// one name, a queue of an unknown service, no attempts.
Decoded<Configuration> ReadConfiguration(std::string_view text);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_DOCUMENTS_H_
