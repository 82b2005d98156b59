#include "dandelionmill/gateway/backend_reports.h"

#include <catch2/catch.hpp>

#include "tests/support/fake_table.h"

namespace base = dandelionmill::base;
using dandelionmill::gateway::BackendReports;
using dandelionmill::gateway::CrashGuard;
using dandelionmill::gateway::DecodeReportRow;
using dandelionmill::gateway::EncodeReportRow;
using dandelionmill::gateway::ReportRow;
using dandelionmill::gateway::RequestLimits;

TEST_CASE("Rows of the crash table are read as they were written",
          "[gateway]") {
  const CrashGuard::Report report{
      base::BackendId("i-1"), {"12-3"}, {{"aa", true}, {"bb", false}}};
  const auto read = DecodeReportRow(EncodeReportRow({"front-1/x", report}));
  REQUIRE(base::IsOk(read));
  CHECK(base::ValueOf(read).process == "front-1/x");
  const auto& content =
      std::get<CrashGuard::Report>(base::ValueOf(read).content);
  CHECK(content.backend == report.backend);
  CHECK(content.digests == report.digests);
  REQUIRE(content.parts.size() == 2);
  CHECK(content.parts[0].id == "aa");
  CHECK(content.parts[0].is_repeated);
  CHECK_FALSE(content.parts[1].is_repeated);

  const auto clearance = DecodeReportRow(
      EncodeReportRow({"front-1/x", CrashGuard::Clearance{"aa", false}}));
  REQUIRE(base::IsOk(clearance));
  const auto& cleared =
      std::get<CrashGuard::Clearance>(base::ValueOf(clearance).content);
  CHECK(cleared.part == "aa");
  CHECK_FALSE(cleared.is_after_crashes);
}

TEST_CASE("A limit that one instance observes reaches the others",
          "[gateway]") {
  const base::BackendId backend("i-1");
  const base::MonoTime now = base::MonoTime(std::chrono::hours(1));
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  CrashGuard guard;
  RequestLimits observer;
  RequestLimits other;
  BackendReports from(guard, observer, table, "front-1/x");
  BackendReports to(guard, other, table, "front-2/y");
  const auto share = [&](std::optional<double> limit, int ms) {
    const base::MonoTime at = now + std::chrono::milliseconds(ms);
    observer.OnResponse({backend, {7, std::nullopt, {}, {}}, limit}, at, at);
    from.Publish(at);
    loop.restart();
    loop.run();
    to.OnRow({{"crashes", "", "limit i-1"},
              table.Value("crashes", "", "limit i-1"),
              static_cast<std::uint64_t>(ms),
              false},
             at);
  };
  share(1.4, 1);
  CHECK(other.LimitOf(backend) == 1.4);
  share(std::nullopt, 2);
  CHECK_FALSE(other.LimitOf(backend));
}

TEST_CASE("A row of the crash table that cannot be read is rejected",
          "[gateway]") {
  for (const char* value :
       {"", "front-1/x", "[]", "{}", R"({"process": 1})",
        R"({"process": "p", "backend": "b", "requests": [1], "parts": []})",
        R"({"process": "p", "backend": "b", "requests": [], "parts": [{}]})",
        R"({"process": "p", "backend": "b", "requests": "x", "parts": []})",
        R"({"process": "p", "backend": "b", "requests": {}, "parts": null})",
        R"({"process": "p", "backend": "b", "engine_tired": true})",
        R"({"process": "p", "number": -1, "answered_part": "aa",)"
        R"( "after_crashes": true})",
        R"({"process": "p", "backend": "b", "incarnation": 1.5,)"
        R"( "requests_per_s": 1})",
        R"({"process": "p", "backend": "b", "incarnation": 1,)"
        R"( "requests_per_s": -1})",
        R"({"process": "p", "backend": "b", "incarnation": 1,)"
        R"( "requests_per_s": true})",
        R"({"process": "p", "answered_part": "aa"})",
        R"({"process": "p", "backend": "b", "requests_per_s": 1})"}) {
    INFO(value);
    CHECK_FALSE(base::IsOk(DecodeReportRow(value)));
  }
}

