#include "dandelionmill/gateway/backend_directory.h"

#include <catch2/catch.hpp>

using dandelionmill::base::BackendId;
using dandelionmill::base::BootTime;
using dandelionmill::base::MonoTime;
using dandelionmill::base::ServiceId;
using dandelionmill::gateway::BackendDirectory;
using dandelionmill::gateway::BackendEntry;
using dandelionmill::gateway::BackendProcess;
using std::chrono::milliseconds;

namespace {

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1)) + milliseconds(ms);
}

BackendEntry Entry(const std::string& id, bool draining = false) {
  BackendEntry entry;
  entry.id = BackendId(id);
  entry.service = ServiceId("model");
  entry.draining = draining;
  return entry;
}

BootTime BootAt(int ms) {
  return BootTime(std::chrono::hours(2)) + milliseconds(ms);
}

std::size_t UsableAt(const BackendDirectory& directory, int ms) {
  return directory.Usable(ServiceId("model"), At(ms)).size();
}

}  // namespace

TEST_CASE("A draining or removed backend server is not usable", "[gateway]") {
  BackendDirectory directory;
  directory.Put(Entry("a"));
  directory.Put(Entry("b"));
  REQUIRE(UsableAt(directory, 0) == 2);
  SECTION("its entry is marked as draining") {
    directory.Put(Entry("a", true));
    CHECK(UsableAt(directory, 0) == 1);
  }
  SECTION("its entry is deleted") {
    directory.Remove(BackendId("a"), At(0));
    CHECK(UsableAt(directory, 0) == 1);
  }
  SECTION("a full read of the registry does not contain it") {
    directory.Replace({Entry("b")}, At(0));
    CHECK(UsableAt(directory, 0) == 1);
  }
}

TEST_CASE(
    "An entry deleted right after an outage stays usable for a short time",
    "[gateway]") {
  BackendDirectory directory;
  directory.Put(Entry("a"));
  // The last failed call started at 10,000 ms; the store answered 850 ms later.
  directory.OnOutageEnded(At(10000));
  directory.Remove(BackendId("a"), At(10850));
  CHECK(UsableAt(directory, 10850) == 1);
  SECTION("it expires before the drain bound of 2.5 s") {
    // The users' bound is 2,500 ms from the store's acknowledgement of the
    // removal, which came after the failed call started.
    CHECK(UsableAt(directory, 10000 + 2300) == 0);
    directory.Expire(At(10000 + 2300));
    CHECK(directory.Find(BackendId("a")) == nullptr);
  }
  SECTION("it stays usable after it is written again") {
    directory.Put(Entry("a"));
    CHECK(UsableAt(directory, 20000) == 1);
  }
  SECTION("a draining entry is removed at once") {
    directory.Put(Entry("b", true));
    directory.Remove(BackendId("b"), At(10900));
    CHECK(directory.Find(BackendId("b")) == nullptr);
  }
}

TEST_CASE("An entry deleted long after an outage is removed at once",
          "[gateway]") {
  BackendDirectory directory;
  directory.Put(Entry("a"));
  directory.OnOutageEnded(At(10000));
  directory.Remove(BackendId("a"), At(12300));
  CHECK(UsableAt(directory, 12300) == 0);
}

namespace {

BackendEntry Started(const std::string& id,
                     std::int64_t incarnation,
                     std::uint64_t change_count,
                     bool draining = false) {
  BackendEntry entry = Entry(id, draining);
  entry.incarnation = incarnation;
  entry.change_count = change_count;
  return entry;
}

}  // namespace

