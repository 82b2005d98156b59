#include "dandelionmill/router/control_directory.h"

#include <algorithm>
#include <utility>

#include "dandelionmill/membership/ownership.h"

namespace dandelionmill::router {

ControlDirectory::ControlDirectory(std::vector<net::Address> configured)
    : configured_(std::move(configured)) {}

void ControlDirectory::OnZoneView(const wire::Route& route,
                                  const base::HolderId& holder,
                                  const wire::ZoneView& view,
                                  base::MonoTime now) {
  Control& control = controls_[holder];
  control.route = route;
  control.may_grant = view.may_grant();
  control.last_message_at = now;
  control.leaving_backends.clear();
  for (const std::string& backend : view.leaving_backends())
    control.leaving_backends.emplace(backend);
  const std::string& name = holder.value();
  control.instance = base::InstanceId(name.substr(0, name.rfind('/')));
  for (const wire::ControlInfo& info : view.controls()) {
    const auto address = net::ParseAddress(info.address());
    if (base::IsOk(address))
      advertised_[base::ValueOf(address)] = now;
    if (info.holder() == name) {
      control.leaving = info.leaving();
      if (!info.instance().empty())
        control.instance = base::InstanceId(info.instance());
    }
  }
}

void ControlDirectory::OnMessage(const base::HolderId& holder,
                                 base::MonoTime now) {
  const auto found = controls_.find(holder);
  if (found != controls_.end())
    found->second.last_message_at = now;
}

void ControlDirectory::RemoveStale(base::MonoTime now) {
  for (auto control = controls_.begin(); control != controls_.end();) {
    if (now - control->second.last_message_at > kRemovalTimeout)
      control = controls_.erase(control);
    else
      ++control;
  }
  for (auto entry = advertised_.begin(); entry != advertised_.end();) {
    if (now - entry->second > kRemovalTimeout)
      entry = advertised_.erase(entry);
    else
      ++entry;
  }
}

std::set<net::Address> ControlDirectory::Addresses() const {
  std::set<net::Address> addresses(configured_.begin(), configured_.end());
  for (const auto& [address, listed_at] : advertised_)
    addresses.insert(address);
  return addresses;
}

std::optional<wire::Route> ControlDirectory::RouteOf(
    const base::HolderId& holder,
    base::MonoTime now) const {
  const Control* control = FindControl(holder);
  if (control == nullptr || now - control->last_message_at > kLivenessTimeout)
    return std::nullopt;
  return control->route;
}

const ControlDirectory::Control* ControlDirectory::FindControl(
    const base::HolderId& holder) const {
  auto found = controls_.find(holder);
  if (found == controls_.end()) {
    const std::string& id = holder.value();
    found = controls_.find(base::HolderId(id.substr(0, id.rfind('.'))));
  }
  return found == controls_.end() ? nullptr : &found->second;
}

std::vector<base::HolderId> ControlDirectory::RankedControls(
    const std::string& budget_key,
    base::MonoTime now) const {
  // After a restart an instance may have two controls here; the one with the
  // latest message is used.
  std::map<base::InstanceId, const std::pair<const base::HolderId, Control>*>
      live;
  std::vector<base::InstanceId> instances;
  for (const auto& entry : controls_) {
    const Control& control = entry.second;
    if (!control.may_grant || control.leaving ||
        now - control.last_message_at > kLivenessTimeout)
      continue;
    const auto*& chosen = live[control.instance];
    if (chosen == nullptr)
      instances.push_back(control.instance);
    if (chosen == nullptr ||
        chosen->second.last_message_at < control.last_message_at)
      chosen = &entry;
  }
  std::vector<base::HolderId> ranked;
  for (const base::InstanceId& instance :
       membership::RankOwners(budget_key, instances))
    ranked.push_back(live[instance]->first);
  return ranked;
}

int ControlDirectory::InstancesInZone(base::MonoTime now) const {
  std::set<base::InstanceId> instances;
  for (const auto& [holder, control] : controls_) {
    if (now - control.last_message_at <= kLivenessTimeout)
      instances.insert(control.instance);
  }
  return std::max<int>(1, static_cast<int>(instances.size()));
}

std::set<base::BackendId> ControlDirectory::LeavingBackends(
    base::MonoTime now) const {
  std::set<base::BackendId> leaving;
  for (const auto& [holder, control] : controls_) {
    if (now - control.last_message_at <= kLivenessTimeout)
      leaving.insert(control.leaving_backends.begin(),
                     control.leaving_backends.end());
  }
  return leaving;
}

bool ControlDirectory::IsAlive(const base::HolderId& holder,
                               base::MonoTime now) const {
  return RouteOf(holder, now).has_value();
}

std::vector<base::HolderId> ControlDirectory::LiveControls(
    base::MonoTime now) const {
  std::vector<base::HolderId> live;
  for (const auto& [holder, control] : controls_) {
    if (now - control.last_message_at <= kLivenessTimeout)
      live.push_back(holder);
  }
  return live;
}

}  // namespace dandelionmill::router
