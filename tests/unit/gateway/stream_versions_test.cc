#include "dandelionmill/gateway/stream_versions.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <utility>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/gateway/stream_records.h"
#include "tests/support/fake_table.h"

namespace base = dandelionmill::base;
using dandelionmill::gateway::ServiceVersions;
using dandelionmill::gateway::StreamRecords;
using dandelionmill::gateway::StreamVersions;
using dandelionmill::gateway::VersionRecords;
using dandelionmill::storage::CallOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

const base::ServiceId kService("model");
const base::AttemptId kAttempt("attempt-1");

base::MonoTime At(int ms) {
  return base::MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

const base::BackendId kBackend("i-1");

base::BootTime BootAt(int ms) {
  return base::BootTime(std::chrono::hours(1)) + milliseconds(ms);
}

// A stream that began at kBackend on a connection of the given time.
StreamVersions::Beginning Begun(std::optional<std::string> version,
                                base::BootTime connected_at = BootAt(0)) {
  return {kService, kBackend, std::move(version), connected_at, false};
}

// A process that has known the era of the store for a minute, or since its
// start only. What else it knows comes from the registry and the store.
struct Process {
  explicit Process(boost::asio::io_context& loop,
                   tests::FakeTable& table,
                   bool is_young = false)
      : services(steady_clock::now() - std::chrono::minutes(is_young ? 0 : 1)),
        records({loop, streams, services, version_records, table},
                steady_clock::now()),
        version_records(loop, services, table, 1) {
    if (!is_young)
      services.OnRead({}, 0, steady_clock::now() - std::chrono::minutes(1));
  }

  void List(const std::set<std::string>& versions) {
    services.OnListed(kService, versions, steady_clock::now());
  }

  ServiceVersions services;
  StreamVersions streams;
  StreamRecords records;
  VersionRecords version_records;
};

struct RecordsFixture {
  boost::asio::io_context loop;
  tests::FakeTable table{loop};

  void Run() {
    loop.restart();
    loop.run();
  }
  // Starts a process and records the versions that it lists.
  std::unique_ptr<Process> Start(const std::set<std::string>& listed,
                                 bool is_young = false) {
    auto process = std::make_unique<Process>(loop, table, is_young);
    process->List(listed);
    process->version_records.Start();
    Run();
    return process;
  }
  // Returns the version that the process finds, or why it finds none.
  std::string FindAt(Process& process) {
    std::string found;
    process.records.Find(
        kAttempt, kService, [&](const StreamRecords::Result& result) {
          if (const auto* version = std::get_if<StreamRecords::Found>(&result))
            found = version->version;
          else if (std::holds_alternative<StreamRecords::Unknown>(result))
            found = "unknown";
          else
            found = "unavailable";
        });
    Run();
    return found;
  }
  // The same for a process that has just started and records nothing.
  std::string Find(const std::set<std::string>& listed) {
    Process process(loop, table);
    process.List(listed);
    return FindAt(process);
  }
};

}  // namespace

TEST_CASE("Streams are shared once while their version may be unknown",
          "[gateway]") {
  StreamVersions versions;
  ServiceVersions services(At(0));
  services.OnListed(kService, {"v1"}, At(30000));
  services.OnRecorded({{{kService, "v1"}, std::nullopt}}, std::nullopt,
                      std::nullopt, At(30000));
  versions.OnBegun(kAttempt, Begun("v1"), At(30000));
  versions.OnRegistryRead(BootAt(30000));
  CHECK(versions.VersionOf(kAttempt, BootAt(30000)) == "v1");
  CHECK(versions.TakeUnshared(10, services).empty());
  services.OnListed(kService, {"v1", "v2"}, At(30100));
  const auto begun = versions.TakeUnshared(10, services);
  REQUIRE(begun.size() == 1);
  CHECK(begun[0].attempt == kAttempt);
  CHECK(begun[0].version == "v1");
  CHECK(versions.TakeUnshared(10, services).empty());
  versions.Expire(At(61000));
  CHECK_FALSE(versions.HasBegun(kAttempt));
}

