#ifndef SRC_DANDELIONMILL_PLATFORM_ENGINE_ENTRY_H_
#define SRC_DANDELIONMILL_PLATFORM_ENGINE_ENTRY_H_

#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/gateway/backend_entry.h"

namespace dandelionmill::platform {

// Decodes the registry row of the backend server `id`. Fails with
// kMalformedMessage when a field is missing, has the wrong type or an unknown
// value; no traffic may be sent to such a backend server.
base::Result<gateway::BackendEntry> DecodeEngineEntry(const std::string& id,
                                                      const std::string& text);

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_ENGINE_ENTRY_H_
