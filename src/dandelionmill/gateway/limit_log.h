#ifndef SRC_DANDELIONMILL_GATEWAY_LIMIT_LOG_H_
#define SRC_DANDELIONMILL_GATEWAY_LIMIT_LOG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "dandelionmill/base/units.h"

namespace dandelionmill::gateway {

// Decides which events of a kind are logged: the first, then one line for all
// of each interval. Pure.
class LimitLog {
 public:
  static constexpr std::chrono::seconds kInterval{10};

  // Returns how many events the line is for; nothing if this one is not logged.
  std::optional<std::uint64_t> Count(const std::string& kind,
                                     base::MonoTime now) {
    State& state = states_[kind];
    ++state.count;
    if (state.logged_at && now - *state.logged_at < kInterval)
      return std::nullopt;
    state.logged_at = now;
    return std::exchange(state.count, 0);
  }

 private:
  struct State {
    std::uint64_t count = 0;
    std::optional<base::MonoTime> logged_at;
  };

  std::map<std::string, State> states_;
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_LIMIT_LOG_H_
