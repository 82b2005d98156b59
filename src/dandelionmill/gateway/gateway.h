#ifndef SRC_DANDELIONMILL_GATEWAY_GATEWAY_H_
#define SRC_DANDELIONMILL_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dandelionmill/gateway/caller_session.h"
#include "dandelionmill/gateway/core.h"
#include "dandelionmill/gateway/fleet_members.h"
#include "dandelionmill/gateway/status_server.h"
#include "dandelionmill/gateway/table_follower.h"
#include "dandelionmill/peer/borrower.h"
#include "dandelionmill/peer/lending_port.h"
#include "dandelionmill/platform/node_settings.h"
#include "dandelionmill/platform/store_client.h"
#include "dandelionmill/prepaid/keeper.h"
#include "dandelionmill/timer/loop_timer_service.h"

namespace dandelionmill::gateway {

// The gateway process: takes callers' requests to backend servers on one event
// loop, and keeps up with the store about everything that it decides by.
class Gateway {
 public:
  struct Options {
    // 0 for no metrics address.
    int metrics_port = 0;
    PlacementPolicy placement = ByCost();
  };

  // `loop` must outlive this.
  Gateway(boost::asio::io_context& loop,
          const platform::NodeSettings& settings,
          const Options& options);
  ~Gateway();

  // Commands.
  // Fails with kBadSetting when an address cannot be bound.
  base::Status Start();
  // Finishes what is under way, gives back what is held, then calls `done`;
  // after the shutdown grace at the latest.
  void Leave(std::function<void()> done);
  // Takes up settings that may change while the process runs.
  void Reload(const platform::NodeSettings& settings);

 private:
  void Accept();
  void OnConfigRow(const storage::VersionedRow& row);
  void OnBackendRow(const storage::VersionedRow& row);
  void OnBackendRows(const std::vector<storage::VersionedRow>& rows);
  void OnCrashRow(const storage::VersionedRow& row);
  void OnStoreReachable(const char* what,
                        bool reachable,
                        const std::string& reason);
  void OnInstances(int count, std::vector<peer::Instance> others);
  void ShareCrashes();
  void Tick(base::MonoTime now);
  void OnLeavingTick(base::MonoTime now);
  void GiveBack();
  void FinishLeaving();
  bool IsReady() const;
  // Brings the metrics of prepaid tokens up to date.
  void MeasurePrepaid();
  std::string Dump() const;

  boost::asio::io_context& loop_;
  platform::NodeSettings settings_;
  const Options options_;
  const std::string process_;
  platform::StoreClient store_;
  prepaid::Keeper keeper_;
  Core core_;
  peer::LendingPort lending_;
  peer::Borrower borrower_;
  TableFollower config_follower_;
  TableFollower backend_follower_;
  TableFollower crash_follower_;
  FleetMembers members_;
  StatusServer readiness_;
  StatusServer metrics_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<CallerSession*, std::shared_ptr<CallerSession>> sessions_;
  timer::LoopTimerService timers_;
  base::MonoTime leaving_since_{};
  bool is_giving_back_ = false;
  std::function<void()> left_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_GATEWAY_H_
