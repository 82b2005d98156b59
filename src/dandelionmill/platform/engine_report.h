#ifndef SRC_DANDELIONMILL_PLATFORM_ENGINE_REPORT_H_
#define SRC_DANDELIONMILL_PLATFORM_ENGINE_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "dandelionmill/net/address.h"

namespace dandelionmill::platform {

// Returns the head of the request by which a backend server is asked for a
// report of its state. The request has no body.
std::string ReportRequestHead(const net::Address& backend);

// Returns the head of the request for the health of a backend server, whose
// response names its remaining warm-up. The request has no body.
std::string HealthRequestHead(const net::Address& backend,
                              const std::string& path);

// Returns the incarnation of the backend server that sent this report; nothing
// if the report does not name it or cannot be read.
std::optional<std::int64_t> DecodeReportedIncarnation(const std::string& body);

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_ENGINE_REPORT_H_
