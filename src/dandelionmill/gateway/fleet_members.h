#ifndef SRC_DANDELIONMILL_GATEWAY_FLEET_MEMBERS_H_
#define SRC_DANDELIONMILL_GATEWAY_FLEET_MEMBERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/peer/borrower.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::gateway {

// Observes the live instances of the fleet by their heartbeats in the store.
// The count is only used to divide limits that the fleet shares. While the
// store is unreachable, it does not change. When the store was restored from an
// older copy, live instances stay known until they time out, and listed ones
// that are not known to live must write a heartbeat first.
class FleetMembers {
 public:
  static constexpr std::chrono::milliseconds kHeartbeatInterval{2000};
  // An instance without a new heartbeat for this long is not counted: three
  // intervals and the time that one write may take.
  static constexpr std::chrono::milliseconds kMemberTimeout{7000};
  // The rows are read this often for each instance of a fleet in which that is
  // longer than kHeartbeatInterval, so that the bytes that an instance reads do
  // not grow with the fleet.
  static constexpr std::chrono::milliseconds kReadIntervalPerInstance{25};
  // How long after a restore the fleet does not count as settled without an
  // instance that lived before: longer than the partitions between an instance
  // and the store that users reported.
  static constexpr std::chrono::milliseconds kSettleTimeout{20000};

  // What an instance publishes about itself.
  struct Identity {
    std::string instance;
    std::string process;
    // Address at which it serves other instances.
    net::Address peer_address;
    base::ZoneId zone;
  };
  // What an instance publishes about its state.
  struct State {
    base::ConfigVersion config_version = 0;
    // Era of the store in which it has stored all that it knows of prepaid
    // tokens; not set if some of it is not stored.
    std::optional<std::uint64_t> settled_era;
  };
  // The fleet as of a read.
  struct View {
    // Live instances, including this one.
    int count = 1;
    std::vector<peer::Instance> others;
    // The newest configuration that another live instance has in force.
    base::ConfigVersion newest_config_version = 0;
    // The store's era, if State::settled_era of all others has reached it.
    std::optional<std::uint64_t> settled_era;
  };
  using Listener = std::function<void(View)>;

  // `table` must outlive this. `state` returns the state of this instance.
  FleetMembers(storage::AsyncTable& table,
               Identity self,
               std::function<State()> state,
               Listener listener);

  // Commands.
  // Writes a heartbeat, and reads those of the other instances if they are due.
  // Call every kHeartbeatInterval.
  void Tick() { Tick(IsReadDue()); }
  // Writes a heartbeat and reads those of the other instances.
  void TickAndRead() { Tick(true); }
  // Deletes the heartbeat of this instance and stops. `done` runs whether or
  // not that succeeded.
  void Deregister(std::function<void()> done);

  // Query.
  // Number of live instances as of the last read; at least 1.
  int count() const { return count_; }

 private:
  struct ObservedHeartbeat {
    std::uint64_t version = 0;
    base::MonoTime changed_at{};
    // Not set if the row is malformed.
    std::optional<peer::Instance> peer;
    State state;
    // The fields of the last row that could not be read, as logged.
    std::string problem;
    // The restored store lacks the row.
    bool is_lost = false;
    // The fleet is not settled before without this instance.
    base::MonoTime awaited_until{};
  };

  void Tick(bool reads);
  bool IsReadDue() const;
  std::chrono::milliseconds ReadInterval() const;
  // Reads the rows from `from_key` on, page by page, after those in `earlier`.
  void Read(const std::string& from_key,
            std::vector<storage::VersionedRow> earlier);
  // Updates the observed heartbeats.
  void Observe(const storage::TableResponse& answer, base::MonoTime now);
  void Report(std::size_t listed, base::MonoTime now);
  bool IsLive(const std::string& instance,
              const ObservedHeartbeat& heartbeat,
              base::MonoTime now) const;
  storage::RowKey OwnKey() const;

  storage::AsyncTable& table_;
  const Identity own_;
  const std::function<State()> state_;
  const Listener listener_;
  std::map<std::string, ObservedHeartbeat> observed_;
  base::MonoTime read_begun_at_{};
  base::MonoTime last_read_{};
  std::optional<std::uint64_t> era_;
  int calls_in_progress_ = 0;
  bool is_deregistered_ = false;
  int count_ = 1;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_FLEET_MEMBERS_H_