// Guards against streams that are taken for those of the listed version
// although their backend server had been restarted with another one.
TEST_CASE("The version of streams that began around a restart is unknown",
          "[gateway]") {
  StreamVersions versions;
  ServiceVersions services(At(0));
  services.OnListed(kService, {"v1", "v2"}, At(0));
  const base::BootTime read_at = BootAt(10000);
  versions.OnRegistryRead(read_at);
  const auto begin = [&](const char* attempt,
                         StreamVersions::Beginning beginning) {
    versions.OnBegun(base::AttemptId(attempt), std::move(beginning), At(10000));
  };
  const auto version_of = [&](const char* attempt) {
    return versions.VersionOf(base::AttemptId(attempt), read_at);
  };
  begin("long before", Begun("v1", read_at - seconds(3)));
  begin("before it was listed", Begun("v1", read_at - milliseconds(500)));
  begin("after the last read", Begun("v1", read_at + milliseconds(500)));
  auto reported = Begun("v1", read_at + milliseconds(500));
  reported.is_reported = true;
  begin("as reported", reported);
  auto elsewhere = Begun("v1", read_at + milliseconds(500));
  elsewhere.backend = base::BackendId("i-2");
  begin("elsewhere", elsewhere);
  CHECK(versions.TakeUnshared(10, services).size() == 5);
  versions.OnVersionReplaced(kBackend, read_at);
  CHECK(version_of("long before") == "v1");
  CHECK(version_of("before it was listed") == std::nullopt);
  CHECK(version_of("after the last read") == std::nullopt);
  CHECK(version_of("as reported") == "v1");
  CHECK(version_of("elsewhere") == "v1");
  // The other instances are told.
  const auto unshared = versions.TakeUnshared(10, services);
  REQUIRE(unshared.size() == 2);
  CHECK_FALSE(unshared[0].version);
  CHECK_FALSE(unshared[1].version);
}

// Guards against streams that are taken for those of the listed version
// although nothing has been read of the registry since they began.
TEST_CASE("The version of a stream is unknown without a later registry",
          "[gateway]") {
  StreamVersions versions;
  const base::BootTime read_at = BootAt(10000);
  versions.OnRegistryRead(read_at);
  versions.OnBegun(base::AttemptId("young"),
                   Begun("v1", read_at - milliseconds(500)), At(10000));
  versions.OnBegun(base::AttemptId("old"), Begun("v1", read_at - seconds(3)),
                   At(10000));
  const auto version_of = [&](const char* attempt, base::BootTime now) {
    return versions.VersionOf(base::AttemptId(attempt), now);
  };
  CHECK(version_of("young", read_at + seconds(1)) == "v1");
  CHECK(version_of("young", read_at + seconds(4)) == std::nullopt);
  CHECK(version_of("old", read_at + seconds(4)) == "v1");
  versions.OnRegistryRead(read_at + seconds(4));
  CHECK(version_of("young", read_at + seconds(4)) == "v1");
}

// Guards against streams that restarted instances let go on at the version that
// happens to serve.
TEST_CASE("Another process finds the version that began a stream",
          "[gateway]") {
  RecordsFixture fixture;
  const auto now = steady_clock::now();
  const auto process = fixture.Start({"v1", "v2"});
  StreamVersions& versions = process->streams;
  StreamRecords& records = process->records;
  SECTION("when it was written") {
    versions.OnBegun(kAttempt, Begun("v1"), now);
    const bool is_lost_at_first = GENERATE(false, true);
    if (is_lost_at_first)
      fixture.table.LoseNextCommit(false);
    records.Publish(now);
    fixture.Run();
    records.Publish(now);
    fixture.Run();
    CHECK(fixture.Find({"v2"}) == "v1");
  }
  SECTION("and none if it has turned out to be unknown") {
    versions.OnBegun(kAttempt, Begun("v1"), now);
    const bool is_lost_at_first = GENERATE(false, true);
    if (is_lost_at_first)
      fixture.table.LoseNextCommit(false);
    records.Publish(now);
    fixture.Run();
    versions.OnVersionReplaced(kBackend, BootAt(0));
    records.Publish(now);
    fixture.Run();
    CHECK(fixture.Find({"v1"}) == "unknown");
  }
  SECTION("and none if another stream's alone was") {
    versions.OnBegun(base::AttemptId("attempt-2"), Begun("v1"), now);
    records.Publish(now);
    fixture.Run();
    CHECK(fixture.Find({"v2"}) == "unknown");
  }
  SECTION("and none while the store is out of reach") {
    fixture.table.FailAll(CallOutcome::kUnknown);
    CHECK(fixture.Find({"v2"}) == "unavailable");
  }
}

