#include "dandelionmill/orders/order_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace dandelionmill::orders {

OrderLease::OrderLease(std::string key, base::HolderId holder, Options options)
    : key_(std::move(key)), holder_(std::move(holder)), options_(options) {}

OrderLease::Content OrderLease::Parse(const std::string& value) {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object())
    return {};
  return {json.value("holder", ""), json.value("fence", std::uint64_t{0}),
          json.value("beat", std::uint64_t{0})};
}

std::string OrderLease::Format(const Content& content) {
  return nlohmann::json{{"holder", content.holder},
                        {"fence", content.fence},
                        {"beat", content.beat}}
      .dump();
}

std::optional<OrderLease::Action> OrderLease::OnTick(base::MonoTime now) {
  if (waiting_ || now < next_)
    return std::nullopt;
  waiting_ = true;
  const bool own = row_known_ && content_.holder == holder_.value();
  // A row of ours that we do not hold comes from a write without an answer; it
  // is written again, for only a write known to have succeeded counts.
  if (own && !resigned_)
    return Write(!held_, now);
  const bool run_out =
      row_known_ &&
      (version_ == 0 || now - seen_at_ > options_.length + options_.margin);
  if (run_out && !resigned_)
    return Write(true, now);
  return ReadRow{};
}

OrderLease::WriteRow OrderLease::Write(bool take_over, base::MonoTime now) {
  written_ = content_;
  written_.holder = holder_.value();
  ++written_.beat;
  if (take_over || content_.fence < least_fence_)
    written_.fence = std::max(content_.fence, least_fence_) + 1;
  write_began_ = now;
  return {{key_, version_, Format(written_), false}};
}

void OrderLease::OnWritten(const base::Status& status, base::MonoTime now) {
  waiting_ = false;
  if (!base::IsOk(status)) {
    // Read back: the write may have taken effect, or another one did.
    next_ = now;
    row_known_ = false;
    return;
  }
  if (!held_) {
    held_ = true;
    orders_from_ =
        now + (wait_out_ ? options_.settle : std::chrono::milliseconds{0});
  }
  ++version_;
  content_ = written_;
  held_until_ = write_began_ + options_.length;
  next_ = now + options_.renew_period;
}

void OrderLease::OnRead(const base::Result<storage::Row>& result,
                        base::MonoTime now) {
  waiting_ = false;
  next_ = now + options_.read_period;
  if (!base::IsOk(result))
    return;
  const storage::Row& row = base::ValueOf(result);
  const Content content = Parse(row.value);
  if (!row_known_ || row.version != version_) {
    // A version that was known before an unanswered write keeps its age.
    if (row.version != version_)
      seen_at_ = now;
    version_ = row.version;
    content_ = content;
    row_known_ = true;
  }
  if (content.holder == holder_.value())
    next_ = now;
  else
    held_ = false;
}

void OrderLease::OnHigherFence(std::uint64_t fence) {
  least_fence_ = std::max(least_fence_, fence);
  next_ = base::MonoTime();
}

std::optional<std::uint64_t> OrderLease::Fence(base::MonoTime now) const {
  if (!held_ || resigned_ || now < orders_from_ || now >= held_until_)
    return std::nullopt;
  return content_.fence;
}

}  // namespace dandelionmill::orders