// Guards against instances that never learn of a crash, because the store was
// unreachable when it was reported.
TEST_CASE("A crash report that could not be written is written again",
          "[gateway]") {
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  CrashGuard guard;
  RequestLimits limits;
  BackendReports reports(guard, limits, table, "front-1/x");
  const base::MonoTime now = base::MonoTime(std::chrono::hours(1));
  guard.OnAttemptBroken(
      {{"12-3", {"aa"}}, base::BackendId("i-1"), now, false, now});
  guard.OnConnectionRefused(base::BackendId("i-1"), now);
  table.FailAll(tests::FakeTable::Outcome::kUnknown);
  reports.Publish(now);
  loop.run();
  CHECK(table.Value("crashes", "", "crash i-1 front-1/x 1").empty());
  table.FailAll(std::nullopt);
  reports.Publish(now + std::chrono::milliseconds(250));
  loop.restart();
  loop.run();
  CHECK_FALSE(table.Value("crashes", "", "crash i-1 front-1/x 1").empty());
}

TEST_CASE("Of a full read a clearance applies to the reports before it alone",
          "[gateway]") {
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  CrashGuard guard;
  RequestLimits limits;
  BackendReports reports(guard, limits, table, "front-1/x");
  const base::MonoTime now = base::MonoTime(std::chrono::hours(1));
  std::vector<dandelionmill::storage::VersionedRow> rows;
  const auto add = [&rows](const std::string& key, std::uint64_t version,
                           const ReportRow& row) {
    rows.push_back(
        {{"crashes", "", key}, EncodeReportRow(row), version, false});
  };
  // In the order of their keys, as the store returns them.
  add("cleared aa", 50, {"front-2/y", CrashGuard::Clearance{"aa", true}});
  for (int i = 1; i <= 5; ++i) {
    const std::string id = "i-" + std::to_string(i);
    add("crash " + id, static_cast<std::uint64_t>(i),
        {"front-2/y",
         CrashGuard::Report{base::BackendId(id), {}, {{"aa", true}}}});
  }
  reports.OnRows(rows, now);
  CHECK_FALSE(guard.FindQuarantinedPart({"", {"aa"}}));
}

// Guards against reports that a restored store has lost: the other instances
// send more requests that crash backend servers.
TEST_CASE("Crash reports that a restored store has lost are written again",
          "[gateway]") {
  const base::MonoTime now = base::MonoTime(std::chrono::hours(1));
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  CrashGuard guard;
  RequestLimits limits;
  BackendReports reports(guard, limits, table, "front-1/x");
  table.TakeCopy();
  guard.OnAttemptBroken(
      {{"12-3", {"aa"}}, base::BackendId("i-1"), now, false, now});
  guard.OnConnectionRefused(base::BackendId("i-1"), now);
  reports.Publish(now);
  loop.run();
  const std::string key = "crash i-1 front-1/x 1";
  REQUIRE_FALSE(table.Value("crashes", "", key).empty());
  table.Restore();
  REQUIRE(table.Value("crashes", "", key).empty());
  reports.OnRows({}, now);
  reports.Publish(now);
  loop.restart();
  loop.run();
  CHECK_FALSE(table.Value("crashes", "", key).empty());
}

// Guards against reports in a restored store that are ignored since their
// versions were given out before.
TEST_CASE("A report with a version that was given out before is merged",
          "[gateway]") {
  const base::MonoTime now = base::MonoTime(std::chrono::hours(1));
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  CrashGuard guard;
  RequestLimits limits;
  BackendReports reports(guard, limits, table, "front-1/x");
  const auto row = [](const std::string& backend, std::uint64_t version) {
    const CrashGuard::Report report{base::BackendId(backend), {"12-3"}, {}};
    return dandelionmill::storage::VersionedRow{
        {"crashes", "", "crash " + backend},
        EncodeReportRow({"front-2/y", report}),
        version,
        false};
  };
  reports.OnRows({row("i-1", 500)}, now);
  REQUIRE_FALSE(guard.IsQuarantined({"12-3", {}}));
  reports.OnRows({row("i-2", 40)}, now);
  CHECK(guard.IsQuarantined({"12-3", {}}));
}

