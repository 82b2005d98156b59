#include "dandelionmill/gateway/fleet_members.h"

#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::gateway {
namespace {

constexpr char kTable[] = "instances";
constexpr std::chrono::milliseconds kTimeout{600};

}  // namespace

FleetMembers::FleetMembers(storage::AsyncTable& table,
                           std::string instance,
                           std::string process,
                           std::function<void(int)> on_count)
    : table_(table),
      instance_(std::move(instance)),
      process_(std::move(process)),
      on_count_(std::move(on_count)) {}

storage::RowKey FleetMembers::OwnKey() const {
  return {kTable, "", instance_};
}

void FleetMembers::Tick() {
  if (is_under_way_ || has_left_)
    return;
  is_under_way_ = true;
  storage::RowChange change;
  change.puts.push_back({OwnKey(), process_});
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
  std::map<std::string, Seen> rows;
  int alive = 0;
  for (const storage::VersionedRow& row : answer.rows) {
    Seen seen = seen_[row.key.key];
    if (seen.version != row.version)
      seen = {row.version, now};
    if (now - seen.changed_at < kLifetime)
      ++alive;
    rows[row.key.key] = seen;
  }
  seen_ = std::move(rows);
  alive = alive > 0 ? alive : 1;
  if (alive == count_)
    return;
  log::Event(log::Level::kInfo, "instances_counted")
      .With("from", count_)
      .With("to", alive)
      .With("listed", answer.rows.size());
  count_ = alive;
  on_count_(count_);
}

void FleetMembers::Leave(std::function<void()> done) {
  has_left_ = true;
  storage::RowChange change;
  change.deletes.push_back(OwnKey());
  table_.Commit(std::move(change), kTimeout,
                [done = std::move(done)](storage::TableAnswer) { done(); });
}

}  // namespace dandelionmill::gateway
