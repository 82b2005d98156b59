#include "dandelionmill/wire/pending_calls.h"

#include <utility>

#include "dandelionmill/wire/envelope.pb.h"

namespace dandelionmill::wire {

void PendingCalls::Expect(std::uint64_t id,
                          base::MonoTime deadline,
                          Callback callback) {
  calls_[id] = {deadline, std::move(callback)};
}

bool PendingCalls::Deliver(const Envelope& reply) {
  const auto found = calls_.find(reply.in_reply_to());
  if (found == calls_.end())
    return false;
  const Callback callback = std::move(found->second.callback);
  calls_.erase(found);
  callback(&reply);
  return true;
}

void PendingCalls::Expire(base::MonoTime now) {
  std::vector<Callback> expired;
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (call->second.deadline > now) {
      ++call;
      continue;
    }
    expired.push_back(std::move(call->second.callback));
    call = calls_.erase(call);
  }
  for (const Callback& callback : expired)
    callback(nullptr);
}

}  // namespace dandelionmill::wire
