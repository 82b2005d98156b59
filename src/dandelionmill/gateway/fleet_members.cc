#include "dandelionmill/gateway/fleet_members.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "dandelionmill/base/json_numbers.h"
#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

using nlohmann::json;

constexpr char kTable[] = "instances";
constexpr std::chrono::milliseconds kCallTimeout{600};

struct Heartbeat {
  // Not set if the address is missing or malformed.
  std::optional<peer::Instance> peer;
  FleetMembers::State state;
  // The fields that are missing or have another type, for logs; empty if none.
  std::string problem;
};

Heartbeat DecodeHeartbeat(const std::string& instance,
                          const std::string& text) {
  Heartbeat heartbeat;
  const json row = json::parse(text, nullptr, false);
  if (!row.is_object()) {
    heartbeat.problem = "not a JSON object";
    return heartbeat;
  }
  const auto add_problem = [&heartbeat](const char* name) {
    heartbeat.problem += heartbeat.problem.empty() ? "" : ",";
    heartbeat.problem += name;
  };
  // Returns the field if it is there; an earlier version of this program does
  // not write all of them.
  const auto optional_count =
      [&](const char* name) -> std::optional<std::uint64_t> {
    if (!row.contains(name))
      return std::nullopt;
    const auto count = base::ToJsonInteger(row[name]);
    if (!count) {
      add_problem(name);
      return std::nullopt;
    }
    return static_cast<std::uint64_t>(*count);
  };
  heartbeat.state.config_version = optional_count("config").value_or(0);
  heartbeat.state.settled_era = optional_count("era");
  base::ZoneId zone;
  if (row.contains("zone") && row["zone"].is_string())
    zone = base::ZoneId(row["zone"].get<std::string>());
  else if (row.contains("zone"))
    add_problem("zone");
  const auto address = row.contains("peer") && row["peer"].is_string()
                           ? net::ParseAddress(row["peer"].get<std::string>())
                           : base::Result<net::Address>(base::Error{
                                 base::Code::kMalformedMessage, "no address"});
  if (base::IsOk(address)) {
    heartbeat.peer = peer::Instance{base::InstanceId(instance),
                                    base::ValueOf(address), zone};
  } else {
    add_problem("peer");
  }
  return heartbeat;
}

}  // namespace

FleetMembers::FleetMembers(storage::AsyncTable& table,
                           Identity self,
                           std::function<State()> state,
                           Listener listener)
    : table_(table),
      own_(std::move(self)),
      state_(std::move(state)),
      listener_(std::move(listener)) {}

storage::RowKey FleetMembers::OwnKey() const {
  return {kTable, "", own_.instance};
}

std::chrono::milliseconds FleetMembers::ReadInterval() const {
  return std::max(kHeartbeatInterval, count_ * kReadIntervalPerInstance);
}

bool FleetMembers::IsReadDue() const {
  // A tick may come a little early.
  return std::chrono::steady_clock::now() - read_begun_at_ >=
         ReadInterval() - kHeartbeatInterval / 2;
}

void FleetMembers::Tick(bool reads) {
  if (calls_in_progress_ > 0 || is_deregistered_)
    return;
  const State state = state_();
  json row = {{"process", own_.process},
              {"peer", net::ToString(own_.peer_address)},
              {"zone", own_.zone.value()},
              {"config", state.config_version}};
  if (state.settled_era)
    row["era"] = *state.settled_era;
  storage::RowChange change;
  change.puts.push_back({OwnKey(), row.dump()});
  ++calls_in_progress_;
  // The outcome is ignored: the read shows whether the store is reachable, and
  // the next tick writes the heartbeat again.
  table_.Commit(std::move(change), kCallTimeout,
                [this](storage::TableResponse) { --calls_in_progress_; });
  if (!reads)
    return;
  // Not after the write: the store performs those of the whole fleet one after
  // the other, which takes a second when all instances start together.
  ++calls_in_progress_;
  read_begun_at_ = std::chrono::steady_clock::now();
  Read("", {});
}

void FleetMembers::Read(const std::string& from_key,
                        std::vector<storage::VersionedRow> earlier) {
  table_.Read(
      kTable, "", from_key, kCallTimeout,
      [this,
       earlier = std::move(earlier)](storage::TableResponse answer) mutable {
        const bool is_older = answer.era && era_ && *answer.era < *era_;
        if (answer.outcome != storage::CallOutcome::kDone || is_older ||
            is_deregistered_) {
          --calls_in_progress_;
          return;
        }
        // A later page begins with the last row of the one before.
        if (!earlier.empty())
          earlier.pop_back();
        const bool has_progress = answer.rows.size() > 1;
        earlier.insert(earlier.end(), answer.rows.begin(), answer.rows.end());
        if (answer.has_more && has_progress) {
          Read(answer.rows.back().key.key, std::move(earlier));
          return;
        }
        --calls_in_progress_;
        answer.rows = std::move(earlier);
        const base::MonoTime now = std::chrono::steady_clock::now();
        Observe(answer, now);
        Report(answer.rows.size(), now);
      });
}

