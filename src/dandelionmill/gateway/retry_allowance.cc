#include "dandelionmill/gateway/retry_allowance.h"

#include <algorithm>

namespace dandelionmill::gateway {
namespace {

constexpr int kSlicesPerWindow = 10;

}  // namespace

RetryAllowance::Slice& RetryAllowance::CurrentSlice(base::MonoTime now) {
  while (!slices_.empty() && slices_.front().begin <= now - limits_.window)
    slices_.pop_front();
  if (slices_.empty() ||
      now >= slices_.back().begin + limits_.window / kSlicesPerWindow)
    slices_.push_back({now});
  return slices_.back();
}

void RetryAllowance::OnRequest(base::MonoTime now) {
  ++CurrentSlice(now).requests;
}

bool RetryAllowance::TryTake(int instances, base::MonoTime now) {
  Slice& current = CurrentSlice(now);
  int requests = 0;
  int taken = 0;
  for (const Slice& slice : slices_) {
    requests += slice.requests;
    taken += slice.taken;
  }
  const double max_taken =
      kUsableShare *
      (limits_.ratio * requests + limits_.reserve / std::max(1, instances));
  if (taken + 1 > max_taken)
    return false;
  ++current.taken;
  return true;
}

int RetryAllowance::TakenWithin(base::MonoTime now) const {
  int taken = 0;
  for (const Slice& slice : slices_) {
    if (slice.begin > now - limits_.window)
      taken += slice.taken;
  }
  return taken;
}

}  // namespace dandelionmill::gateway
