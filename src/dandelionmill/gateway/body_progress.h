#ifndef SRC_DANDELIONMILL_GATEWAY_BODY_PROGRESS_H_
#define SRC_DANDELIONMILL_GATEWAY_BODY_PROGRESS_H_

#include <chrono>
#include <cstddef>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Limits how slowly a request body may arrive, and what may come with it: chunk
// sizes, chunk extensions and trailers. Pure.
class BodyProgress {
 public:
  // Longest time to receive a body once the head has been read.
  static constexpr std::chrono::milliseconds kTimeout{10000};
  // While memory is scarce, at least kMinBytes of the body must arrive in each
  // interval. Otherwise callers may pause as long as the time limit allows.
  static constexpr std::chrono::milliseconds kInterval{5000};
  static constexpr std::size_t kMinBytes = 1024;
  // Framing that is allowed for each byte of the body: a chunk of one byte with
  // a size of eight digits takes 12 bytes.
  static constexpr std::size_t kFramingPerByte = 16;

  // `max_framing_bytes` is allowed in addition, for extensions and trailers.
  BodyProgress(std::size_t max_framing_bytes, base::MonoTime head_read_at);

  // Commands.
  // `framed_bytes` were received since the head, framing included, of which
  // `body_bytes` are of the body. `pending_bytes` of them are an incomplete
  // chunk header or trailer.
  void OnReceived(std::size_t framed_bytes,
                  std::size_t body_bytes,
                  std::size_t pending_bytes);
  // Call at next_check(). Returns whether the body arrives too slowly.
  bool IsTooSlow(base::MonoTime now, bool is_memory_scarce);

  // Queries.
  bool is_framing_too_long() const { return is_framing_too_long_; }
  base::MonoTime next_check() const;

 private:
  const std::size_t max_framing_bytes_;
  const base::MonoTime deadline_;
  base::MonoTime interval_end_;
  std::size_t body_bytes_ = 0;
  std::size_t body_bytes_at_interval_ = 0;
  bool is_framing_too_long_ = false;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_BODY_PROGRESS_H_
