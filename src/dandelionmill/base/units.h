#ifndef SRC_DANDELIONMILL_BASE_UNITS_H_
#define SRC_DANDELIONMILL_BASE_UNITS_H_

#include <chrono>
#include <cstdint>

namespace dandelionmill::base {

// A number of model tokens: prompt plus output unless stated otherwise.
using Tokens = std::int64_t;

// The version number of a configuration; a higher version replaces a lower one.
using ConfigVersion = std::uint64_t;

// Monotonic time, for timeouts and rates within one process.
using MonoTime = std::chrono::steady_clock::time_point;

// Calendar time, for timestamps that people read; never used for decisions.
using WallTime = std::chrono::system_clock::time_point;

using Millis = std::chrono::milliseconds;

}  // namespace dandelionmill::base

#endif  // SRC_DANDELIONMILL_BASE_UNITS_H_
