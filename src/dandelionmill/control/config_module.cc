#include "dandelionmill/control/config_module.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "dandelionmill/control/internal/config_spread.h"
#include "dandelionmill/control/platform_io.h"
#include "dandelionmill/inventory/head.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/metrics/registry.h"
#include "dandelionmill/settings/schema.h"
#include "dandelionmill/wire/envelope.pb.h"
#include "dandelionmill/wire/pending_calls.h"

namespace dandelionmill::control {
namespace {

constexpr std::chrono::milliseconds kFetchReplyTimeout{1000};

std::map<std::string, std::string> DigestsOf(
    const google::protobuf::RepeatedPtrField<wire::ConfigPart>& parts) {
  std::map<std::string, std::string> digests;
  for (const wire::ConfigPart& part : parts)
    digests[part.name()] = part.sha256();
  return digests;
}

}  // namespace

ConfigModule::ConfigModule(Context& context) : context_(context) {}

void ConfigModule::OnMessage(const wire::Route& from,
                             const wire::Envelope& message) {
  const base::HolderId sender(message.sender());
  if (message.has_config_fetch())
    return ReplyToFetch(from, message.id(), message.config_fetch());
  if (message.has_config_content())
    return OnContent(message.config_content());
  if (message.has_config_head())
    return Run(distributor_.OnAnnounced(sender, message.config_head().version(),
                                        now_));
  if (message.has_heartbeat())
    return Run(distributor_.OnAnnounced(
        sender, message.heartbeat().self().config_version(), now_));
  if (message.has_heartbeat_reply())
    return Run(distributor_.OnAnnounced(
        sender, message.heartbeat_reply().self().config_version(), now_));
}

void ConfigModule::OnTick(base::MonoTime now) {
  now_ = now;
  const bool is_zone_poller =
      internal::IsZonePoller(context_.members, context_.instance);
  Run(distributor_.OnTick(is_zone_poller, now));
}

void ConfigModule::Run(const internal::DistributorActions& actions) {
  for (const internal::DistributorAction& action : actions)
    std::visit([this](const auto& item) { Execute(item); }, action);
}

void ConfigModule::Execute(const internal::ReadRow& action) {
  context_.platform.Read(
      action.key, [this, key = action.key](base::Result<storage::Row> row) {
        base::Result<std::string> value = std::string();
        if (base::IsOk(row))
          value = base::ValueOf(row).value;
        else
          value = base::ErrorOf(row);
        Run(distributor_.OnRow(key, value, now_));
      });
}

void ConfigModule::Execute(const internal::GetPart& action) {
  context_.platform.Get(
      inventory::PartObjectName(action.sha256),
      [this, sha256 = action.sha256](const base::Result<std::string>& text) {
        Run(distributor_.OnPart(sha256, text, now_));
      });
}

void ConfigModule::Execute(const internal::FetchFromPeer& action) {
  const std::optional<net::Address> address = ChoosePeer(action.peer);
  if (!address)
    return;
  wire::Envelope message;
  wire::ConfigFetch& fetch = *message.mutable_config_fetch();
  fetch.set_have_version(distributor_.in_force().version);
  for (const auto& [name, sha256] : action.have) {
    wire::ConfigPart& part = *fetch.add_have();
    part.set_name(name);
    part.set_sha256(sha256);
  }
  const std::uint64_t id =
      context_.bus.Send(context_.bus.Connect(*address), std::move(message));
  context_.calls.Expect(id, now_ + kFetchReplyTimeout,
                        [this](const wire::Envelope* reply) {
                          if (reply != nullptr && reply->has_config_content())
                            OnContent(reply->config_content());
                        });
}

void ConfigModule::Execute(const internal::PutInForce& action) {
  context_.config = action.config;
  const base::ConfigVersion version = action.config->version();
  context_.metrics
      .GetGauge("dandelion_config_version",
                "Version of the configuration in force.")
      .Set(static_cast<std::int64_t>(version));
  log::Event(log::Level::kInfo, "config_in_force").With("version", version);
  for (const net::Address& peer :
       internal::PeersToNotify(context_.members, context_.instance)) {
    wire::Envelope message;
    message.mutable_config_head()->set_version(version);
    context_.bus.Send(context_.bus.Connect(peer), std::move(message));
  }
}

void ConfigModule::Execute(const internal::RejectVersion& action) {
  context_.metrics
      .GetCounter("dandelion_config_rejected_total",
                  "Configurations that were found faulty on arrival.")
      .Add();
  log::Event(log::Level::kError, "config_rejected")
      .With("version", action.version)
      .With(action.error);
}

void ConfigModule::OnContent(const wire::ConfigContent& content) {
  std::map<std::string, std::string> texts;
  for (const wire::ConfigPart& part : content.head().parts()) {
    if (!part.content().empty())
      texts[part.name()] = part.content();
  }
  Run(distributor_.OnPeerContent(
      {content.head().version(), DigestsOf(content.head().parts())}, texts,
      now_));
}

void ConfigModule::ReplyToFetch(const wire::Route& to,
                                std::uint64_t id,
                                const wire::ConfigFetch& fetch) {
  const std::map<std::string, std::string> have = DigestsOf(fetch.have());
  wire::Envelope message;
  wire::ConfigHead& head = *message.mutable_config_content()->mutable_head();
  const internal::VersionDigests& in_force = distributor_.in_force();
  head.set_version(in_force.version);
  if (in_force.version > fetch.have_version()) {
    for (const auto& [name, sha256] : in_force.parts) {
      wire::ConfigPart& part = *head.add_parts();
      part.set_name(name);
      part.set_sha256(sha256);
      const auto held = have.find(name);
      if (held == have.end() || held->second != sha256)
        part.set_content(*distributor_.TextOf(name));
    }
  }
  context_.bus.Reply(to, id, std::move(message));
}

std::optional<net::Address> ConfigModule::ChoosePeer(
    const base::HolderId& preferred) {
  std::vector<net::Address> candidates;
  for (const membership::Member& member : context_.members.members) {
    if (member.instance == context_.instance)
      continue;
    if (member.holder == preferred)
      return member.address;
    if (member.reachable)
      candidates.push_back(member.address);
  }
  if (candidates.empty())
    candidates = context_.settings.Addresses("seed_peers");
  if (candidates.empty())
    return std::nullopt;
  return candidates[next_peer_++ % candidates.size()];
}

void ConfigModule::Dump(nlohmann::json& dump) const {
  dump["config"] = {{"version", distributor_.in_force().version},
                    {"parts", distributor_.in_force().parts.size()},
                    {"wanted_version", distributor_.wanted_version()},
                    {"missing_parts", distributor_.missing_parts()}};
}

}  // namespace dandelionmill::control
