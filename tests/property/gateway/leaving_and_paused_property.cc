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

TEST_CASE("No sequence of entries makes a leaving start usable again",
          "[gateway]") {
  const auto property = [] {
    base::MonoTime now{std::chrono::hours(1)};
    BackendDirectory directory;
    std::int64_t incarnation = 1;
    std::set<std::int64_t> leaving;
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      // A start that follows another does not give way to it again.
      if (*rc::gen::inRange(0, 8) == 0)
        ++incarnation;
      now += milliseconds(*rc::gen::inRange(0, 1000));
      const base::BootTime boot_now(now.time_since_epoch());
      if (*rc::gen::arbitrary<bool>())
        directory.OnCurrent(boot_now);
      BackendEntry entry = Entry(incarnation);
      entry.draining = *rc::gen::arbitrary<bool>();
      entry.change_count = static_cast<std::uint64_t>(*rc::gen::inRange(0, 5));
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          directory.Put(entry);
          break;
        case 1:
          directory.Remove(entry.id, now);
          break;
        case 2:
          directory.OnStoreRestored(now);
          break;
        case 3:
          directory.Replace({entry}, now);
          break;
        case 4:
          directory.Expire(now);
          break;
        default: {
          // Only a server that is listed can have answered.
          const BackendEntry* listed = directory.Find(entry.id);
          if (listed == nullptr)
            break;
          leaving.insert(listed->incarnation);
          directory.OnLeaving(
              entry.id,
              {listed->incarnation,
               std::nullopt,
               boot_now - milliseconds(*rc::gen::inRange(0, 5000)),
               {}},
              now);
          break;
        }
      }
      for (const BackendEntry* usable : directory.Usable(kService, now))
        RC_ASSERT(leaving.count(usable->incarnation) == 0);
    }
  };
  CHECK(rc::check(property));
}

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
        backoff.OnPauseRequested(
            backend.id, {1, std::nullopt, base::BootTime(), {}}, pause, now);
        pause_ends = std::max(pause_ends, now + pause);
      } else if (*rc::gen::arbitrary<bool>()) {
        backoff.OnAnswered(backend.id, sent_at);
      }
      backoff.OnEnded(backend.id, sent_at);
    }
  };
  CHECK(rc::check(property));
}
