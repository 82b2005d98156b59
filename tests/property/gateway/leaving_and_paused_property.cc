#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "dandelionmill/gateway/backend_backoff.h"
#include "dandelionmill/gateway/backend_directory.h"
#include "tests/property/rapidcheck_cases.h"

namespace base = dandelionmill::base;
using dandelionmill::gateway::BackendBackoff;
using dandelionmill::gateway::BackendDirectory;
using dandelionmill::gateway::BackendEntry;
using std::chrono::milliseconds;

namespace {

const DefaultCases kCases(2000);

const base::ServiceId kService("model");

BackendEntry Entry(std::int64_t incarnation) {
  BackendEntry entry;
  entry.id = base::BackendId("engine");
  entry.service = kService;
  entry.incarnation = incarnation;
  return entry;
}

}  // namespace

TEST_CASE("No sequence of responses sends requests into a pause", "[gateway]") {
  const auto property = [] {
    base::MonoTime now{std::chrono::hours(1)};
    BackendBackoff backoff(*rc::gen::arbitrary<std::uint64_t>());
    const BackendEntry backend = Entry(1);
    base::MonoTime pause_ends{};
    std::vector<base::MonoTime> in_progress;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      if (backoff.Admits(backend, now)) {
        RC_ASSERT(now >= pause_ends);
        backoff.OnSent(backend.id, now);
        in_progress.push_back(now);
      } else {
        RC_ASSERT(now < pause_ends + BackendBackoff::kMaxDelay ||
                  !in_progress.empty());
      }
      if (in_progress.empty() || *rc::gen::arbitrary<bool>())
        continue;
      const auto ended = static_cast<std::size_t>(
          *rc::gen::inRange(0, static_cast<int>(in_progress.size())));
      const base::MonoTime sent_at = in_progress[ended];
      in_progress.erase(in_progress.begin() +
                        static_cast<std::ptrdiff_t>(ended));
      if (*rc::gen::inRange(0, 3) == 0) {
        const milliseconds pause(*rc::gen::inRange(0, 3000));
        backoff.OnPauseRequested(backend.id, 1, pause, now);
        pause_ends = std::max(pause_ends, now + pause);
      } else if (*rc::gen::arbitrary<bool>()) {
        backoff.OnAnswered(backend.id, sent_at);
      }
      backoff.OnEnded(backend.id, sent_at);
    }
  };
  CHECK(rc::check(property));
}
