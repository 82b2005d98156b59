#ifndef SRC_DANDELIONMILL_ORDERS_ORDER_LEASE_H_
#define SRC_DANDELIONMILL_ORDERS_ORDER_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::orders {

// The right to send orders to the engines of one service: a row of the table
// store that its holder rewrites periodically. A contender that has seen the
// row unchanged for longer than the lease takes it over with a higher fencing
// number. Each process uses only its own clock: the holder counts from before
// its last write, the others from after they first read it. Does no I/O.
class OrderLease {
 public:
  struct Options {
    // How long the lease lasts, counted from the start of a write.
    std::chrono::milliseconds length{10000};
    // How much longer the other contenders wait, to allow for clock drift.
    std::chrono::milliseconds margin{2000};
    std::chrono::milliseconds renew_period{3000};
    std::chrono::milliseconds read_period{2000};
    // How long a new holder waits for orders of the previous one to arrive,
    // where engines do not check the fencing number.
    std::chrono::milliseconds settle{5000};
  };
  struct ReadRow {};
  struct WriteRow {
    storage::RowWrite write;
  };
  using Action = std::variant<ReadRow, WriteRow>;

  OrderLease(std::string key, base::HolderId holder, Options options);

  // Commands.
  // Returns the action to perform now, or nothing while a reply is awaited.
  std::optional<Action> OnTick(base::MonoTime now);
  void OnRead(const base::Result<storage::Row>& row, base::MonoTime now);
  void OnWritten(const base::Status& status, base::MonoTime now);
  // An engine has seen `fence`: the next write must use a higher number.
  void OnHigherFence(std::uint64_t fence);
  // Stops using the lease; the others still wait until it has expired.
  void Resign() { resigned_ = true; }
  // Sets whether a new holder waits for Options::settle, as it must when some
  // engines do not check the fencing number.
  void SetSettleRequired(bool required) { settle_required_ = required; }

  // Queries.
  // Returns the fencing number for orders sent at `now`, or nothing when no
  // order may be sent. Call it right before each order.
  std::optional<std::uint64_t> Fence(base::MonoTime now) const;
  bool IsHolder() const { return held_; }
  const std::string& key() const { return key_; }

 private:
  struct RowContent {
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t heartbeat = 0;
  };
  static RowContent Parse(const std::string& value);
  static std::string Format(const RowContent& content);
  WriteRow PrepareWrite(bool take_over, base::MonoTime now);

  const std::string key_;
  const base::HolderId holder_;
  const Options options_;

  bool awaiting_reply_ = false;
  bool resigned_ = false;
  bool settle_required_ = true;
  bool held_ = false;
  base::MonoTime next_action_at_;
  // Version and content of the row as last read or written.
  std::uint64_t version_ = 0;
  RowContent content_;
  bool row_known_ = false;
  // When `version_` was first read.
  base::MonoTime version_seen_at_;
  // The write in progress.
  RowContent pending_write_;
  base::MonoTime write_started_at_;
  // Orders may be sent from `orders_allowed_from_` until before `held_until_`.
  base::MonoTime orders_allowed_from_;
  base::MonoTime held_until_;
  std::uint64_t min_fence_ = 0;
};

}  // namespace dandelionmill::orders

#endif  // SRC_DANDELIONMILL_ORDERS_ORDER_LEASE_H_
