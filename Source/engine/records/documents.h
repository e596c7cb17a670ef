// The documents that operators and workers write to burdockrock's own store:
// the configuration of queues and services, and an entry for each worker.
#ifndef BURDOCKROCK_ENGINE_RECORDS_DOCUMENTS_H_
#define BURDOCKROCK_ENGINE_RECORDS_DOCUMENTS_H_

#include <string>
#include <string_view>

#include "engine/options.h"
#include "wire/value_reader.h"

namespace burdockrock::engine {

// The keys and decoders with which the engine reads them.
StoreDocuments OwnDocuments();

// The documents as JSON.
std::string EncodeWorker(const WorkerInfo& worker);
std::string EncodeConfiguration(const Configuration& configuration);

// A valid configuration, or its first fault: a duplicate service or queue name,
// a queue of an unknown service, max_attempts of 0, or stretch below 1.
Decoded<Configuration> ReadConfiguration(std::string_view text);

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_RECORDS_DOCUMENTS_H_
