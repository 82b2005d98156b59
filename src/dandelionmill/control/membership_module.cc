#include "dandelionmill/control/membership_module.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/control/internal/config_spread.h"
#include "dandelionmill/control/internal/membership_messages.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/metrics/registry.h"
#include "dandelionmill/settings/schema.h"
#include "dandelionmill/wire/envelope.pb.h"

namespace dandelionmill::control {
namespace {

using std::chrono::milliseconds;

// How often zone pollers read the platform's instance list, and other controls.
constexpr milliseconds kZonePollerListPeriod{1000};
constexpr milliseconds kListPeriod{20000};
constexpr milliseconds kListMaxAge{30000};
constexpr milliseconds kRouterTimeout{10000};
// How often a reply to a router lists all controls of the zone; other replies
// list this one only. Routers forget a control that is not listed for 30 s.
constexpr milliseconds kFullViewPeriod{5000};

membership::Rumor DescribeSelf(const Context& context) {
  membership::Rumor self;
  self.member.holder = context.holder;
  self.member.instance = context.instance;
  self.member.zone = context.zone;
  self.member.region = context.region;
  self.member.address = context.settings.AddressOf("bus_address");
  self.sequence = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  return self;
}

}  // namespace

MembershipModule::MembershipModule(Context& context)
    : context_(context),
      gossip_(membership::Gossip::Options(),
              DescribeSelf(context),
              base::StableHash(context.holder.value())),
      known_(context.metrics.GetGauge("dandelion_controls_known",
                                      "Controls known, this one included.")),
      unreachable_(context.metrics.GetGauge(
          "dandelion_controls_unreachable",
          "Known controls that do not answer heartbeats.")),
      list_fresh_(context.metrics.GetGauge(
          "dandelion_instance_list_fresh",
          "1 when the platform's instance list was read lately, else 0.")) {
  gossip_.SetSeeds(context.settings.Addresses("seed_peers"));
  PublishView();
}

void MembershipModule::OnMessage(const wire::Route& from,
                                 const wire::Envelope& message) {
  if (message.has_heartbeat()) {
    const bool is_new_peer =
        !gossip_.Knows(internal::ToRumor(message.heartbeat().self()).member);
    OnHeartbeat(message.heartbeat());
    wire::Envelope reply;
    FillHeartbeat(*reply.mutable_heartbeat_reply(), is_new_peer);
    context_.bus.Reply(from, message.id(), std::move(reply));
  } else if (message.has_heartbeat_reply()) {
    OnHeartbeat(message.heartbeat_reply());
  } else if (message.has_router_hello()) {
    OnRouterHello(from, message.id(), message.router_hello());
  }
}

template <class Message>
void MembershipModule::OnHeartbeat(const Message& message) {
  if (gossip_.OnMessage(internal::ToRumor(message.self()),
                        internal::ToRumors(message.known()), now_))
    PublishView();
  if (message.has_list())
    UpdateLeavingBackends(
        internal::ToBackends(message.list()),
        now_ - std::clamp(milliseconds(message.list().age_ms()),
                          milliseconds(0), kListMaxAge));
}

template <class Message>
void MembershipModule::FillHeartbeat(Message& message, bool to_new_peer) {
  *message.mutable_self() = internal::ToControlInfo(gossip_.self());
  for (const membership::Rumor& rumor : gossip_.TakeRumors(to_new_peer))
    *message.add_known() = internal::ToControlInfo(rumor);
  if (leaving_as_of_ == base::MonoTime())
    return;
  message.mutable_list()->set_age_ms(
      std::chrono::duration_cast<milliseconds>(now_ - leaving_as_of_).count());
  for (const base::BackendId& backend : context_.members.leaving_backends)
    message.mutable_list()->add_leaving_backends(backend.value());
}

void MembershipModule::OnTick(base::MonoTime now) {
  now_ = now;
  for (const net::Address& address : gossip_.OnTick(now)) {
    wire::Envelope message;
    FillHeartbeat(*message.mutable_heartbeat(), false);
    context_.bus.Send(context_.bus.Connect(address), std::move(message));
    PublishView();
  }
  context_.members.list_is_fresh = now - list_read_at_ < kListMaxAge;
  list_fresh_.Set(context_.members.list_is_fresh ? 1 : 0);
  if (!list_requested_ && now >= next_list_)
    ReadList(now);
  ExpireRouters();
  if (view_changed_)
    SendViewToRouters();
}

void MembershipModule::OnConfig() {
  gossip_.SetConfigVersion(context_.config->version());
  PublishView();
  view_changed_ = true;
}

void MembershipModule::OnLeave() {
  gossip_.SetLeaving();
  PublishView();
  view_changed_ = true;
  SendHeartbeatsToZone();  // at once, so that routers switch to other controls
}

void MembershipModule::ReadList(base::MonoTime now) {
  list_requested_ = true;
  next_list_ =
      now + (internal::IsZonePoller(context_.members, context_.instance)
                 ? kZonePollerListPeriod
                 : kListPeriod);
  context_.platform.List(
      [this](const base::Result<std::vector<storage::ListedInstance>>& list) {
        list_requested_ = false;
        if (base::IsOk(list))
          OnList(base::ValueOf(list));
      });
}

void MembershipModule::OnList(
    const std::vector<storage::ListedInstance>& list) {
  list_read_at_ = now_;
  gossip_.OnInstanceList(list, now_);
  context_.members.listed.clear();
  std::set<base::BackendId> leaving;
  for (const storage::ListedInstance& instance : list) {
    context_.members.listed.emplace(instance.id);
    if (instance.role == "backend" && instance.leaving)
      leaving.emplace(instance.id);
  }
  if (UpdateLeavingBackends(std::move(leaving), now_))
    SendHeartbeatsToZone();
}

bool MembershipModule::UpdateLeavingBackends(std::set<base::BackendId> leaving,
                                             base::MonoTime as_of) {
  if (as_of <= leaving_as_of_)
    return false;
  leaving_as_of_ = as_of;
  if (leaving == context_.members.leaving_backends)
    return false;
  context_.members.leaving_backends = std::move(leaving);
  view_changed_ = true;
  return true;
}

void MembershipModule::SendHeartbeatsToZone() {
  for (const membership::Member& member : context_.members.members) {
    if (member.zone != context_.zone || member.instance == context_.instance)
      continue;
    wire::Envelope message;
    FillHeartbeat(*message.mutable_heartbeat(), false);
    context_.bus.Send(context_.bus.Connect(member.address), std::move(message));
  }
}

void MembershipModule::OnRouterHello(const wire::Route& from,
                                     std::uint64_t id,
                                     const wire::RouterHello& hello) {
  KnownRouter& router = routers_[hello.instance()];
  router.route = from;
  if (router.router != hello.router())
    router.full_view_sent_at =
        base::MonoTime();  // a new process has no view yet
  router.router = hello.router();
  router.zone = hello.zone();
  router.config_version = hello.config_version();
  router.running_requests = hello.running_requests();
  router.leaving = hello.leaving();
  router.last_seen = now_;
  const bool full = now_ - router.full_view_sent_at >= kFullViewPeriod;
  if (full)
    router.full_view_sent_at = now_;
  wire::Envelope reply;
  FillZoneView(*reply.mutable_zone_view(), full);
  context_.bus.Reply(from, id, std::move(reply));
}

void MembershipModule::FillZoneView(wire::ZoneView& view, bool full) const {
  for (const membership::Member& member : context_.members.members) {
    const bool named = full || member.instance == context_.instance;
    if (named && member.zone == context_.zone && member.reachable)
      *view.add_controls() = internal::ToControlInfo({member, 0});
  }
  view.set_may_grant(!context_.leaving);
  for (const base::BackendId& backend : context_.members.leaving_backends)
    view.add_leaving_backends(backend.value());
  if (context_.config)
    view.mutable_config()->set_version(context_.config->version());
}

void MembershipModule::PublishView() {
  context_.members.members = gossip_.Members();
  const auto& members = context_.members.members;
  unreachable_.Set(std::count_if(
      members.begin(), members.end(),
      [](const membership::Member& member) { return !member.reachable; }));
  known_.Set(static_cast<std::int64_t>(members.size()));
  std::set<std::pair<base::HolderId, bool>> zone_controls;
  for (const membership::Member& member : members) {
    if (member.zone == context_.zone && member.reachable)
      zone_controls.emplace(member.holder, member.leaving);
  }
  view_changed_ = view_changed_ || zone_controls != zone_controls_;
  zone_controls_ = std::move(zone_controls);
}

void MembershipModule::SendViewToRouters() {
  view_changed_ = false;
  for (const auto& [instance, router] : routers_) {
    wire::Envelope message;
    FillZoneView(*message.mutable_zone_view(), true);
    context_.bus.Send(router.route, std::move(message));
  }
}

void MembershipModule::ExpireRouters() {
  for (auto router = routers_.begin(); router != routers_.end();)
    router = now_ - router->second.last_seen > kRouterTimeout
                 ? routers_.erase(router)
                 : std::next(router);
}

void MembershipModule::Dump(nlohmann::json& dump) const {
  const wire::Bus::Traffic traffic = context_.bus.ReadTraffic();
  dump["bus"] = {{"messages_in", traffic.messages_in},
                 {"messages_out", traffic.messages_out},
                 {"bytes_in", traffic.bytes_in},
                 {"bytes_out", traffic.bytes_out},
                 {"rejected", traffic.rejected}};
  nlohmann::json& json = dump["membership"];
  json["list_is_fresh"] = context_.members.list_is_fresh;
  for (const membership::Member& member : context_.members.members)
    json["controls"].push_back({{"instance", member.instance.value()},
                                {"zone", member.zone.value()},
                                {"reachable", member.reachable},
                                {"leaving", member.leaving},
                                {"config_version", member.config_version}});
  for (const auto& [instance, router] : routers_)
    json["routers"].push_back({{"router", router.router},
                               {"zone", router.zone},
                               {"leaving", router.leaving},
                               {"running_requests", router.running_requests},
                               {"config_version", router.config_version}});
  for (const base::BackendId& backend : context_.members.leaving_backends)
    json["leaving_backends"].push_back(backend.value());
}

}  // namespace dandelionmill::control
