#ifndef SRC_DANDELIONMILL_GATEWAY_CORE_H_
#define SRC_DANDELIONMILL_GATEWAY_CORE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>

#include "dandelionmill/gateway/backend_directory.h"
#include "dandelionmill/gateway/connection_pool.h"
#include "dandelionmill/gateway/crash_guard.h"
#include "dandelionmill/gateway/fleet_config.h"
#include "dandelionmill/gateway/gateway_metrics.h"
#include "dandelionmill/gateway/overload_detector.h"
#include "dandelionmill/gateway/placement.h"
#include "dandelionmill/gateway/retry_allowance.h"
#include "dandelionmill/gateway/shutdown_window.h"
#include "dandelionmill/prepaid/keeper.h"

namespace dandelionmill::gateway {

// What all requests of the process share. Everything runs on one event loop,
// so nothing here is locked.
struct Core {
  Core(boost::asio::io_context& event_loop,
       prepaid::Keeper& prepaid_keeper,
       base::ZoneId own_zone,
       RetryAllowance::Limits retries,
       double link_bits_per_s,
       PlacementPolicy policy)
      : loop(event_loop),
        keeper(prepaid_keeper),
        zone(std::move(own_zone)),
        retry_limits(retries),
        overload(link_bits_per_s),
        pool(event_loop),
        random(std::random_device{}()),
        placement(random(), policy) {}

  // Returns the allowance of a service, made at its first use.
  RetryAllowance& AllowanceOf(const base::ServiceId& service) {
    return allowances.try_emplace(service, retry_limits).first->second;
  }

  // Whether callers should open their next connection, to another instance.
  bool ShedsConnections() const {
    return is_leaving || overload.is_overloaded();
  }

  boost::asio::io_context& loop;
  prepaid::Keeper& keeper;
  const base::ZoneId zone;
  const RetryAllowance::Limits retry_limits;
  OverloadDetector overload;
  // nullptr until one is known.
  FleetConfigPtr config;
  BackendDirectory directory;
  ConnectionPool pool;
  std::mt19937_64 random;
  Placement placement;
  CrashGuard guard;
  std::map<base::ServiceId, RetryAllowance> allowances;
  GatewayMetrics metrics;
  // Instances of the fleet that are alive, this one included.
  int instances = 1;
  bool is_leaving = false;
  ShutdownWindow shutdown_window;
  int open_exchanges = 0;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_CORE_H_
