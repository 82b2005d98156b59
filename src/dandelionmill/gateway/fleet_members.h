#ifndef SRC_DANDELIONMILL_GATEWAY_FLEET_MEMBERS_H_
#define SRC_DANDELIONMILL_GATEWAY_FLEET_MEMBERS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "dandelionmill/base/units.h"
#include "dandelionmill/peer/borrower.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::gateway {

// Counts the live instances of the fleet by their heartbeats in the store. The
// count only divides limits that the fleet shares; while the store is out of
// reach it stays as it is.
class FleetMembers {
 public:
  static constexpr std::chrono::milliseconds kHeartbeat{2000};
  // Three heartbeats and the time that one may take.
  static constexpr std::chrono::milliseconds kLifetime{7000};

  // What an instance tells the others.
  struct Self {
    std::string instance;
    std::string process;
    // Others send datagrams here.
    net::Address peers;
  };
  // Gets the number of live instances and how to reach the others.
  using Listener = std::function<void(int, std::vector<peer::Instance>)>;

  // `table` must outlive this.
  FleetMembers(storage::AsyncTable& table, Self self, Listener listener);

  // Commands.
  // Writes a heartbeat and reads those of the others.
  void Tick();
  // Takes this instance off the list; `done` runs however that ended.
  void Leave(std::function<void()> done);

  // Query.
  int count() const { return count_; }

 private:
  struct Seen {
    std::uint64_t version = 0;
    base::MonoTime changed_at{};
  };

  void Read();
  void OnRows(const storage::TableAnswer& answer, base::MonoTime now);
  storage::RowKey OwnKey() const;

  storage::AsyncTable& table_;
  const Self self_;
  const Listener listener_;
  std::map<std::string, Seen> seen_;
  base::MonoTime last_read_{};
  bool is_under_way_ = false;
  bool has_left_ = false;
  int count_ = 1;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_FLEET_MEMBERS_H_
