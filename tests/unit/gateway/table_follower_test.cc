#include "dandelionmill/gateway/table_follower.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "tests/support/fake_table.h"

using dandelionmill::gateway::TableFollower;
using dandelionmill::storage::CallOutcome;
using dandelionmill::storage::VersionedRow;
using std::chrono::milliseconds;

namespace {

struct Fixture {
  boost::asio::io_context loop;
  tests::FakeTable table{loop};
  std::map<std::string, std::string> seen;
  int snapshots = 0;
  bool reachable = true;
  std::vector<TableFollower::Status> statuses;
  std::vector<TableFollower::CatchUp> catch_ups;
  std::vector<dandelionmill::base::BootTime> current_as_of;
  TableFollower follower{loop,
                         table,
                         "servers",
                         {[this](const VersionedRow& row) {
                            if (row.deleted)
                              seen.erase(row.key.key);
                            else
                              seen[row.key.key] = row.value;
                          },
                          [this](const std::vector<VersionedRow>& rows) {
                            ++snapshots;
                            seen.clear();
                            for (const VersionedRow& row : rows) {
                              if (!row.deleted)
                                seen[row.key.key] = row.value;
                            }
                          },
                          [this](const TableFollower::Status& status) {
                            reachable = status.is_reachable;
                            statuses.push_back(status);
                          },
                          [this](const TableFollower::CatchUp& catch_up) {
                            catch_ups.push_back(catch_up);
                          },
                          [this](dandelionmill::base::BootTime as_of) {
                            current_as_of.push_back(as_of);
                          }}};

  void Run(int ms = 60) {
    loop.restart();
    loop.run_for(milliseconds(ms));
  }
};

}  // namespace

TEST_CASE("A follower reports the rows and changes of a table", "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  CHECK(fixture.seen["a"] == "1");
  fixture.table.Put("servers", "", "b", "1");
  fixture.table.Put("servers", "", "a", "2");
  fixture.Run();
  CHECK(fixture.seen["a"] == "2");
  CHECK(fixture.seen.count("b") == 1);
  fixture.table.Delete("servers", "a");
  fixture.Run();
  CHECK(fixture.seen.count("a") == 0);
}

TEST_CASE("A follower reads all rows again after the history is lost",
          "[gateway]") {
  Fixture fixture;
  fixture.follower.Start();
  fixture.Run();
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  fixture.Run(10);
  fixture.table.Put("servers", "", "a", "1");
  fixture.table.ForgetHistory();
  fixture.table.Put("servers", "", "b", "1");
  fixture.table.FailAll(std::nullopt);
  fixture.Run(400);
  CHECK(fixture.snapshots == 2);
  CHECK(fixture.seen.size() == 2);
}

TEST_CASE("A read with an older version is rejected and repeated",
          "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.Put("servers", "", "a", "2");
  fixture.Run();
  fixture.table.AnswerReadsWithVersion(1);
  fixture.table.ForgetHistory();
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  fixture.Run(10);
  fixture.table.FailAll(std::nullopt);
  fixture.Run(300);
  CHECK(fixture.snapshots == 1);
  CHECK_FALSE(fixture.reachable);
  fixture.table.AnswerReadsWithVersion(std::nullopt);
  fixture.Run(400);
  CHECK(fixture.snapshots == 2);
  CHECK(fixture.reachable);
}

TEST_CASE("Known rows are kept while the store is unreachable", "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.FailAll(CallOutcome::kUnknown);
  fixture.Run(300);
  CHECK_FALSE(fixture.reachable);
  CHECK(fixture.seen.count("a") == 1);
  fixture.table.FailAll(std::nullopt);
  fixture.Run(400);
  CHECK(fixture.reachable);
}

