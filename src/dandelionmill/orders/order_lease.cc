#include "dandelionmill/orders/order_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace dandelionmill::orders {

OrderLease::OrderLease(std::string key, base::HolderId holder, Options options)
    : key_(std::move(key)), holder_(std::move(holder)), options_(options) {}

OrderLease::RowContent OrderLease::Parse(const std::string& value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object())
    return {};
  return {json.value("holder", ""), json.value("fence", std::uint64_t{0}),
          json.value("beat", std::uint64_t{0})};
}

std::string OrderLease::Format(const RowContent& content) {
  return nlohmann::json{{"holder", content.holder},
                        {"fence", content.fence},
                        {"beat", content.heartbeat}}
      .dump();
}

std::optional<OrderLease::Action> OrderLease::OnTick(base::MonoTime now) {
  if (awaiting_reply_ || now < next_action_at_)
    return std::nullopt;
  awaiting_reply_ = true;
  const bool own_row = row_known_ && content_.holder == holder_.value();
  // A row that names this holder while the lease is not held comes from a write
  // whose outcome is unknown. It is written again, because only a write that is
  // known to have succeeded gives the lease.
  if (own_row && !resigned_)
    return PrepareWrite(!held_, now);
  const bool expired =
      row_known_ && (version_ == 0 || now - version_seen_at_ >
                                          options_.length + options_.margin);
  if (expired && !resigned_)
    return PrepareWrite(true, now);
  return ReadRow{};
}

OrderLease::WriteRow OrderLease::PrepareWrite(bool take_over,
                                              base::MonoTime now) {
  pending_write_ = content_;
  pending_write_.holder = holder_.value();
  ++pending_write_.heartbeat;
  if (take_over || content_.fence < min_fence_)
    pending_write_.fence = std::max(content_.fence, min_fence_) + 1;
  write_started_at_ = now;
  return {{key_, version_, Format(pending_write_), false}};
}

void OrderLease::OnWritten(const base::Status& status, base::MonoTime now) {
  awaiting_reply_ = false;
  if (!base::IsOk(status)) {
    // Read the row: this write may have succeeded, or that of another holder.
    next_action_at_ = now;
    row_known_ = false;
    return;
  }
  if (!held_) {
    held_ = true;
    orders_allowed_from_ =
        now +
        (settle_required_ ? options_.settle : std::chrono::milliseconds{0});
  }
  ++version_;
  content_ = pending_write_;
  held_until_ = write_started_at_ + options_.length;
  next_action_at_ = now + options_.renew_period;
}

void OrderLease::OnRead(const base::Result<storage::Row>& result,
                        base::MonoTime now) {
  awaiting_reply_ = false;
  next_action_at_ = now + options_.read_period;
  if (!base::IsOk(result))
    return;
  const storage::Row& row = base::ValueOf(result);
  const RowContent content = Parse(row.value);
  if (!row_known_ || row.version != version_) {
    // A version that was known before a failed write keeps its first-seen time.
    if (row.version != version_)
      version_seen_at_ = now;
    version_ = row.version;
    content_ = content;
    row_known_ = true;
  }
  if (content.holder == holder_.value())
    next_action_at_ = now;
  else
    held_ = false;
}

void OrderLease::OnHigherFence(std::uint64_t fence) {
  min_fence_ = std::max(min_fence_, fence);
  next_action_at_ = base::MonoTime();
}

std::optional<std::uint64_t> OrderLease::Fence(base::MonoTime now) const {
  if (!held_ || resigned_ || now < orders_allowed_from_ || now >= held_until_)
    return std::nullopt;
  return content_.fence;
}

}  // namespace dandelionmill::orders