TEST_CASE("The only version that the store has a record of began the stream",
          "[gateway]") {
  RecordsFixture fixture;
  const auto process = fixture.Start({"v2"});
  CHECK(process->services.IsRecorded(kService, "v2"));
  CHECK(fixture.Find({"v2"}) == "v2");
  CHECK(fixture.Find({}) == "v2");
  // The finder lists another one, which is not recorded yet.
  CHECK(fixture.Find({"v3"}) == "unavailable");
}

// Guards against streams that go on at the only version of an old list although
// they began at another instance, at a version that was listed there meanwhile.
TEST_CASE("A version that another instance has recorded counts at once",
          "[gateway]") {
  RecordsFixture fixture;
  const auto outdated = fixture.Start({"v1"});
  CHECK(fixture.FindAt(*outdated) == "v1");
  const auto current = fixture.Start({"v1", "v2"});
  CHECK(current->services.IsRecorded(kService, "v2"));
  CHECK(fixture.FindAt(*outdated) == "unknown");
  SECTION("also for one that cannot read the records") {
    fixture.table.FailAll(CallOutcome::kNotPerformed);
    CHECK(fixture.FindAt(*outdated) == "unavailable");
  }
}

// Guards against streams that begin at a version of which no other instance can
// know.
TEST_CASE("A version is recorded only once the store has acknowledged it",
          "[gateway]") {
  RecordsFixture fixture;
  const auto process = fixture.Start({"v1"});
  process->List({"v1", "v2"});
  CHECK_FALSE(process->services.IsRecorded(kService, "v2"));
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  process->version_records.Update(steady_clock::now());
  fixture.Run();
  CHECK_FALSE(process->services.IsRecorded(kService, "v2"));
  CHECK(process->services.IsRecorded(kService, "v1"));
  fixture.table.FailAll(std::nullopt);
  fixture.table.LoseNextCommit(true);
  process->version_records.Update(steady_clock::now());
  fixture.Run();
  CHECK_FALSE(process->services.IsRecorded(kService, "v2"));
  process->version_records.Update(steady_clock::now());
  fixture.Run();
  CHECK(process->services.IsRecorded(kService, "v2"));
}

// Guards against streams that go on at the only version of a store that was
// restored from a copy without the record of the other one.
TEST_CASE("A restored store shows no only version for as long as streams last",
          "[gateway]") {
  RecordsFixture fixture;
  const auto outdated = fixture.Start({"v1"});
  fixture.table.TakeCopy();
  const auto current = fixture.Start({"v1", "v2"});
  CHECK(current->services.IsRecorded(kService, "v2"));
  fixture.table.Restore();
  CHECK(fixture.Find({"v1"}) == "unavailable");
  SECTION("also if the first to renew the records has an older list") {
    outdated->version_records.OnStoreRestored(1);
    fixture.Run();
    outdated->version_records.Update(steady_clock::now());
    fixture.Run();
    CHECK(fixture.FindAt(*outdated) == "unavailable");
    CHECK(fixture.Find({"v1"}) == "unavailable");
  }
  SECTION("also if a later process has recorded another version alone") {
    const auto later = fixture.Start({"v3"}, true);
    CHECK(later->services.IsRecorded(kService, "v3"));
    CHECK(fixture.FindAt(*later) == "unavailable");
  }
  SECTION("and streams begin only at versions that are recorded again") {
    current->version_records.OnStoreRestored(1);
    CHECK_FALSE(current->services.IsRecorded(kService, "v2"));
    fixture.Run();
    CHECK(current->services.IsRecorded(kService, "v1"));
    CHECK(current->services.IsRecorded(kService, "v2"));
  }
}

