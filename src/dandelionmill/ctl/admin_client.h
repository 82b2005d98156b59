#ifndef SRC_DANDELIONMILL_CTL_ADMIN_CLIENT_H_
#define SRC_DANDELIONMILL_CTL_ADMIN_CLIENT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/ctl/environment.h"

namespace dandelionmill::ctl {

// Reads the state of one process from its admin port. Fails with kUnauthorized
// when the key is rejected, kMalformedMessage when the answer is no JSON
// object, and kNotFound when there is no answer or another HTTP status.
base::Result<nlohmann::json> ReadDump(const Environment& environment,
                                      const net::Address& address);

// Posts a command to the admin port of one process; `path` names the command.
// Fails with kUnauthorized or kNotFound, as ReadDump does.
base::Status PostCommand(const Environment& environment,
                         const net::Address& address,
                         const std::string& path);

}  // namespace dandelionmill::ctl

#endif  // SRC_DANDELIONMILL_CTL_ADMIN_CLIENT_H_
