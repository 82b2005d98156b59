#include "dandelionmill/gateway/crash_guard.h"

#include <catch2/catch.hpp>

using dandelionmill::base::BackendId;
using dandelionmill::base::MonoTime;
using dandelionmill::gateway::CrashGuard;
using std::chrono::milliseconds;

namespace {

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

void Crash(CrashGuard& guard,
           const std::string& digest,
           const std::string& backend,
           int ms) {
  guard.OnAttemptBroken(digest, BackendId(backend), At(ms));
  guard.OnConnectionRefused(BackendId(backend), At(ms + 5));
}

}  // namespace

TEST_CASE("A request that crashes two backend servers is quarantined",
          "[gateway]") {
  CrashGuard guard;
  Crash(guard, "crashing", "a", 0);
  CHECK_FALSE(guard.IsQuarantined("crashing"));
  Crash(guard, "crashing", "b", 1000);
  CHECK(guard.IsQuarantined("crashing"));
}

TEST_CASE("A broken attempt without a refused connection is not a crash",
          "[gateway]") {
  CrashGuard guard;
  guard.OnAttemptBroken("harmless", BackendId("a"), At(0));
  guard.OnAttemptBroken("harmless", BackendId("b"), At(100));
  CHECK_FALSE(guard.IsQuarantined("harmless"));
  CHECK(guard.suspect_count() == 0);
}

TEST_CASE("A refused connection long after a broken attempt is not a crash",
          "[gateway]") {
  CrashGuard guard;
  guard.OnAttemptBroken("harmless", BackendId("a"), At(0));
  guard.OnConnectionRefused(BackendId("a"), At(700));
  CHECK(guard.suspect_count() == 0);
}

TEST_CASE("Crash reports of another instance count toward the quarantine",
          "[gateway]") {
  CrashGuard first;
  CrashGuard second;
  Crash(first, "crashing", "a", 0);
  for (const CrashGuard::Report& report : first.TakeReports())
    second.MergeReport(report, At(10));
  CHECK(first.TakeReports().empty());
  Crash(second, "crashing", "b", 20);
  CHECK(second.IsQuarantined("crashing"));
  CHECK_FALSE(first.IsQuarantined("crashing"));
}

TEST_CASE("The same crash reported twice counts once", "[gateway]") {
  CrashGuard guard;
  guard.MergeReport({"crashing", BackendId("a")}, At(0));
  guard.MergeReport({"crashing", BackendId("a")}, At(1));
  CHECK_FALSE(guard.IsQuarantined("crashing"));
}

TEST_CASE("A completed request clears its crash record", "[gateway]") {
  CrashGuard guard;
  Crash(guard, "harmless", "a", 0);
  guard.OnCompleted("harmless");
  Crash(guard, "harmless", "b", 1000);
  CHECK_FALSE(guard.IsQuarantined("harmless"));
}

TEST_CASE("A quarantine expires", "[gateway]") {
  CrashGuard guard;
  Crash(guard, "crashing", "a", 0);
  Crash(guard, "crashing", "b", 10);
  guard.Expire(At(0) + CrashGuard::kRecordLifetime + milliseconds(100));
  CHECK_FALSE(guard.IsQuarantined("crashing"));
}
