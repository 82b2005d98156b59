#ifndef SRC_DANDELIONMILL_CONTROL_MEMBERSHIP_MODULE_H_
#define SRC_DANDELIONMILL_CONTROL_MEMBERSHIP_MODULE_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <utility>

#include "dandelionmill/control/context.h"
#include "dandelionmill/control/module.h"
#include "dandelionmill/membership/gossip.h"
#include "dandelionmill/wire/bus.h"

namespace dandelionmill::metrics {
class Gauge;
}  // namespace dandelionmill::metrics

namespace dandelionmill::wire {
class Heartbeat;
class HeartbeatReply;
class RouterHello;
class ZoneView;
}  // namespace dandelionmill::wire

namespace dandelionmill::control {

// Maintains Context::members: combines the platform's instance list with
// heartbeats between controls, and sends routers the view of their zone.
class MembershipModule : public Module {
 public:
  explicit MembershipModule(Context& context);

  void OnMessage(const wire::Route& from,
                 const wire::Envelope& message) override;
  void OnTick(base::MonoTime now) override;
  void OnConfig() override;
  void OnLeave() override;
  void Dump(nlohmann::json& dump) const override;

 private:
  // A router that sent a RouterHello recently.
  struct KnownRouter {
    wire::Route route;
    std::string router;
    std::string zone;
    base::ConfigVersion config_version = 0;
    std::int64_t running_requests = 0;
    bool leaving = false;
    base::MonoTime last_seen;
    // When the router was last sent a view with all controls of the zone.
    base::MonoTime full_view_sent_at;
  };

  template <class Message>
  void OnHeartbeat(const Message& message);
  void OnRouterHello(const wire::Route& from,
                     std::uint64_t id,
                     const wire::RouterHello& hello);
  void ReadList(base::MonoTime now);
  void OnList(const std::vector<storage::ListedInstance>& list);
  // Updates the leaving backend servers from the platform's list as of `as_of`,
  // unless the known set is as recent or newer. Returns whether the set
  // changed.
  bool UpdateLeavingBackends(std::set<base::BackendId> leaving,
                             base::MonoTime as_of);
  // Sends a heartbeat to every control of the zone.
  void SendHeartbeatsToZone();
  template <class Message>
  void FillHeartbeat(Message& message, bool to_new_peer);
  // Lists all controls of the zone if `full`, else only this one.
  void FillZoneView(wire::ZoneView& view, bool full) const;
  void PublishView();
  void SendViewToRouters();
  void ExpireRouters();

  Context& context_;
  membership::Gossip gossip_;
  metrics::Gauge& known_;
  metrics::Gauge& unreachable_;
  metrics::Gauge& list_fresh_;
  std::map<std::string, KnownRouter> routers_;
  bool list_requested_ = false;
  base::MonoTime next_list_;
  base::MonoTime list_read_at_;
  // When the platform's list contained Context::members.leaving_backends; the
  // default value when no list is known.
  base::MonoTime leaving_as_of_;
  base::MonoTime now_;
  // Reachable controls of the zone, and whether they are leaving.
  std::set<std::pair<base::HolderId, bool>> zone_controls_;
  // Whether routers have to be sent a changed view.
  bool view_changed_ = false;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_MEMBERSHIP_MODULE_H_