// Guards against streams whose version only a process knew that has ended.
TEST_CASE("Streams have rows of their own until the records name the era",
          "[gateway]") {
  RecordsFixture fixture;
  const auto now = steady_clock::now();
  const auto process = fixture.Start({"v1"}, true);
  CHECK(process->services.IsRecorded(kService, "v1"));
  CHECK(fixture.Find({"v1"}) == "unavailable");
  process->records.OnBegun(kAttempt, Begun("v1"), now);
  process->records.Publish(now);
  fixture.Run();
  CHECK(fixture.Find({"v1"}) == "v1");
  CHECK(process->services.NeedsStreamRows(kService));
  CHECK_FALSE(fixture.Start({"v1"})->services.NeedsStreamRows(kService));
}

TEST_CASE("A process is ready although it cannot read all records",
          "[gateway]") {
  RecordsFixture fixture;
  const auto first = fixture.Start({"v1", "v2"});
  SECTION("as there are too many") {
    fixture.table.SetPageRows(1);
  }
  SECTION("as one is malformed") {
    fixture.table.Put(VersionRecords::kTable, "", "1", "[]");
  }
  const auto later = fixture.Start({"v1", "v2"});
  CHECK(later->version_records.has_read());
  CHECK(fixture.FindAt(*later) == "unavailable");
}

TEST_CASE("A malformed record of a version leaves streams without a version",
          "[gateway]") {
  RecordsFixture fixture;
  const auto process = fixture.Start({"v1"});
  const std::string value = GENERATE("", "[]", "{}", "{\"service\":1}",
                                     R"({"service":"model","version":2})");
  fixture.table.Put(VersionRecords::kTable, "", "1", value);
  CHECK(fixture.Find({"v1"}) == "unavailable");
}

// Guards against streams that an earlier build began at another version.
TEST_CASE("A young process believes an earlier build that a service was mixed",
          "[gateway]") {
  RecordsFixture fixture;
  const auto process = fixture.Start({"v1"});
  CHECK(fixture.Find({"v1"}) == "v1");
  const std::string value = GENERATE(R"({"at_ms":100000,"version":""})", "[]",
                                     "{}", R"({"at_ms":"100000"})");
  fixture.table.Put(StreamRecords::kTable, "", "service model", value);
  CHECK(fixture.Find({"v1"}) == "unknown");
}

TEST_CASE("The record of a version that was not listed for long is deleted",
          "[gateway]") {
  RecordsFixture fixture;
  const auto now = steady_clock::now();
  const auto writer = fixture.Start({"v1", "v2"});
  Process process(fixture.loop, fixture.table);
  process.services.OnListed(kService, {"v1", "v2"}, now - seconds(70));
  for (int s = 65; s >= 0; s -= 5)
    process.services.OnListed(kService, {"v2"}, now - seconds(s));
  SECTION("") {
    process.version_records.Start();
    fixture.Run();
    CHECK(fixture.Find({"v2"}) == "v2");
  }
  SECTION("but not if it was written since it was read") {
    bool is_first = true;
    fixture.table.AfterRead([&](int) {
      if (!std::exchange(is_first, false))
        return;
      const std::string key = std::to_string(
          base::StableHash(kService.value() + "\n" + std::string("v1")));
      fixture.table.Put(VersionRecords::kTable, "", key,
                        R"({"service":"model","version":"v1","era":0})");
    });
    process.version_records.Start();
    fixture.Run();
    CHECK(fixture.table.conflicts() == 1);
    CHECK(fixture.Find({"v2"}) == "unknown");
  }
}
