#include "dandelionmill/gateway/fleet_members.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

using nlohmann::json;

constexpr char kTable[] = "instances";
constexpr std::chrono::milliseconds kCallTimeout{600};

// Returns nullopt if the row is malformed.
std::optional<peer::Instance> DecodePeer(const std::string& instance,
                                         const std::string& text) {
  const json row = json::parse(text, nullptr, false);
  if (!row.is_object() || !row.contains("peer") || !row["peer"].is_string())
    return std::nullopt;
  const auto address = net::ParseAddress(row["peer"].get<std::string>());
  if (!base::IsOk(address))
    return std::nullopt;
  return peer::Instance{base::InstanceId(instance), base::ValueOf(address)};
}

}  // namespace

FleetMembers::FleetMembers(storage::AsyncTable& table,
                           Identity self,
                           Listener listener)
    : table_(table), own_(std::move(self)), listener_(std::move(listener)) {}

storage::RowKey FleetMembers::OwnKey() const {
  return {kTable, "", own_.instance};
}

void FleetMembers::Tick() {
  if (is_call_in_progress_ || is_deregistered_)
    return;
  is_call_in_progress_ = true;
  storage::RowChange change;
  change.puts.push_back(
      {OwnKey(), json{{"process", own_.process},
                      {"peer", net::ToString(own_.peer_address)}}
                     .dump()});
  table_.Commit(std::move(change), kCallTimeout,
                [this](storage::TableResponse) {
                  if (is_deregistered_)
                    return;
                  // The outcome is ignored: the read shows whether the store is
                  // reachable, and the next tick writes the heartbeat again.
                  Read();
                });
}

void FleetMembers::Read() {
  table_.Read(kTable, "", "", kCallTimeout,
              [this](storage::TableResponse answer) {
                is_call_in_progress_ = false;
                if (answer.outcome == storage::CallOutcome::kDone)
                  CountLiveInstances(answer, std::chrono::steady_clock::now());
              });
}

void FleetMembers::CountLiveInstances(const storage::TableResponse& answer,
                                      base::MonoTime now) {
  // No instance could write while the store was unreachable, so that time does
  // not count against them.
  if (last_read_ != base::MonoTime() &&
      now - last_read_ > 2 * kHeartbeatInterval) {
    for (auto& [instance, heartbeat] : observed_)
      heartbeat.changed_at += now - last_read_;
  }
  last_read_ = now;
  std::map<std::string, ObservedHeartbeat> rows;
  std::vector<peer::Instance> peers;
  int alive = 0;
  for (const storage::VersionedRow& row : answer.rows) {
    ObservedHeartbeat heartbeat = observed_[row.key.key];
    if (heartbeat.version != row.version)
      heartbeat = {row.version, now};
    if (now - heartbeat.changed_at < kMemberTimeout) {
      ++alive;
      const auto peer = DecodePeer(row.key.key, row.value);
      if (peer && row.key.key != own_.instance)
        peers.push_back(*peer);
    }
    rows[row.key.key] = heartbeat;
  }
  observed_ = std::move(rows);
  alive = alive > 0 ? alive : 1;
  if (alive != count_) {
    log::Event(log::Level::kInfo, "instances_counted")
        .With("from", count_)
        .With("to", alive)
        .With("listed", answer.rows.size());
  }
  count_ = alive;
  listener_(count_, std::move(peers));
}

void FleetMembers::Deregister(std::function<void()> done) {
  is_deregistered_ = true;
  storage::RowChange change;
  change.deletes.push_back(OwnKey());
  table_.Commit(std::move(change), kCallTimeout,
                [done = std::move(done)](storage::TableResponse) { done(); });
}

}  // namespace dandelionmill::gateway
