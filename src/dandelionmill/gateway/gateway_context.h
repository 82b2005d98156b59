#ifndef SRC_DANDELIONMILL_GATEWAY_GATEWAY_CONTEXT_H_
#define SRC_DANDELIONMILL_GATEWAY_GATEWAY_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>

#include "dandelionmill/gateway/backend_backoff.h"
#include "dandelionmill/gateway/backend_connector.h"
#include "dandelionmill/gateway/backend_directory.h"
#include "dandelionmill/gateway/brittle_services.h"
#include "dandelionmill/gateway/config_confirmation.h"
#include "dandelionmill/gateway/connection_pool.h"
#include "dandelionmill/gateway/crash_guard.h"
#include "dandelionmill/gateway/fleet_config.h"
#include "dandelionmill/gateway/gateway_metrics.h"
#include "dandelionmill/gateway/limit_log.h"
#include "dandelionmill/gateway/memory_account.h"
#include "dandelionmill/gateway/overload_detector.h"
#include "dandelionmill/gateway/placement.h"
#include "dandelionmill/gateway/request_limits.h"
#include "dandelionmill/gateway/retry_allowance.h"
#include "dandelionmill/gateway/service_versions.h"
#include "dandelionmill/gateway/shutdown_window.h"
#include "dandelionmill/gateway/standstill_detector.h"
#include "dandelionmill/gateway/stream_records.h"
#include "dandelionmill/gateway/stream_versions.h"
#include "dandelionmill/gateway/version_records.h"
#include "dandelionmill/prepaid/token_pool.h"
#include "dandelionmill/scheduling/cold_allowance.h"
#include "dandelionmill/scheduling/evacuations.h"
#include "dandelionmill/scheduling/home_regions.h"

namespace dandelionmill::gateway {

// State shared by all requests of the process. Everything runs on one event
// loop, so no locks are needed.
struct GatewayContext {
  GatewayContext(boost::asio::io_context& event_loop,
                 prepaid::TokenPool& prepaid_token_pool,
                 storage::AsyncTable& table,
                 base::ZoneId own_zone,
                 scheduling::ZoneRegions regions,
                 RetryAllowance::Limits limits,
                 double link_bits_per_s,
                 std::size_t memory_limit_bytes,
                 PlacementPolicy policy)
      : loop(event_loop),
        token_pool(prepaid_token_pool),
        zone(std::move(own_zone)),
        zone_regions(std::move(regions)),
        evacuations(KnownZones()),
        retry_limits(limits),
        overload(link_bits_per_s),
        memory(event_loop, memory_limit_bytes),
        pool(event_loop),
        random(std::random_device{}()),
        placement(random(), policy),
        backoff(random()),
        crash_guard(random()),
        connector({loop, pool, directory, crash_guard, overload},
                  zone,
                  random()),
        service_versions(std::chrono::steady_clock::now()),
        version_records(event_loop, service_versions, table, random()),
        stream_records({event_loop, stream_versions, service_versions,
                        version_records, table},
                       std::chrono::steady_clock::now()) {}

  // Returns the retry allowance of a service; creates it on first use.
  RetryAllowance& RetryAllowanceFor(const base::ServiceId& service) {
    return retry_allowances.try_emplace(service, retry_limits).first->second;
  }

  // Whether a caller should reconnect after a response, so that the balancer
  // sends it to another instance. Random while the instance is overloaded.
  bool ShouldCloseConnection() {
    return is_shutting_down ||
           IsDrawn(overload.CloseShare(std::chrono::steady_clock::now()));
  }

  // Whether a new request should be rejected, so that its retry reaches an
  // instance with room. Random.
  bool ShouldRejectRequest() { return IsDrawn(overload.RejectShare()); }

  // Returns the availability zones of the platform's settings.
  std::set<base::ZoneId> KnownZones() const {
    std::set<base::ZoneId> known = {zone};
    for (const auto& [listed, region] : zone_regions)
      known.insert(listed);
    return known;
  }

  // Returns true with the probability `share`.
  bool IsDrawn(double share) {
    return share > 0 && std::bernoulli_distribution(share)(random);
  }

  boost::asio::io_context& loop;
  prepaid::TokenPool& token_pool;
  const base::ZoneId zone;
  const scheduling::ZoneRegions zone_regions;
  scheduling::Evacuations evacuations;
  const RetryAllowance::Limits retry_limits;
  OverloadDetector overload;
  MemoryAccount memory;
  LimitLog limit_log;
  // nullptr until the first configuration has been read.
  FleetConfigPtr config;
  // Whether `config` is the newest one.
  ConfigConfirmation config_confirmation;
  BackendDirectory directory;
  ConnectionPool pool;
  std::mt19937_64 random;
  Placement placement;
  BackendBackoff backoff;
  CrashGuard crash_guard;
  BackendConnector connector;
  RequestLimits request_limits;
  BrittleServices brittle_services;
  scheduling::ColdAllowance cold_allowance;
  StreamVersions stream_versions;
  ServiceVersions service_versions;
  VersionRecords version_records;
  StreamRecords stream_records;
  std::map<base::ServiceId, RetryAllowance> retry_allowances;
  GatewayMetrics metrics;
  // Live instances of the fleet, including this one.
  int instance_count = 1;
  bool is_shutting_down = false;
  ShutdownWindow shutdown_window;
  StandstillDetector standstill;
  int open_exchange_count = 0;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_GATEWAY_CONTEXT_H_
