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

// Keeps Context::members: joins the platform's instance list with heartbeats
// between controls, and tells routers what they need to know of their zone.
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
  // A router that said hello lately.
  struct KnownRouter {
    wire::Route route;
    std::string router;
    std::string zone;
    base::ConfigVersion config_version = 0;
    std::int64_t running_requests = 0;
    bool leaving = false;
    base::MonoTime heard;
    // When all controls of the zone were last named to it.
    base::MonoTime told_whole_at;
  };

  template <class Message>
  void OnHeard(const Message& message);
  void OnHello(const wire::Route& from,
               std::uint64_t id,
               const wire::RouterHello& hello);
  void ReadList(base::MonoTime now);
  void OnList(const std::vector<storage::ListedInstance>& list);
  // Takes what the platform's list said at `known_at`, if that is newer than
  // what is known. Returns whether the set changed.
  bool OnLeavingBackends(std::set<base::BackendId> leaving,
                         base::MonoTime known_at);
  // Sends a heartbeat to every control of the zone.
  void TellZone();
  template <class Message>
  void Fill(Message& message, bool for_newcomer);
  // Names all controls of the zone, or only this one.
  void FillZoneView(wire::ZoneView& view, bool whole) const;
  void PublishView();
  void TellRouters();
  void ForgetRouters();

  Context& context_;
  membership::Gossip gossip_;
  metrics::Gauge& known_;
  metrics::Gauge& unreachable_;
  metrics::Gauge& list_fresh_;
  std::map<std::string, KnownRouter> routers_;
  bool list_asked_ = false;
  base::MonoTime next_list_;
  base::MonoTime list_read_;
  // When the platform said what leaving_backends holds; the default value when
  // nothing is known.
  base::MonoTime leaving_known_at_;
  base::MonoTime now_;
  // Reachable controls of the zone, and whether they are leaving.
  std::set<std::pair<base::HolderId, bool>> in_zone_;
  // Whether routers must be told of a change.
  bool changed_ = false;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_MEMBERSHIP_MODULE_H_
