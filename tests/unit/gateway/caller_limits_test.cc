#include <catch2/catch.hpp>

#include "dandelionmill/gateway/body_progress.h"
#include "dandelionmill/gateway/descriptor_shares.h"
#include "dandelionmill/gateway/limit_log.h"

using dandelionmill::base::MonoTime;
using dandelionmill::gateway::BodyProgress;
using dandelionmill::gateway::DescriptorShares;
using dandelionmill::gateway::LimitLog;

namespace {

constexpr std::size_t kMaxFramingBytes = 16384;
constexpr std::size_t kLargestBodyBytes = 4 << 20;

MonoTime At(int ms) {
  return MonoTime() + std::chrono::milliseconds(ms);
}

}  // namespace

// Guards against memory that grows with trailers or extensions without end.
TEST_CASE("The framing of a body is limited", "[gateway]") {
  BodyProgress progress(kMaxFramingBytes, At(0));
  SECTION("which allows the largest body in chunks of any size") {
    for (std::size_t chunks : {std::size_t{1}, kLargestBodyBytes}) {
      // "00000001\r\n" and "\r\n" around each.
      progress.OnReceived(kLargestBodyBytes + 12 * chunks, kLargestBodyBytes,
                          10);
      CHECK_FALSE(progress.is_framing_too_long());
    }
  }
  SECTION("as an incomplete chunk header or trailer") {
    progress.OnReceived(kLargestBodyBytes + kMaxFramingBytes, kLargestBodyBytes,
                        kMaxFramingBytes);
    CHECK_FALSE(progress.is_framing_too_long());
    progress.OnReceived(kLargestBodyBytes + kMaxFramingBytes + 1,
                        kLargestBodyBytes, kMaxFramingBytes + 1);
    CHECK(progress.is_framing_too_long());
  }
  SECTION("in sum over many extensions") {
    progress.OnReceived(100 + kMaxFramingBytes + 1600, 100, 0);
    CHECK_FALSE(progress.is_framing_too_long());
    progress.OnReceived(100 + kMaxFramingBytes + 1601, 100, 0);
    CHECK(progress.is_framing_too_long());
  }
}

// Guards against bodies that are kept unfinished for long with few bytes.
TEST_CASE("A body that arrives too slowly is refused", "[gateway]") {
  BodyProgress progress(kMaxFramingBytes, At(0));
  CHECK(progress.next_check() == At(5000));
  CHECK_FALSE(progress.IsTooSlow(At(4999), true));
  SECTION("if it makes no progress") {
    progress.OnReceived(9000, BodyProgress::kMinBytes - 1, 0);
    CHECK(progress.IsTooSlow(At(5000), true));
  }
  // Guards against a limit that a caller who only pauses would meet.
  SECTION("but may pause while memory is not scarce") {
    progress.OnReceived(100, 10, 0);
    CHECK_FALSE(progress.IsTooSlow(At(5000), false));
  }
  SECTION("at the latest after the time limit") {
    progress.OnReceived(1024, BodyProgress::kMinBytes, 0);
    CHECK_FALSE(progress.IsTooSlow(At(5000), true));
    CHECK(progress.next_check() == At(10000));
    progress.OnReceived(9000, 9000, 0);
    CHECK(progress.IsTooSlow(At(10000), false));
  }
}

// Guards against an instance that cannot accept or connect any more.
TEST_CASE("Descriptors are shared among callers, relays and backend servers",
          "[gateway]") {
  const DescriptorShares shares(4100);
  CHECK(shares.max_callers == 1950);
  CHECK(shares.max_relays == 243);
  CHECK(DescriptorShares::kReserved + shares.max_callers +
            2 * shares.max_relays <
        4100 - 1400);
  CHECK(DescriptorShares(100).max_callers == 32);
  CHECK(DescriptorShares(100).max_relays == 4);
}

// Guards against a log that hostile clients fill.
TEST_CASE("Events of a kind are logged in one line for each interval",
          "[gateway]") {
  LimitLog log;
  CHECK(log.Count("memory", At(0)) == 1);
  CHECK_FALSE(log.Count("memory", At(1)));
  CHECK(log.Count("too_slow", At(2)) == 1);
  CHECK_FALSE(log.Count("memory", At(9999)));
  CHECK(log.Count("memory", At(10000)) == 3);
}