// Guards against a restored registry that lists a backend server as ready after
// it has announced that it leaves, or has left.
TEST_CASE("A restored registry brings back no backend server that left",
          "[gateway]") {
  BackendDirectory directory;
  directory.Put(Started("a", 7, 1));
  directory.Put(Started("b", 7, 1));
  directory.Put(Started("b", 7, 2, true));
  directory.Remove(BackendId("a"), At(0));
  directory.OnStoreRestored(At(1000));
  directory.Replace({Started("a", 7, 1), Started("b", 7, 1)}, At(1200));
  CHECK(UsableAt(directory, 1200) == 0);
  SECTION("until it registers a new start") {
    directory.Put(Started("a", 8, 1));
    directory.Put(Started("b", 8, 1));
    CHECK(UsableAt(directory, 1300) == 2);
  }
  SECTION("until a removed one writes again") {
    directory.Put(Started("a", 7, 2));
    CHECK(UsableAt(directory, 1300) == 1);
  }
  SECTION("until the store has kept it as one that writes heartbeats") {
    CHECK(UsableAt(directory, 1200 + 4900) == 0);
    CHECK(UsableAt(directory, 1200 + 5000) == 1);
  }
  SECTION("a later full read in the same era shows what is listed") {
    directory.Replace({Started("a", 7, 2), Started("b", 7, 2, true)}, At(1500));
    CHECK(UsableAt(directory, 1500) == 1);
  }
}

// Guards against the loss of backend servers that registered after the copy was
// taken and register again.
TEST_CASE("A restored registry without an entry keeps it for a short time",
          "[gateway]") {
  BackendDirectory directory;
  directory.Put(Started("a", 7, 1));
  directory.OnStoreRestored(At(1000));
  directory.Replace({}, At(1100));
  CHECK(UsableAt(directory, 1100) == 1);
  CHECK(UsableAt(directory, 1000 + 2300) == 0);
}

TEST_CASE("A backend server that says it leaves is not usable", "[gateway]") {
  BackendDirectory directory;
  BackendEntry entry = Entry("a");
  entry.incarnation = 7;
  directory.Put(entry);
  directory.OnCurrent(BootAt(60000));
  const BackendProcess process{7, std::nullopt, BootAt(0), {}};
  CHECK(directory.OnLeaving(BackendId("a"), process, At(0)));
  CHECK_FALSE(directory.OnLeaving(BackendId("a"), process, At(0)));
  CHECK(UsableAt(directory, 0) == 0);
  SECTION("its entry is written again as ready") {
    ++entry.change_count;
    directory.Put(entry);
    CHECK(UsableAt(directory, 0) == 0);
  }
  SECTION("its entry lapses and a restored registry lists it again") {
    directory.Remove(BackendId("a"), At(100));
    directory.Expire(At(30000));
    directory.OnStoreRestored(At(30000));
    directory.Replace({entry}, At(30100));
    CHECK(UsableAt(directory, 30000 + 20000) == 0);
  }
  SECTION("it is remembered for as long as the registry lists it") {
    directory.Expire(At(600000));
    CHECK(UsableAt(directory, 600000) == 0);
  }
  SECTION("another start of it is usable") {
    ++entry.incarnation;
    directory.Put(entry);
    CHECK(UsableAt(directory, 0) == 1);
  }
}

// Guards against new work for a process that leaves, whose entry was written
// after it had said so.
TEST_CASE("A process that leaves is not usable by an entry that follows soon",
          "[gateway]") {
  BackendDirectory directory;
  BackendEntry entry = Entry("a");
  entry.incarnation = 7;
  directory.Put(entry);
  directory.OnCurrent(BootAt(0));
  directory.OnLeaving(BackendId("a"), {7, std::nullopt, BootAt(100), {}},
                      At(200));
  directory.OnCurrent(BootAt(500));
  ++entry.incarnation;
  directory.Put(entry);
  directory.Expire(At(600));
  CHECK(UsableAt(directory, 600) == 0);
  SECTION("another start is usable at once") {
    directory.OnCurrent(BootAt(2100));
    ++entry.incarnation;
    directory.Put(entry);
    CHECK(UsableAt(directory, 2200) == 1);
  }
  SECTION("one that is listed as ready for long does not leave") {
    directory.OnCurrent(BootAt(5499));
    directory.Expire(At(5500));
    CHECK(UsableAt(directory, 5500) == 0);
    directory.OnCurrent(BootAt(5500));
    directory.Expire(At(5600));
    CHECK(UsableAt(directory, 5600) == 1);
    // The earlier start does leave.
    --entry.incarnation;
    directory.Put(entry);
    CHECK(UsableAt(directory, 5600) == 0);
  }
  SECTION("a registry that is not read shows nothing") {
    directory.Expire(At(600000));
    CHECK(UsableAt(directory, 600000) == 0);
  }
}