// Guards against an outage that leaves one line at its start, so that a call
// that fails again and again for another reason goes unseen.
TEST_CASE("A table that stays unreachable is reported again, with the reason",
          "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.FailAll(CallOutcome::kUnknown);
  fixture.Run(2600);
  REQUIRE(fixture.statuses.size() == 2);
  CHECK(fixture.statuses[0].has_changed);
  CHECK_FALSE(fixture.statuses[1].has_changed);
  CHECK_FALSE(fixture.statuses[1].is_reachable);
  CHECK(fixture.statuses[1].failed_calls > fixture.statuses[0].failed_calls);
  CHECK(fixture.statuses[1].version == 1);
  fixture.table.FailAll(std::nullopt);
  fixture.Run(400);
  REQUIRE(fixture.statuses.size() == 3);
  CHECK(fixture.statuses[2].is_reachable);
  CHECK(fixture.statuses[2].failed_calls > 0);
  CHECK(fixture.statuses[2].reason.empty());
}

// Guards against a follower that waits for changes which take more time to
// arrive than a call may take, instead of reading the rows as they are.
TEST_CASE("Changes that are larger than the table are replaced by its rows",
          "[gateway]") {
  Fixture fixture;
  const std::string large(100000, 'x');
  fixture.table.Put("servers", "", "a", large);
  fixture.follower.Start();
  fixture.Run();
  fixture.table.FailAll(CallOutcome::kUnknown);
  fixture.Run(10);
  for (const char* key : {"b", "c", "d"})
    fixture.table.Put("servers", "", key, large);
  fixture.table.FailAll(std::nullopt);
  fixture.Run(400);
  CHECK(fixture.seen.size() == 4);
  CHECK(fixture.snapshots == 2);
  CHECK(fixture.reachable);
  // The first one reports the read at the start.
  REQUIRE(fixture.catch_ups.size() == 3);
  CHECK(fixture.catch_ups[0].is_complete);
  CHECK(fixture.catch_ups[0].bytes == large.size());
  CHECK_FALSE(fixture.catch_ups[1].is_complete);
  CHECK(fixture.catch_ups[1].from_version == 1);
  CHECK(fixture.catch_ups[1].reason == "too_large");
  CHECK(fixture.catch_ups[2].is_complete);
  CHECK(fixture.catch_ups[2].version == 4);
  CHECK(fixture.catch_ups[2].bytes == 4 * large.size());
  // Later changes are followed.
  fixture.table.Put("servers", "", "e", "1");
  fixture.Run();
  CHECK(fixture.seen["e"] == "1");
  CHECK(fixture.snapshots == 2);
}

// Guards against a read of several pages that takes the version of its last one
// and so never sees what changed on an earlier page meanwhile.
TEST_CASE("A change on a page that has been read is not missed", "[gateway]") {
  Fixture fixture;
  fixture.table.SetPageRows(2);
  for (const char* key : {"a", "b", "c", "d", "e"})
    fixture.table.Put("servers", "", key, "1");
  fixture.table.AfterRead([&fixture](int number) {
    if (number != 1)
      return;
    fixture.table.Put("servers", "", "a", "2");
    fixture.table.Delete("servers", "b");
    fixture.table.Put("servers", "", "d", "2");
  });
  fixture.follower.Start();
  fixture.Run(300);
  CHECK(fixture.snapshots == 1);
  CHECK(fixture.seen == std::map<std::string, std::string>{
                            {"a", "2"}, {"c", "1"}, {"d", "2"}, {"e", "1"}});
}

// Guards against a full read that begins anew whenever one of its calls fails,
// so that a large table is never read over a bad link.
TEST_CASE("A full read goes on with the page that failed", "[gateway]") {
  Fixture fixture;
  fixture.table.SetPageRows(1);
  for (const char* key : {"a", "b", "c"})
    fixture.table.Put("servers", "", key, "1");
  fixture.table.FailRead(2);
  fixture.follower.Start();
  fixture.Run(400);
  CHECK(fixture.seen.size() == 3);
  CHECK(fixture.table.reads() == 4);
}