void FleetMembers::Observe(const storage::TableResponse& answer,
                           base::MonoTime now) {
  // No instance could write while the store was unreachable, so that time does
  // not count against them.
  if (last_read_ != base::MonoTime() && now - last_read_ > 2 * ReadInterval()) {
    for (auto& [instance, heartbeat] : observed_)
      heartbeat.changed_at += now - last_read_;
  }
  last_read_ = now;
  const bool is_restored = answer.era && era_ && *answer.era > *era_;
  if (answer.era)
    era_ = answer.era;
  if (is_restored) {
    for (auto& [instance, heartbeat] : observed_) {
      if (IsLive(instance, heartbeat, now))
        heartbeat.awaited_until = now + kSettleTimeout;
    }
  }
  std::map<std::string, ObservedHeartbeat> rows;
  for (const storage::VersionedRow& row : answer.rows) {
    const auto known = observed_.find(row.key.key);
    const bool is_known = known != observed_.end();
    ObservedHeartbeat heartbeat =
        is_known ? known->second : ObservedHeartbeat();
    if (is_restored && !is_known)
      heartbeat.changed_at = now - kMemberTimeout;
    else if (!is_restored && heartbeat.version != row.version)
      heartbeat.changed_at = now;
    const Heartbeat decoded = DecodeHeartbeat(row.key.key, row.value);
    if (!decoded.problem.empty() && decoded.problem != heartbeat.problem) {
      log::Event(log::Level::kWarning, "heartbeat_malformed")
          .With("instance", row.key.key)
          .With("fields", decoded.problem)
          .With("is_addressed", decoded.peer.has_value());
    }
    heartbeat.problem = decoded.problem;
    // A restored row is older than what is known.
    if (!is_restored || !is_known) {
      heartbeat.peer = decoded.peer;
      heartbeat.state = decoded.state;
    }
    heartbeat.version = row.version;
    heartbeat.is_lost = false;
    rows[row.key.key] = std::move(heartbeat);
  }
  for (const auto& [instance, heartbeat] : observed_) {
    if (rows.count(instance) != 0 || (!is_restored && !heartbeat.is_lost))
      continue;
    rows[instance] = heartbeat;
    rows[instance].is_lost = true;
  }
  observed_ = std::move(rows);
}

bool FleetMembers::IsLive(const std::string& instance,
                          const ObservedHeartbeat& heartbeat,
                          base::MonoTime now) const {
  return instance == own_.instance ||
         now - heartbeat.changed_at < kMemberTimeout;
}

void FleetMembers::Report(std::size_t listed, base::MonoTime now) {
  View view;
  view.settled_era = era_;
  int alive = 0;
  for (auto it = observed_.begin(); it != observed_.end();) {
    const auto& [instance, heartbeat] = *it;
    const bool is_self = instance == own_.instance;
    const bool is_live = IsLive(instance, heartbeat, now);
    const bool is_awaited = is_live || now < heartbeat.awaited_until;
    if (is_awaited && !is_self && heartbeat.state.settled_era < era_)
      view.settled_era.reset();
    if (is_live) {
      ++alive;
      if (heartbeat.peer && !is_self) {
        view.others.push_back(*heartbeat.peer);
        view.newest_config_version = std::max(view.newest_config_version,
                                              heartbeat.state.config_version);
      }
    } else if (heartbeat.is_lost && !is_awaited) {
      it = observed_.erase(it);
      continue;
    }
    ++it;
  }
  alive = alive > 0 ? alive : 1;
  if (alive != count_) {
    log::Event(log::Level::kInfo, "instances_counted")
        .With("from", count_)
        .With("to", alive)
        .With("listed", listed);
  }
  count_ = alive;
  view.count = alive;
  listener_(std::move(view));
}

void FleetMembers::Deregister(std::function<void()> done) {
  is_deregistered_ = true;
  storage::RowChange change;
  change.deletes.push_back(OwnKey());
  table_.Commit(std::move(change), kCallTimeout,
                [done = std::move(done)](storage::TableResponse) { done(); });
}

}  // namespace dandelionmill::gateway
