#ifndef TESTS_PROPERTY_BUDGET_WORLD_PARTS_H_
#define TESTS_PROPERTY_BUDGET_WORLD_PARTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "dandelionmill/budget/holder_lease.h"
#include "dandelionmill/budget/recovery.h"
#include "dandelionmill/budget/row.h"
#include "tests/property/budget/world.h"

namespace budget = dandelionmill::budget;

inline constexpr World::Tokens kWorldGranted = 400;

struct World::Holder {
  explicit Holder(HolderId holder) : id(std::move(holder)), lease(id) {}

  struct Reservation {
    RouterId router;
    Tokens tokens = 0;
    // A second router that is taking over the attempt.
    std::optional<RouterId> joining_router;
  };

  HolderId id;
  budget::HolderLease lease;
  bool alive = true;
  // The `closed` field of the holder's row in the table.
  bool row_closed = false;
  // The last row read or committed; nullopt after a rejected write until the
  // next read.
  std::optional<budget::Row> last_row;
  std::uint64_t last_row_version = 0;
  // Whether the outcome of the last write is unknown.
  bool write_open = false;
  int write_copies = 0;
  budget::Row written_row;
  std::uint64_t write_base_version = 0;
  // Recoveries contained in the write whose outcome is unknown.
  std::vector<budget::RecoveryResult> recoveries;
  budget::HolderReports reports;
  std::map<AttemptId, Reservation> reservations;
};

struct World::Router {
  struct HeldAttempt {
    // The holder under which the attempt's use is counted.
    HolderId holder;
    Tokens tokens = 0;
    // Distinguishes an attempt that returned to this router from its earlier
    // presence here.
    int join = 0;
  };

  RouterId id;
  bool alive = true;
  std::set<HolderId> closed;
  std::map<HolderId, Tokens> settled;
  std::map<AttemptId, HeldAttempt> running;
};

// The engine's state of an attempt.
struct World::Attempt {
  HolderId holder;
  Tokens token_limit = 0;
  Tokens used = 0;
  bool started = false;
  bool done = false;
};

#endif  // TESTS_PROPERTY_BUDGET_WORLD_PARTS_H_
