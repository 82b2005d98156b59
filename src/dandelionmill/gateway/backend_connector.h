#ifndef SRC_DANDELIONMILL_GATEWAY_BACKEND_CONNECTOR_H_
#define SRC_DANDELIONMILL_GATEWAY_BACKEND_CONNECTOR_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/gateway/backend_directory.h"
#include "dandelionmill/gateway/connection_pool.h"
#include "dandelionmill/gateway/crash_guard.h"
#include "dandelionmill/gateway/overload_detector.h"
#include "dandelionmill/gateway/partition_detector.h"
#include "dandelionmill/gateway/relay_protocol.h"
#include "dandelionmill/gateway/relay_selector.h"

namespace dandelionmill::gateway {

// Opens connections to backend servers: over the links of this instance or,
// while it is partitioned from the backend servers of a service, through
// another instance, which relays them.
class BackendConnector {
 public:
  using Handler = ConnectionPool::Handler;

  // The parts of the process that the connector uses. All must outlive it.
  struct Parts {
    boost::asio::io_context& loop;
    ConnectionPool& pool;
    const BackendDirectory& directory;
    CrashGuard& crash_guard;
    OverloadDetector& overload;
  };

  BackendConnector(Parts parts, base::ZoneId own_zone, std::uint64_t seed)
      : parts_(parts), relays_(std::move(own_zone), seed) {}

  // Commands.
  // Sets this instance and the others that are running.
  void SetInstances(const base::InstanceId& self,
                    std::vector<peer::Instance> others);
  // Opens a connection for the request, through no instance outside the
  // `allowed` zones. The handler is called once, never from within this call.
  void Connect(const BackendEntry& backend,
               const base::AttemptId& attempt,
               const scheduling::AllowedZones& allowed,
               Handler handler);
  // The same, over the links of this instance only.
  void ConnectDirectly(const BackendEntry& backend, Handler handler);
  // Opens another connection on the path of an earlier one, which shows whether
  // the backend server and the relay are still running. `relay` is that of the
  // earlier connection.
  void ConnectAgain(const BackendEntry& backend,
                    const std::optional<peer::Instance>& relay,
                    Handler handler);
  // A backend server does not answer a request that it has received. Finds out
  // whether it, and others of its service, can be reached.
  void OnSilent(const BackendEntry& backend);
  // A connection was refused, and requests broke off shortly before. Reports a
  // crash of the backend server, unless another instance reaches it.
  void OnConnectionRefused(const BackendEntry& backend, base::MonoTime now);
  // A connection was opened after a request had broken off at the incarnation
  // `broken_at` of the backend server. Asks on it which incarnation answers and
  // reports a crash if it is another one.
  void OnReconnected(const BackendEntry& backend,
                     std::int64_t broken_at,
                     BackendConnectionPtr connection);
  // Checks whether the partitions last. Call every few hundred milliseconds.
  void Tick();

  // Query.
  // Whether this instance is partitioned from all backend servers of the
  // service.
  bool IsPartitioned(const base::ServiceId& service) const {
    return partitions_.IsPartitioned(service);
  }

 private:
  // What came of an attempt to connect through another instance.
  struct RelayResult {
    RelayStatus status = RelayStatus::kNoAnswer;
    // Not null if the status is kConnected.
    BackendConnectionPtr connection;
  };
  using RelayHandler = std::function<void(RelayResult)>;
  class RelayOperation;

  // Opens a connection over the links of this instance and records the result.
  void Open(const BackendEntry& backend, Handler handler);
  // Records the result of a connection attempt that began at `begin`.
  void OnDirectResult(const BackendEntry& backend,
                      const ConnectionPool::Result& result,
                      base::MonoTime begin);
  // Connects through other instances, at most `tries` of them.
  void ConnectThroughAny(const BackendEntry& backend,
                         const base::AttemptId& attempt,
                         const scheduling::AllowedZones& allowed,
                         int tries,
                         Handler handler);
  void ConnectThrough(const peer::Instance& relay,
                      const BackendEntry& backend,
                      const base::AttemptId& attempt,
                      RelayHandler handler);
  // Opens direct connections to a few backend servers of the service, to
  // `first` among them, unless that was done of late.
  void Check(const base::ServiceId& service,
             const BackendEntry* first,
             std::size_t count);
  void OnPartitionBegun(const base::ServiceId& service);
  // Another instance has tried to connect to a backend server that refused a
  // connection of this one.
  void OnRefusalChecked(const BackendEntry& backend,
                        const RelayResult& result,
                        base::MonoTime refused_at);

  const Parts parts_;
  base::InstanceId self_;
  PartitionDetector partitions_;
  RelaySelector relays_;
  std::size_t next_check_ = 0;
  // Backend servers to which another instance is connecting to find out whether
  // they have crashed.
  std::set<base::BackendId> refusals_in_check_;
  // Backend servers that are asked for their incarnation for the same reason.
  std::set<base::BackendId> restarts_in_check_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BACKEND_CONNECTOR_H_
