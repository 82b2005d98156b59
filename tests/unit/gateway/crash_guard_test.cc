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
  guard.OnBroken(digest, BackendId(backend), At(ms));
  guard.OnRefused(BackendId(backend), At(ms + 5));
}

}  // namespace

TEST_CASE("A request that crashes two backend servers is refused",
          "[gateway]") {
  CrashGuard guard;
  Crash(guard, "killer", "a", 0);
  CHECK_FALSE(guard.IsQuarantined("killer"));
  Crash(guard, "killer", "b", 1000);
  CHECK(guard.IsQuarantined("killer"));
}

TEST_CASE("A lost answer is no crash", "[gateway]") {
  CrashGuard guard;
  guard.OnBroken("innocent", BackendId("a"), At(0));
  guard.OnBroken("innocent", BackendId("b"), At(100));
  CHECK_FALSE(guard.IsQuarantined("innocent"));
  CHECK(guard.suspects() == 0);
}

TEST_CASE("A refused connection long after a broken attempt shows nothing",
          "[gateway]") {
  CrashGuard guard;
  guard.OnBroken("innocent", BackendId("a"), At(0));
  guard.OnRefused(BackendId("a"), At(700));
  CHECK(guard.suspects() == 0);
}

TEST_CASE("What another instance saw counts as well", "[gateway]") {
  CrashGuard here;
  CrashGuard there;
  Crash(here, "killer", "a", 0);
  for (const CrashGuard::Report& report : here.TakeReports())
    there.Learn(report, At(10));
  CHECK(here.TakeReports().empty());
  Crash(there, "killer", "b", 20);
  CHECK(there.IsQuarantined("killer"));
  CHECK_FALSE(here.IsQuarantined("killer"));
}

TEST_CASE("The same crash reported twice counts once", "[gateway]") {
  CrashGuard guard;
  guard.Learn({"killer", BackendId("a")}, At(0));
  guard.Learn({"killer", BackendId("a")}, At(1));
  CHECK_FALSE(guard.IsQuarantined("killer"));
}

TEST_CASE("A request that ran to its end is cleared", "[gateway]") {
  CrashGuard guard;
  Crash(guard, "innocent", "a", 0);
  guard.OnCompleted("innocent");
  Crash(guard, "innocent", "b", 1000);
  CHECK_FALSE(guard.IsQuarantined("innocent"));
}

TEST_CASE("A quarantine ends", "[gateway]") {
  CrashGuard guard;
  Crash(guard, "killer", "a", 0);
  Crash(guard, "killer", "b", 10);
  guard.Expire(At(0) + CrashGuard::kMemory + milliseconds(100));
  CHECK_FALSE(guard.IsQuarantined("killer"));
}
