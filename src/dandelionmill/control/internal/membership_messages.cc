#include "dandelionmill/control/internal/membership_messages.h"

namespace dandelionmill::control::internal {
namespace {

constexpr int kMaxRumors = 64;  // accepted per message

}  // namespace

membership::Rumor ToRumor(const wire::ControlInfo& info) {
  membership::Rumor rumor;
  rumor.member.holder = base::HolderId(info.holder());
  rumor.member.instance = base::InstanceId(info.instance());
  rumor.member.zone = base::ZoneId(info.zone());
  rumor.member.region = base::RegionId(info.region());
  const base::Result<net::Address> address = net::ParseAddress(info.address());
  if (base::IsOk(address))
    rumor.member.address = base::ValueOf(address);
  rumor.member.leaving = info.leaving();
  rumor.member.reachable = !info.unreachable();
  rumor.member.config_version = info.config_version();
  rumor.sequence = info.sequence();
  return rumor;
}

std::vector<membership::Rumor> ToRumors(
    const google::protobuf::RepeatedPtrField<wire::ControlInfo>& infos) {
  std::vector<membership::Rumor> rumors;
  for (int i = 0; i < infos.size() && i < kMaxRumors; ++i)
    rumors.push_back(ToRumor(infos[i]));
  return rumors;
}

wire::ControlInfo ToControlInfo(const membership::Rumor& rumor) {
  wire::ControlInfo info;
  info.set_holder(rumor.member.holder.value());
  info.set_instance(rumor.member.instance.value());
  info.set_zone(rumor.member.zone.value());
  info.set_region(rumor.member.region.value());
  info.set_address(net::ToString(rumor.member.address));
  info.set_leaving(rumor.member.leaving);
  info.set_unreachable(!rumor.member.reachable);
  info.set_config_version(rumor.member.config_version);
  info.set_sequence(rumor.sequence);
  return info;
}

std::set<base::BackendId> ToBackends(const wire::ListNews& news) {
  std::set<base::BackendId> backends;
  for (const std::string& backend : news.leaving_backends())
    backends.emplace(backend);
  return backends;
}

}  // namespace dandelionmill::control::internal
