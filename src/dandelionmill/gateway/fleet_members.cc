#include "dandelionmill/gateway/fleet_members.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

using nlohmann::json;

constexpr char kTable[] = "instances";
constexpr std::chrono::milliseconds kTimeout{600};

// Returns nothing when the row cannot be read.
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
                           Self self,
                           Listener listener)
    : table_(table), self_(std::move(self)), listener_(std::move(listener)) {}

storage::RowKey FleetMembers::OwnKey() const {
  return {kTable, "", self_.instance};
}

void FleetMembers::Tick() {
  if (is_under_way_ || has_left_)
    return;
  is_under_way_ = true;
  storage::RowChange change;
  change.puts.push_back({OwnKey(), json{{"process", self_.process},
                                        {"peer", net::ToString(self_.peers)}}
                                       .dump()});
  table_.Commit(std::move(change), kTimeout, [this](storage::TableAnswer) {
    if (has_left_)
      return;
    // Reading tells whether the store can be reached; a lost heartbeat is
    // written again with the next tick.
    Read();
  });
}

void FleetMembers::Read() {
  table_.Read(kTable, "", "", kTimeout, [this](storage::TableAnswer answer) {
    is_under_way_ = false;
    if (answer.outcome == storage::CallOutcome::kDone)
      OnRows(answer, std::chrono::steady_clock::now());
  });
}

void FleetMembers::OnRows(const storage::TableAnswer& answer,
                          base::MonoTime now) {
  // Nobody could write while the store was away.
  if (last_read_ != base::MonoTime() && now - last_read_ > 2 * kHeartbeat) {
    for (auto& [instance, seen] : seen_)
      seen.changed_at += now - last_read_;
  }
  last_read_ = now;
  std::map<std::string, Seen> rows;
  std::vector<peer::Instance> peers;
  int alive = 0;
  for (const storage::VersionedRow& row : answer.rows) {
    Seen seen = seen_[row.key.key];
    if (seen.version != row.version)
      seen = {row.version, now};
    if (now - seen.changed_at < kLifetime) {
      ++alive;
      const auto peer = DecodePeer(row.key.key, row.value);
      if (peer && row.key.key != self_.instance)
        peers.push_back(*peer);
    }
    rows[row.key.key] = seen;
  }
  seen_ = std::move(rows);
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

void FleetMembers::Leave(std::function<void()> done) {
  has_left_ = true;
  storage::RowChange change;
  change.deletes.push_back(OwnKey());
  table_.Commit(std::move(change), kTimeout,
                [done = std::move(done)](storage::TableAnswer) { done(); });
}

}  // namespace dandelionmill::gateway
