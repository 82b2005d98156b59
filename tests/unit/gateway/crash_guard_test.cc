#include "dandelionmill/gateway/crash_guard.h"

#include <catch2/catch.hpp>
#include <deque>

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
           int ms,
           const std::vector<std::string>& parts = {}) {
  guard.OnAttemptBroken(
      {{digest, parts}, BackendId(backend), At(ms - 50), false, At(ms)});
  guard.OnConnectionRefused(BackendId(backend), At(ms + 5));
}

bool IsQuarantined(const CrashGuard& guard, const std::string& digest) {
  return guard.IsQuarantined({digest, {}});
}

bool IsPartQuarantined(const CrashGuard& guard, const std::string& part) {
  return guard.FindQuarantinedPart({"another request", {part}}).has_value();
}

// Sends the reports and clearances of one instance to another.
void Share(CrashGuard& from, CrashGuard& to, std::uint64_t& version, int ms) {
  for (const CrashGuard::Report& report : from.TakeReports())
    to.MergeReport(report, ++version, At(ms));
  for (const CrashGuard::Clearance& clearance : from.TakeClearances(At(ms)))
    to.MergeClearance(clearance, ++version);
}

}  // namespace

TEST_CASE("A request that crashes two backend servers is quarantined",
          "[gateway]") {
  CrashGuard guard;
  Crash(guard, "crashing", "a", 0);
  CHECK_FALSE(IsQuarantined(guard, "crashing"));
  Crash(guard, "crashing", "b", 1000);
  CHECK(IsQuarantined(guard, "crashing"));
}

TEST_CASE("A broken attempt without a refused connection is not a crash",
          "[gateway]") {
  CrashGuard guard;
  guard.OnAttemptBroken(
      {{"harmless", {}}, BackendId("a"), At(-50), false, At(0)});
  guard.OnAttemptBroken(
      {{"harmless", {}}, BackendId("b"), At(50), false, At(100)});
  CHECK_FALSE(IsQuarantined(guard, "harmless"));
  CHECK(guard.suspect_count() == 0);
}

TEST_CASE("A refused connection long after a broken attempt is not a crash",
          "[gateway]") {
  CrashGuard guard;
  guard.OnAttemptBroken(
      {{"harmless", {}}, BackendId("a"), At(-50), false, At(0)});
  guard.OnConnectionRefused(BackendId("a"), At(700));
  CHECK(guard.suspect_count() == 0);
}

TEST_CASE("Crash reports of another instance count toward the quarantine",
          "[gateway]") {
  CrashGuard first;
  CrashGuard second;
  Crash(first, "crashing", "a", 0);
  for (const CrashGuard::Report& report : first.TakeReports())
    second.MergeReport(report, 1, At(10));
  CHECK(first.TakeReports().empty());
  Crash(second, "crashing", "b", 20);
  CHECK(IsQuarantined(second, "crashing"));
  CHECK_FALSE(IsQuarantined(first, "crashing"));
}

TEST_CASE("The same crash reported twice counts once", "[gateway]") {
  CrashGuard guard;
  guard.MergeReport({BackendId("a"), {"crashing"}, {}}, 1, At(0));
  guard.MergeReport({BackendId("a"), {"crashing"}, {}}, 2, At(1));
  CHECK_FALSE(IsQuarantined(guard, "crashing"));
}

TEST_CASE("A completed request clears its crash record", "[gateway]") {
  CrashGuard guard;
  Crash(guard, "harmless", "a", 0);
  guard.OnCompleted({"harmless", {}}, At(500));
  Crash(guard, "harmless", "b", 1000);
  CHECK_FALSE(IsQuarantined(guard, "harmless"));
}

TEST_CASE("A quarantine expires", "[gateway]") {
  CrashGuard guard;
  Crash(guard, "crashing", "a", 0);
  Crash(guard, "crashing", "b", 10);
  guard.Expire(At(0) + CrashGuard::kRecordLifetime + milliseconds(100));
  CHECK_FALSE(IsQuarantined(guard, "crashing"));
}

// Guards against a prompt part that crashes one backend server after the other,
// because each request with it has another body.
TEST_CASE("A prompt part with three crashes and no answer is quarantined",
          "[gateway]") {
  CrashGuard guard;
  guard.OnCompleted({"sound", {"shared"}}, At(-1000));
  Crash(guard, "1", "a", 0, {"shared", "bad"});
  Crash(guard, "2", "b", 300, {"shared", "bad"});
  CHECK_FALSE(IsPartQuarantined(guard, "bad"));
  Crash(guard, "3", "c", 600, {"shared", "bad"});
  CHECK(IsPartQuarantined(guard, "bad"));
  CHECK_FALSE(IsPartQuarantined(guard, "shared"));
}

