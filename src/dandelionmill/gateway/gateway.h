#ifndef SRC_DANDELIONMILL_GATEWAY_GATEWAY_H_
#define SRC_DANDELIONMILL_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dandelionmill/gateway/accept_loop.h"
#include "dandelionmill/gateway/backend_reports.h"
#include "dandelionmill/gateway/caller_session.h"
#include "dandelionmill/gateway/descriptor_shares.h"
#include "dandelionmill/gateway/fleet_members.h"
#include "dandelionmill/gateway/gateway_context.h"
#include "dandelionmill/gateway/relay_server.h"
#include "dandelionmill/gateway/status_server.h"
#include "dandelionmill/gateway/table_follower.h"
#include "dandelionmill/peer/borrower.h"
#include "dandelionmill/peer/lending_port.h"
#include "dandelionmill/peer/load_exchange.h"
#include "dandelionmill/platform/node_settings.h"
#include "dandelionmill/platform/store_client.h"
#include "dandelionmill/prepaid/token_pool.h"
#include "dandelionmill/timer/loop_timer_service.h"

namespace dandelionmill::gateway {

// The gateway process: forwards callers' requests to backend servers on one
// event loop, and follows the configuration, the registry and crash reports in
// the store.
class Gateway {
 public:
  struct Options {
    // Port of the metrics endpoint; 0 for none.
    int metrics_port = 0;
    // Share of the machine's memory that connections may hold.
    int memory_percent = 40;
    PlacementPolicy placement = ByCost();
    // Returns LoopRunner::backlog_share of the loop; null if it is not
    // measured.
    std::function<double()> loop_backlog_share;
  };

  // `loop` must outlive this.
  Gateway(boost::asio::io_context& loop,
          const platform::NodeSettings& settings,
          const Options& options);
  ~Gateway();

  // Commands.
  // Fails with kBadSetting when an address cannot be bound.
  base::Status Start();
  // Shuts down: finishes the requests in progress, returns unused prepaid
  // tokens to the store, then calls `done`, at the latest after the shutdown
  // grace.
  void Shutdown(std::function<void()> done);
  // Applies the settings that may change at run time.
  void Reload(const platform::NodeSettings& settings);

 private:
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  // Closes the caller's connection that matters least: one that is about to
  // close, the longest idle or the newest unfinished one. Returns whether there
  // was one.
  bool CloseOneCaller();
  void OnConfigRow(const storage::VersionedRow& row);
  void OnConfigRows(const std::vector<storage::VersionedRow>& rows);
  // The backend servers of an evacuated zone get no requests, so that nothing
  // shows whether they have become cold.
  void ForgetObservations(const base::ZoneId& zone);
  void OnEvacuationChanges(const scheduling::EvacuationChanges& changes);
  void OnBackendRow(const storage::VersionedRow& row);
  void OnBackendRows(const std::vector<storage::VersionedRow>& rows);
  void LogCatchUp(const char* table, const TableFollower::CatchUp& catch_up);
  void LogStoreStatus(const char* table, const TableFollower::Status& status);
  // Logs the calls to the store since the last time, by table, and updates the
  // metrics.
  void ReportStoreUse();
  void OnInstances(FleetMembers::View view);
  // Notes if the entry shows that its backend server was restarted with another
  // software version. Call before the entry replaces the last one.
  void NoteReplacedVersion(const BackendEntry& entry);
  // All changes of the registry up to the last call have been read.
  void OnRegistryCurrent();
  // Sets the terms of cold backend servers as the configuration has them.
  void SetColdTerms();
  // Logs which backend servers became cold or warm.
  void ReportColdBackends();
  void PublishBackendReports(base::MonoTime now);
  // Reports the load that this instance causes at backend servers.
  void ReportLoad(base::MonoTime now);
  void Tick(base::MonoTime now);
  void OnShutdownTick(base::MonoTime now);
  // Whether a request is in progress, or may still begin on an open connection.
  bool IsServing() const;
  // Call when no request may use prepaid tokens any more; refuses those that
  // still arrive.
  void ReturnTokensAndDeregister();
  // Completes the shutdown if all responses are written.
  void CompleteIfWritten();
  void CompleteShutdown();
  bool IsReady() const;
  // Updates the metrics of prepaid tokens.
  void UpdatePrepaidMetrics();
  std::string Dump() const;

  boost::asio::io_context& loop_;
  platform::NodeSettings settings_;
  const Options options_;
  const std::string process_id_;
  platform::StoreClient store_;
  prepaid::TokenPool token_pool_;
  GatewayContext context_;
  peer::LendingPort lending_;
  peer::Borrower borrower_;
  scheduling::PeerLoads peer_loads_;
  peer::LoadExchange load_exchange_;
  bool has_reported_load_ = false;
  BackendReports backend_reports_;
  TableFollower config_follower_;
  TableFollower backend_follower_;
  TableFollower crash_follower_;
  FleetMembers fleet_members_;
  const DescriptorShares descriptors_;
  RelayServer relay_server_;
  StatusServer readiness_;
  StatusServer metrics_;
  AcceptLoop acceptor_;
  std::map<CallerSession*, std::shared_ptr<CallerSession>> sessions_;
  timer::LoopTimerService timers_;
  // What ReportStoreUse reported last.
  std::map<std::string, platform::StoreClient::TableUse> reported_store_use_;
  base::MonoTime shutdown_started_at_{};
  bool is_returning_tokens_ = false;
  bool is_deregistered_ = false;
  std::function<void()> on_shutdown_complete_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_GATEWAY_H_