// Guards against a feed answer that breaks off or cannot be read and is
// requested again without end.
TEST_CASE("After a broken feed answer the rows are kept and read again",
          "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  fixture.Run(10);
  fixture.table.Put("servers", "", "b", "1");
  fixture.table.BreakNextFeed();
  fixture.table.FailAll(std::nullopt);
  fixture.Run(130);
  CHECK(fixture.seen.count("a") == 1);
  REQUIRE(fixture.catch_ups.size() == 2);
  CHECK(fixture.catch_ups[1].reason == "broken off");
  fixture.Run(400);
  CHECK(fixture.seen.size() == 2);
  CHECK(fixture.snapshots == 2);
  CHECK(fixture.reachable);
}

// Guards against an answer that waited during a suspension, or took long to
// arrive, and makes old rows count as confirmed at that moment.
TEST_CASE("An answer that took too long confirms the time of its call only",
          "[gateway]") {
  using dandelionmill::base::BootClock;
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  REQUIRE(fixture.current_as_of.size() == 1);
  // The answer to the feed call is determined half of the latency before.
  fixture.table.SetLatency(milliseconds(3600));
  const auto before = BootClock::now();
  fixture.table.Put("servers", "", "a", "2");
  fixture.Run(2000);
  REQUIRE(fixture.current_as_of.size() == 2);
  CHECK(fixture.seen["a"] == "2");
  CHECK(fixture.current_as_of[1] <= before);
}

// Guards against an overloaded store that gets a full read for every call that
// it refuses with a body.
TEST_CASE("A refused feed call is repeated without a full read", "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.RefuseNextFeed();
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  fixture.Run(10);
  fixture.table.FailAll(std::nullopt);
  fixture.Run(600);
  CHECK(fixture.reachable);
  CHECK(fixture.snapshots == 1);
}

// Guards against a change that is lost because its row cannot be decoded.
TEST_CASE("A feed answer with malformed rows is replaced by a full read",
          "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.FailAll(CallOutcome::kNotPerformed);
  fixture.Run(10);
  fixture.table.Put("servers", "", "a", "2");
  fixture.table.DropRowsOfNextFeed();
  fixture.table.FailAll(std::nullopt);
  fixture.Run(600);
  CHECK(fixture.seen["a"] == "2");
  CHECK(fixture.snapshots == 2);
  REQUIRE(fixture.catch_ups.size() == 3);
  CHECK(fixture.catch_ups[1].reason == "1 malformed rows");
}

// Guards against a follower that compares versions of a restored store with
// those that were given out before.
TEST_CASE("A follower reads a restored store from its first answer on",
          "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.TakeCopy();
  for (int i = 0; i < 50; ++i)
    fixture.table.Put("servers", "", "b", "lost");
  fixture.Run();
  REQUIRE(fixture.seen["b"] == "lost");
  fixture.table.Restore();
  fixture.Run(150);
  CHECK(fixture.reachable);
  CHECK(fixture.seen.count("b") == 0);
  fixture.table.Put("servers", "", "b", "2");
  fixture.Run();
  CHECK(fixture.seen["b"] == "2");
  SECTION("and once more after the next restore") {
    fixture.table.Restore();
    fixture.Run(150);
    fixture.table.Put("servers", "", "c", "3");
    fixture.Run();
    CHECK(fixture.seen["a"] == "1");
    CHECK(fixture.seen["c"] == "3");
    CHECK(fixture.seen.count("b") == 0);
  }
}

// Guards against changes that are missed when a restored store has given out as
// many versions as it lost before the follower asks again.
TEST_CASE("A follower notices a restore although versions have passed the old",
          "[gateway]") {
  Fixture fixture;
  fixture.table.Put("servers", "", "a", "1");
  fixture.table.TakeCopy();
  fixture.table.Put("servers", "", "a", "2");
  fixture.follower.Start();
  fixture.Run();
  fixture.table.FailAll(CallOutcome::kUnknown);
  fixture.Run(10);
  fixture.table.Restore();
  for (int i = 0; i < 5; ++i)
    fixture.table.Put("other", "", "x", "1");
  fixture.table.FailAll(std::nullopt);
  fixture.Run(500);
  CHECK(fixture.seen["a"] == "1");
}