TEST_CASE("A request that ran beside a quarantined prompt part may run again",
          "[gateway]") {
  CrashGuard guard;
  for (const auto& [backend, ms] :
       {std::pair("a", 0), std::pair("b", 300), std::pair("c", 600)}) {
    const std::string name = backend;
    guard.OnAttemptBroken({{"beside", {"other" + name}},
                           BackendId(name),
                           At(ms - 50),
                           false,
                           At(ms)});
    Crash(guard, "crashing " + name, name, ms, {"bad"});
  }
  CHECK(IsPartQuarantined(guard, "bad"));
  CHECK_FALSE(IsQuarantined(guard, "beside"));
}

// Guards against refusing every request after a failure of many backend servers
// at once, which breaks attempts with every popular part.
TEST_CASE("Backend servers that crash together quarantine no prompt part",
          "[gateway]") {
  CrashGuard guard;
  for (const char* backend : {"a", "b", "c", "d", "e", "f"})
    Crash(guard, std::string("on ") + backend, backend, 0, {"popular"});
  CHECK_FALSE(IsPartQuarantined(guard, "popular"));
}

// In KNOWN-RED.txt: servers that crash at one moment for another reason, come
// back and crash again at one moment before any answer. Each server of the
// second moment counts as a repetition of its own.
TEST_CASE("Backend servers that crash together twice quarantine no prompt part",
          "[gateway][!mayfail]") {
  CrashGuard guard;
  const bool was_answered = GENERATE(true, false);
  if (was_answered)
    guard.OnCompleted({"sound", {"popular"}}, At(-1000));
  for (const int ms : {0, 1000}) {
    for (const char* backend : {"a", "b", "c", "d", "e"})
      Crash(guard, std::string("on ") + backend, backend, ms, {"popular"});
  }
  CHECK_FALSE(IsPartQuarantined(guard, "popular"));
}

TEST_CASE("A prompt part that is answered between crashes is not quarantined",
          "[gateway]") {
  CrashGuard guard;
  int ms = 0;
  for (const char* backend : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    Crash(guard, std::string("on ") + backend, backend, ms, {"popular"});
    guard.OnCompleted({"sound", {"popular"}}, At(ms + 400));
    ms += 500;
  }
  CHECK_FALSE(IsPartQuarantined(guard, "popular"));
}

TEST_CASE("A prompt part that stops being answered is quarantined",
          "[gateway]") {
  CrashGuard guard;
  guard.OnCompleted({"sound", {"bad"}}, At(-1000));
  int ms = 0;
  for (const char* backend : {"a", "b", "c", "d"})
    Crash(guard, std::string("on ") + backend, backend, ms += 300, {"bad"});
  CHECK_FALSE(IsPartQuarantined(guard, "bad"));
  Crash(guard, "on e", "e", ms + 300, {"bad"});
  CHECK(IsPartQuarantined(guard, "bad"));
}

TEST_CASE("Of two prompt parts with the same crashes neither is quarantined",
          "[gateway]") {
  CrashGuard guard;
  Crash(guard, "1", "a", 0, {"first", "second"});
  Crash(guard, "2", "b", 300, {"first", "second"});
  Crash(guard, "3", "c", 600, {"first", "second"});
  CHECK_FALSE(IsPartQuarantined(guard, "first"));
  CHECK_FALSE(IsPartQuarantined(guard, "second"));
  Crash(guard, "4", "d", 900, {"second"});
  CHECK(IsPartQuarantined(guard, "second"));
  CHECK_FALSE(IsPartQuarantined(guard, "first"));
}

TEST_CASE("A response that was arriving for long does not make a suspect",
          "[gateway]") {
  CrashGuard guard;
  int ms = 0;
  for (const char* backend : {"a", "b", "c", "d", "e", "f"}) {
    ms += 300;
    guard.OnAttemptBroken({{std::string("on ") + backend, {"part"}},
                           BackendId(backend),
                           At(ms - 50),
                           true,
                           At(ms)});
    guard.OnConnectionRefused(BackendId(backend), At(ms + 5));
  }
  CHECK_FALSE(IsPartQuarantined(guard, "part"));
}

TEST_CASE("Instances quarantine a prompt part by their reports together",
          "[gateway]") {
  std::vector<CrashGuard> instances(3);
  std::uint64_t version = 0;
  for (int i = 0; i < 3; ++i) {
    Crash(instances[i], std::to_string(i), "backend" + std::to_string(i),
          500 * i, {"bad"});
    for (CrashGuard& other : instances) {
      if (&other == &instances[i])
        continue;
      CrashGuard copy = instances[i];
      Share(copy, other, version, 500 * i + 100);
    }
    instances[i].TakeReports();
  }
  for (const CrashGuard& instance : instances)
    CHECK(IsPartQuarantined(instance, "bad"));
}

TEST_CASE("An answer at one instance clears a prompt part at the others",
          "[gateway]") {
  CrashGuard first;
  CrashGuard second;
  std::uint64_t version = 0;
  Crash(first, "1", "a", 0, {"part"});
  Crash(first, "2", "b", 300, {"part"});
  Share(first, second, version, 400);
  second.OnCompleted({"sound", {"part"}}, At(500));
  Share(second, first, version, 600);
  Crash(first, "3", "c", 700, {"part"});
  CHECK_FALSE(IsPartQuarantined(first, "part"));
}

