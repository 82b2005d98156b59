#ifndef SRC_DANDELIONMILL_GATEWAY_INCARNATION_CHECK_H_
#define SRC_DANDELIONMILL_GATEWAY_INCARNATION_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "dandelionmill/base/boot_clock.h"
#include "dandelionmill/gateway/connection_pool.h"

namespace dandelionmill::gateway {

// Longest time for a backend server to report its incarnation: several round
// trips between regions.
inline constexpr std::chrono::milliseconds kIncarnationTimeout{400};

struct IncarnationReport {
  // nullptr if the connection has ended.
  BackendConnectionPtr connection;
  // Whether the backend server answered at all.
  bool is_answered = false;
  // Not set if the backend server did not report it.
  std::optional<std::int64_t> incarnation;
  // HTTP status code of the answer; 0 if there is none.
  int status = 0;
  // Remaining warm-up that the backend server has reported, if any.
  std::optional<std::chrono::milliseconds> remaining_warm_up;
  base::BootTime sent_at{};
};

using IncarnationHandler = std::function<void(IncarnationReport)>;

// Asks the process at the other end of `connection` for its incarnation. A
// registry entry may be older than that process, which may have been restarted
// under the same id. `loop` must outlive the call; the handler runs once, never
// from within it.
void CheckIncarnation(boost::asio::io_context& loop,
                      const net::Address& address,
                      BackendConnectionPtr connection,
                      IncarnationHandler handler);

// Asks the process at the other end of `connection` for its health at `path`,
// which tells whether it is warm. Otherwise the same; the report names no
// incarnation.
void CheckWarmUp(boost::asio::io_context& loop,
                 const net::Address& address,
                 const std::string& path,
                 BackendConnectionPtr connection,
                 IncarnationHandler handler);

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_INCARNATION_CHECK_H_
