#ifndef SRC_DANDELIONMILL_ROUTER_LOAD_REPORT_H_
#define SRC_DANDELIONMILL_ROUTER_LOAD_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/routing/dispatcher.h"

namespace dandelionmill::router {

// Parses the body of a GET /v1/load response; returns nullopt if it is
// malformed. The time of measurement is converted from the backend server's
// wall clock, assumed to agree with `wall_now`, to the local monotonic clock. A
// time in the future counts as `now`, an age of more than one hour as one hour.
std::optional<routing::LoadReport> ParseLoad(const std::string& json,
                                             base::WallTime wall_now,
                                             base::MonoTime now);

// One page of GET /v1/cache-events.
struct CacheEventPage {
  std::vector<routing::CacheEvent> events;
  // Value of the `after` parameter for the next page; 0 if this page is
  // malformed.
  std::uint64_t next = 0;
};

// Parses the body of a GET /v1/cache-events response; skips malformed events.
CacheEventPage ParseCacheEvents(const std::string& json);

}  // namespace dandelionmill::router

#endif  // SRC_DANDELIONMILL_ROUTER_LOAD_REPORT_H_