// Guards against a quarantine of a part that only other instances have seen
// answered, when backend servers fail together several times.
TEST_CASE("A prompt part that any instance saw answered needs five crashes",
          "[gateway]") {
  CrashGuard first;
  CrashGuard second;
  std::uint64_t version = 0;
  second.OnCompleted({"sound", {"part"}}, At(-1000));
  Crash(first, "1", "a", 0, {"part"});
  Crash(first, "2", "b", 0, {"part"});
  Share(first, second, version, 100);
  Share(second, first, version, 200);
  Crash(first, "3", "c", 1000, {"part"});
  Crash(first, "4", "d", 1000, {"part"});
  CHECK_FALSE(IsPartQuarantined(first, "part"));
  Crash(first, "5", "e", 1300, {"part"});
  CHECK(IsPartQuarantined(first, "part"));
}

TEST_CASE("A clearance does not apply to later reports", "[gateway]") {
  CrashGuard guard;
  for (std::uint64_t i = 1; i <= CrashGuard::kMaxPartCrashCount; ++i) {
    guard.MergeReport(
        {BackendId("backend" + std::to_string(i)), {}, {{"bad", true}}}, 10 + i,
        At(100 * static_cast<int>(i)));
  }
  guard.MergeClearance({"bad", true}, 5);
  CHECK(guard.FindQuarantinedPart({"", {"bad"}}).has_value());
}

// Guards against reports that grow as the square of the fleet: after a crash
// every instance sees answers to the popular parts that were running.
TEST_CASE("Few instances of a large fleet share an answer to a popular part",
          "[gateway][large_fleet][srv_crash]") {
  constexpr int kInstances = 295;
  constexpr int kMaxShared = 20;
  // From an answer to the clearance at the other instances.
  constexpr int kFeedDelayMs = 800;
  std::deque<CrashGuard> fleet;
  for (int i = 0; i < kInstances; ++i) {
    fleet.emplace_back(static_cast<std::uint64_t>(i));
    fleet.back().SetInstanceCount(kInstances);
    for (const char* backend : {"a", "b"})
      fleet.back().MergeReport({BackendId(backend), {}, {{"popular", false}}},
                               1, At(0));
  }
  for (CrashGuard& guard : fleet)
    guard.OnAnswering({"request", {"popular"}}, At(100));
  int shared = 0;
  std::deque<std::pair<int, CrashGuard::Clearance>> feed;
  for (int ms = 200; ms < 5000; ms += 100) {
    for (CrashGuard& guard : fleet) {
      for (const auto& clearance : guard.TakeClearances(At(ms))) {
        ++shared;
        feed.emplace_back(ms + kFeedDelayMs, clearance);
      }
    }
    while (!feed.empty() && feed.front().first <= ms) {
      for (CrashGuard& guard : fleet)
        guard.MergeClearance(feed.front().second, 2);
      feed.pop_front();
    }
  }
  CHECK(shared >= 1);
  CHECK(shared <= kMaxShared);
}

TEST_CASE("An answer to a part with one crash is not shared in a large fleet",
          "[gateway][large_fleet]") {
  CrashGuard guard;
  guard.SetInstanceCount(100);
  Crash(guard, "first", "a", 0, {"part"});
  guard.OnAnswering({"second", {"part"}}, At(500));
  CHECK(guard.TakeClearances(At(600)).empty());
}

TEST_CASE("The last part of a prompt is not shared", "[gateway]") {
  using dandelionmill::gateway::SharedPartIds;
  CHECK(SharedPartIds({{"aa", 1}, {"bb", 2}, {"cc", 3}}) ==
        std::vector<std::string>{"aa", "bb"});
  CHECK(SharedPartIds({{"aa", 1}}).empty());
  CHECK(SharedPartIds({}).empty());
  const auto replaced = SharedPartIds({{"a b\n", 1}, {"cc", 1}});
  REQUIRE(replaced.size() == 1);
  CHECK(replaced[0].find(' ') == std::string::npos);
}

// Guards against a crash that counts as a lost connection since the backend
// server is back at once.
TEST_CASE("An attempt broke in a crash if another start answers afterwards",
          "[gateway]") {
  CrashGuard guard;
  for (const char* backend : {"a", "b"}) {
    guard.OnAttemptBroken(
        {{"crashing", {}}, BackendId(backend), At(-50), false, At(0), 1});
    // It broke at the start that answers.
    guard.OnAttemptBroken(
        {{"harmless", {}}, BackendId(backend), At(-50), false, At(10), 2});
    guard.OnRestarted(BackendId(backend), 1, At(30));
  }
  CHECK(IsQuarantined(guard, "crashing"));
  CHECK_FALSE(IsQuarantined(guard, "harmless"));
  CHECK(guard.suspect_count() == 1);
}