// Guards against a clearance that counts against later crashes since another
// instance has written it again to a restored store.
TEST_CASE("A row that is written again is not merged again", "[gateway]") {
  const base::MonoTime now = base::MonoTime(std::chrono::hours(1));
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  CrashGuard guard;
  RequestLimits limits;
  BackendReports reports(guard, limits, table, "front-1/x");
  const auto row = [](const std::string& key, std::uint64_t version,
                      auto content, std::uint64_t number) {
    return dandelionmill::storage::VersionedRow{
        {"crashes", "", key},
        EncodeReportRow({"front-2/y", content, number}),
        version,
        false};
  };
  const CrashGuard::Clearance clearance{"aa", true};
  reports.OnRow(row("cleared aa", 5, clearance, 1), now);
  for (int i = 0; i < 5; ++i) {
    const std::string backend = "i-" + std::to_string(i);
    const CrashGuard::Report report{
        base::BackendId(backend), {}, {{"aa", true}}};
    reports.OnRow(row("crash " + backend, 6 + i, report, 2 + i), now);
  }
  REQUIRE(guard.FindQuarantinedPart({"", {"aa"}}));
  reports.OnRow(row("cleared aa", 20, clearance, 1), now);
  CHECK(guard.FindQuarantinedPart({"", {"aa"}}));
  reports.OnRow(row("cleared aa", 21, clearance, 8), now);
  CHECK_FALSE(guard.FindQuarantinedPart({"", {"aa"}}));
}

// Guards against an earlier limit that returns with a restored store.
TEST_CASE("An earlier value of a restored row is replaced by the known one",
          "[gateway]") {
  const base::MonoTime now = base::MonoTime(std::chrono::hours(1));
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  CrashGuard guard;
  RequestLimits limits;
  BackendReports reports(guard, limits, table, "front-1/x");
  const auto value = [](std::optional<double> limit, std::uint64_t number) {
    return EncodeReportRow(
        {"front-2/y",
         RequestLimits::Observation{
             base::BackendId("i-1"), {7, std::nullopt, {}, {}}, limit},
         number});
  };
  const auto stored_row = [&] {
    return dandelionmill::storage::VersionedRow{
        {"crashes", "", "limit i-1"},
        table.Value("crashes", "", "limit i-1"),
        table.version(),
        false};
  };
  table.Put("crashes", "", "limit i-1", value(2.0, 1));
  table.TakeCopy();
  reports.OnRow(stored_row(), now);
  table.Put("crashes", "", "limit i-1", value(std::nullopt, 2));
  reports.OnRow(stored_row(), now);
  REQUIRE_FALSE(limits.LimitOf(base::BackendId("i-1")));
  table.Restore();
  reports.OnRows({stored_row()}, now);
  reports.Publish(now);
  loop.run();
  CHECK_FALSE(limits.LimitOf(base::BackendId("i-1")));
  CHECK(table.Value("crashes", "", "limit i-1") == value(std::nullopt, 2));
}

TEST_CASE("A row of the crash table is read without its unknown fields",
          "[gateway]") {
  for (const char* value :
       {R"({"process":"p","backend":"b","requests":[],"later":[1],)"
        R"("parts":[{"id":"aa","repeated":true,"later":1}]})",
        R"({"process":"p","answered_part":"aa","after_crashes":true,"x":{}})",
        R"({"process":"p","backend":"b","incarnation":1,)"
        R"("requests_per_s":1e300,"x":0})"}) {
    INFO(value);
    CHECK(base::IsOk(DecodeReportRow(value)));
  }
}
