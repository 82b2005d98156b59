#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/gateway/backend_reports.h"
#include "dandelionmill/gateway/fleet_members.h"
#include "dandelionmill/prepaid/rows.h"
#include "tests/property/mutator.h"
#include "tests/support/fake_table.h"

namespace base = dandelionmill::base;
namespace gateway = dandelionmill::gateway;
namespace prepaid = dandelionmill::prepaid;
using nlohmann::json;

namespace {

constexpr int kInputs = 5000;
constexpr std::uint64_t kSeed = 20261206;

// Rows as the builds 9045e41, 13e3593 and this one write them.
const std::vector<std::string>& Totals() {
  static const std::vector<std::string> rows = {
      R"({"contributions":{"a/1":[40,7,900]},"drawn":50,"era":2})",
      R"({"completed_era":1,"contributions":{"a/1":[-40,7,900]},"drawn":50,)"
      R"("era":2,"written_off":5,"written_off_era":2,"later":{"x":[1]}})"};
  return rows;
}

const std::vector<std::string>& Holders() {
  static const std::vector<std::string> rows = {
      R"({"as_of_ms":900,"era":2,"process":"a/1","quiet_ms":900,)"
      R"("sequence":7,"shares":{"t":[40,30,12]}})",
      R"({"as_of_ms":900,"era":2,"process":"a/1","quiet_ms":900,)"
      R"("sequence":7,"shares":{"t":[40,30,12]},"unsettled":["t"],"x":1})"};
  return rows;
}

const std::vector<std::string>& Heartbeats() {
  static const std::vector<std::string> rows = {
      R"({"config":9,"era":1,"peer":"127.0.0.1:7002","process":"b/1"})",
      R"({"config":9,"peer":"127.0.0.1:7002","process":"b/1","zone":"z"})"};
  return rows;
}

const std::vector<std::string>& Reports() {
  static const std::vector<std::string> rows = {
      R"({"backend":"i","number":1,"parts":[{"id":"aa","repeated":true}],)"
      R"("process":"b/1","requests":["12-3"]})",
      R"({"after_crashes":true,"answered_part":"aa","number":2,)"
      R"("process":"b/1"})",
      R"({"backend":"i","incarnation":7,"number":3,"process":"b/1",)"
      R"("requests_per_s":1.5})"};
  return rows;
}

// Returns one of `rows` with a field or a value of a list removed or replaced
// by another type or number; or else with its text mutated.
std::string Mutate(const std::vector<std::string>& rows,
                   tests::Mutator& mutator) {
  static const std::vector<json> kValues = {
      nullptr,
      true,
      -1,
      -1000000,
      1.5,
      1e300,
      "x",
      "",
      "1",
      json::array(),
      json::object(),
      json::array({1, 2, 3}),
      std::numeric_limits<std::uint64_t>::max(),
      std::numeric_limits<std::int64_t>::min()};
  const std::string& row = rows[mutator.RandomBelow(rows.size())];
  if (mutator.RandomBelow(2) == 0)
    return mutator.Mutate(row);
  const json flat = json::parse(row).flatten();
  auto field = flat.begin();
  std::advance(field, mutator.RandomBelow(flat.size()));
  json::json_pointer at(field.key());
  while (at.parent_pointer() != json::json_pointer() &&
         mutator.RandomBelow(2) == 0)
    at = at.parent_pointer();
  json changed = json::parse(row);
  if (mutator.RandomBelow(4) == 0 && changed[at.parent_pointer()].is_object())
    changed[at.parent_pointer()].erase(at.back());
  else
    changed[at] = kValues[mutator.RandomBelow(kValues.size())];
  return changed.dump();
}

}  // namespace

TEST_CASE("Prepaid rows are read with values that they can have or rejected",
          "[property]") {
  tests::Mutator mutator(kSeed);
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutate(Totals(), mutator);
    INFO(text);
    const auto total = prepaid::DecodeAccountRow(text);
    if (base::IsOk(total)) {
      const prepaid::AccountRow& row = base::ValueOf(total);
      REQUIRE(row.drawn >= 0);
      REQUIRE(row.written_off >= 0);
      // What is written again is read as the same, unknown fields included.
      const auto again = prepaid::DecodeAccountRow(prepaid::Encode(row));
      REQUIRE(base::IsOk(again));
      REQUIRE(prepaid::Encode(base::ValueOf(again)) == prepaid::Encode(row));
    }
    const std::string holder_text = Mutate(Holders(), mutator);
    INFO(holder_text);
    const auto holder = prepaid::DecodeHolderRow(holder_text);
    if (!base::IsOk(holder))
      continue;
    for (const auto& [account, share] : base::ValueOf(holder).shares) {
      REQUIRE(share.committed >= 0);
      REQUIRE(prepaid::Recoverable(share, std::chrono::milliseconds(10)) <=
              share.drawn);
    }
  }
}

TEST_CASE("Heartbeats of any content leave the fleet known", "[property]") {
  tests::Mutator mutator(kSeed);
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  gateway::FleetMembers::View view;
  int views = 0;
  gateway::FleetMembers members(
      table, {"front-1", "front-1/a", {"127.0.0.1", 7001}},
      [] { return gateway::FleetMembers::State{3}; },
      [&](gateway::FleetMembers::View v) {
        view = std::move(v);
        ++views;
      });
  table.Put("instances", "", "front-3", Heartbeats().front());
  for (int i = 0; i < kInputs / 10; ++i) {
    const std::string text = Mutate(Heartbeats(), mutator);
    INFO(text);
    table.Put("instances", "", "front-2", text);
    members.TickAndRead();
    loop.restart();
    loop.run();
    REQUIRE(views == i + 1);
    REQUIRE(view.count == 3);
    REQUIRE_FALSE(view.others.empty());
  }
}

TEST_CASE("Rows of the crash table of any content are merged or left out",
          "[property]") {
  tests::Mutator mutator(kSeed);
  boost::asio::io_context loop;
  tests::FakeTable table(loop);
  gateway::CrashGuard guard;
  gateway::RequestLimits limits;
  limits.SetInstances(base::InstanceId("a"), {base::InstanceId("b")});
  gateway::BackendReports reports(guard, limits, table, "a/1");
  for (int i = 0; i < kInputs; ++i) {
    const std::string text = Mutate(Reports(), mutator);
    INFO(text);
    const base::MonoTime now = base::MonoTime(std::chrono::seconds(1000 + i));
    reports.OnRow({{"crashes", "", "row"},
                   text,
                   static_cast<std::uint64_t>(i + 1),
                   false},
                  now);
    reports.Publish(now);
    loop.restart();
    loop.run();
  }
  // A row that can be read is merged as before.
  limits.Remove(base::BackendId("i"));
  reports.OnRow({{"crashes", "", "limit i"},
                 R"({"backend":"i","incarnation":8,"process":"b/2",)"
                 R"("requests_per_s":2.5})",
                 kInputs + 1,
                 false},
                base::MonoTime(std::chrono::seconds(9000)));
  CHECK(limits.LimitOf(base::BackendId("i")) == 2.5);
}
