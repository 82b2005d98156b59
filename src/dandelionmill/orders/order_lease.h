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

// The right to give orders to the engines of one service: a row of the table
// that its holder rewrites at regular times. Whoever has seen the row unchanged
// for longer than a lease lasts takes it over with a higher fencing number. No
// clock but one's own is read: the holder counts from before its last write,
// the others from after they first read it. Pure.
class OrderLease {
 public:
  struct Options {
    // How long a write gives the right to order.
    std::chrono::milliseconds length{10000};
    // By how much the others wait longer, for clocks that run unevenly.
    std::chrono::milliseconds margin{2000};
    std::chrono::milliseconds renew_period{3000};
    std::chrono::milliseconds read_period{2000};
    // How long a new holder waits for orders of the old one to land, where
    // engines do not refuse them.
    std::chrono::milliseconds settle{5000};
  };
  struct ReadRow {};
  struct WriteRow {
    storage::RowWrite write;
  };
  using Action = std::variant<ReadRow, WriteRow>;

  OrderLease(std::string key, base::HolderId holder, Options options);

  // Commands. Returns what to do now; nothing while an answer is awaited.
  std::optional<Action> OnTick(base::MonoTime now);
  void OnRead(const base::Result<storage::Row>& row, base::MonoTime now);
  void OnWritten(const base::Status& status, base::MonoTime now);
  // An engine has seen `fence`: the next write must go beyond it.
  void OnHigherFence(std::uint64_t fence);
  // Gives the lease up; the others still wait until it has run out.
  void Resign() { resigned_ = true; }
  // Whether some engines do not check the number.
  void SetWaitOut(bool wait_out) { wait_out_ = wait_out; }

  // Queries.
  // The fencing number for orders that are sent now, or nothing. Ask right
  // before each order.
  std::optional<std::uint64_t> Fence(base::MonoTime now) const;
  bool IsHolder() const { return held_; }
  const std::string& key() const { return key_; }

 private:
  struct Content {
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t beat = 0;
  };
  static Content Parse(const std::string& value);
  static std::string Format(const Content& content);
  WriteRow Write(bool take_over, base::MonoTime now);

  const std::string key_;
  const base::HolderId holder_;
  const Options options_;

  bool waiting_ = false;
  bool resigned_ = false;
  bool wait_out_ = true;
  bool held_ = false;
  base::MonoTime next_;
  // The row as last read or written.
  std::uint64_t version_ = 0;
  Content content_;
  bool row_known_ = false;
  // When that version was first read.
  base::MonoTime seen_at_;
  // The write in progress.
  Content written_;
  base::MonoTime write_began_;
  // The right to order runs from `orders_from_` until before `held_until_`.
  base::MonoTime orders_from_;
  base::MonoTime held_until_;
  std::uint64_t least_fence_ = 0;
};

}  // namespace dandelionmill::orders

#endif  // SRC_DANDELIONMILL_ORDERS_ORDER_LEASE_H_
