#include "dandelionmill/ctl/commit.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "dandelionmill/budget/row.h"
#include "dandelionmill/ctl/budget_rows.h"
#include "dandelionmill/inventory/parse.h"
#include "standins/platform/fault_plan.h"
#include "standins/platform/memory_objects.h"
#include "standins/platform/memory_table.h"
#include "tests/unit/inventory/example.h"

namespace base = dandelionmill::base;
namespace budget = dandelionmill::budget;
namespace ctl = dandelionmill::ctl;
namespace inventory = dandelionmill::inventory;
using nlohmann::json;
using standins::platform::CommandFault;

namespace {

inventory::Document Parse(const json& document) {
  const auto parsed = inventory::ParseInventory(document.dump(), "{}");
  REQUIRE(base::IsOk(parsed));
  return base::ValueOf(parsed);
}

// Returns `document` with the value at a JSON pointer replaced.
json WithValue(const json& document, const char* pointer, const json& value) {
  json changed = document;
  changed[json::json_pointer(pointer)] = value;
  return changed;
}

constexpr char kSlotsPointer[] = "/backends/0/slots";
constexpr char kQueueLimitPointer[] = "/services/0/queue_limit";
constexpr char kGrantedPointer[] = "/accounts/0/budgets/0/granted";
const budget::BudgetKey kBudget{base::AccountId("pigments"), "default"};

// In-memory stores with fault injection, and commits made to them.
class CommitFixture {
 public:
  base::Result<ctl::CommitOutcome> Apply(const json& document,
                                         base::ConfigVersion base,
                                         bool merge = false) {
    ctl::ChangeRequest request;
    request.desired = Parse(document);
    request.base = base;
    request.merge = merge;
    request.author = "anna";
    return ctl::CommitChange({table, objects}, request);
  }

  // Applies the document and returns its version; 0 when it was not committed.
  base::ConfigVersion CommittedVersion(const json& document,
                                       base::ConfigVersion base,
                                       bool merge = false) {
    const auto outcome = Apply(document, base, merge);
    if (!base::IsOk(outcome))
      return 0;
    const auto* done = std::get_if<ctl::Committed>(&base::ValueOf(outcome));
    return done == nullptr ? 0 : done->version;
  }

  inventory::Document Accepted() {
    const auto accepted = ctl::ReadAccepted(table);
    REQUIRE(base::IsOk(accepted));
    const auto document =
        ctl::ReadDocument(objects, base::ValueOf(accepted).head);
    REQUIRE(base::IsOk(document));
    return base::ValueOf(document);
  }

  base::Tokens Granted(const budget::BudgetKey& key) {
    const auto row = ctl::ReadBudget(table, key);
    REQUIRE(base::IsOk(row));
    return base::ValueOf(row).granted;
  }

  // Adds `tokens` to the lease of one holder of the budget, as a control does.
  void DrawLease(base::Tokens tokens) {
    const std::string key = budget::RowKey(kBudget);
    const auto read = table.Read(key);
    auto row = base::ValueOf(budget::ParseRow(base::ValueOf(read).value));
    row.leases[base::HolderId("h/1")].drawn += tokens;
    REQUIRE(base::IsOk(table.Commit(
        {{{key, base::ValueOf(read).version, budget::ToJson(row)}}})));
  }

  std::shared_ptr<standins::platform::FaultPlan> faults =
      std::make_shared<standins::platform::FaultPlan>();
  standins::platform::MemoryTable table{faults};
  standins::platform::MemoryObjects objects;
};

}  // namespace

TEST_CASE("An accepted change writes its head, history, parts and grants",
          "[ctl]") {
  CommitFixture fixture;
  const json first = inventory::ExampleInventory();
  CHECK(fixture.CommittedVersion(first, 0) == 1);
  CHECK(fixture.Granted(kBudget) == 1000000);
  CHECK(fixture.CommittedVersion(WithValue(first, kGrantedPointer, 1500000),
                                 1) == 2);
  CHECK(fixture.Granted(kBudget) == 1500000);
  CHECK(base::IsOk(ctl::ReadHistoryHead(fixture.table, 1)));
  CHECK(fixture.Accepted().core.backends.size() == 2);
  SECTION("applying the same document again is reported as unchanged") {
    const auto again =
        fixture.Apply(WithValue(first, kGrantedPointer, 1500000), 1);
    REQUIRE(base::IsOk(again));
    CHECK(std::holds_alternative<ctl::Unchanged>(base::ValueOf(again)));
  }
}

TEST_CASE("A conflict reports the changes committed since the base", "[ctl]") {
  CommitFixture fixture;
  const json first = inventory::ExampleInventory();
  REQUIRE(fixture.CommittedVersion(first, 0) == 1);
  REQUIRE(fixture.CommittedVersion(WithValue(first, kSlotsPointer, 12), 1) ==
          2);
  SECTION("changes of the same object conflict") {
    const auto outcome =
        fixture.Apply(WithValue(first, kSlotsPointer, 16), 1, true);
    REQUIRE(base::IsOk(outcome));
    const auto& conflict = std::get<ctl::Conflict>(base::ValueOf(outcome));
    CHECK(conflict.accepted.version == 2);
    REQUIRE(conflict.theirs.size() == 1);
    CHECK(inventory::ToString(conflict.theirs[0]) ==
          "~ backends/gw-a-1 slots: 8 -> 12");
    CHECK(conflict.overlap == std::vector<std::string>{"backends/gw-a-1"});
    CHECK(fixture.Accepted().core.backends[0].slots == 12);
  }
  SECTION("changes of different objects are both kept with merge") {
    CHECK(fixture.CommittedVersion(WithValue(first, kQueueLimitPointer, 7),
                                   1) == 0);
    CHECK(fixture.CommittedVersion(WithValue(first, kQueueLimitPointer, 7), 1,
                                   true) == 3);
    CHECK(fixture.Accepted().core.backends[0].slots == 12);
    CHECK(fixture.Accepted().core.services[0].queue_limit == 7);
  }
  SECTION("a merge with an invalid result is refused") {
    json added = WithValue(first, kSlotsPointer, 12);
    added["backends"].push_back({{"id", "gw-b-l"},
                                 {"service", "ledger"},
                                 {"zone", "gwynedd-b"},
                                 {"address", "127.0.0.1:18003"}});
    REQUIRE(fixture.CommittedVersion(added, 2) == 3);
    json without = first;
    without["backends"].erase(1);
    without["services"].erase(1);
    const auto outcome = fixture.Apply(without, 1, true);
    REQUIRE_FALSE(base::IsOk(outcome));
    CHECK(base::ErrorOf(outcome).code == base::Code::kBadInventory);
    CHECK(fixture.Accepted().core.services.size() == 2);
  }
}

TEST_CASE("A commit whose answer is lost is found by reading back", "[ctl]") {
  CommitFixture fixture;
  const json first = inventory::ExampleInventory();
  REQUIRE(fixture.CommittedVersion(first, 0) == 1);
  SECTION("the commit took effect") {
    fixture.faults->Schedule({CommandFault::kLoseAnswer});
  }
  SECTION("the commit did not reach the store") {
    fixture.faults->Schedule({CommandFault::kLoseRequest});
  }
  SECTION("several answers were lost") {
    fixture.faults->Schedule({CommandFault::kLoseRequest,
                              CommandFault::kUnavailable,
                              CommandFault::kLoseAnswer});
  }
  CHECK(fixture.CommittedVersion(WithValue(first, kGrantedPointer, 2000000),
                                 1) == 2);
  CHECK(fixture.Granted(kBudget) == 2000000);
  CHECK_FALSE(base::IsOk(ctl::ReadHistoryHead(fixture.table, 3)));
}

TEST_CASE("A grant cannot be set below the leased tokens", "[ctl]") {
  CommitFixture fixture;
  const json first = inventory::ExampleInventory();
  REQUIRE(fixture.CommittedVersion(first, 0) == 1);
  fixture.DrawLease(400000);
  SECTION("a lower grant is refused and the old grant kept") {
    const auto outcome =
        fixture.Apply(WithValue(first, kGrantedPointer, 399999), 1);
    REQUIRE_FALSE(base::IsOk(outcome));
    CHECK(base::ErrorOf(outcome).code == base::Code::kBudgetFloor);
    CHECK(base::ErrorOf(outcome).detail.find("400000") != std::string::npos);
    CHECK(fixture.Granted(kBudget) == 1000000);
  }
  SECTION("an equal grant is accepted and the lease kept") {
    CHECK(fixture.CommittedVersion(WithValue(first, kGrantedPointer, 400000),
                                   1) == 2);
    const auto row = ctl::ReadBudget(fixture.table, kBudget);
    CHECK(budget::Outstanding(base::ValueOf(row)) == 400000);
    CHECK(base::ValueOf(row).granted == 400000);
  }
}

TEST_CASE("A change can create more budgets than fit into one transaction",
          "[ctl]") {
  CommitFixture fixture;
  json many = inventory::ExampleInventory();
  for (int i = 0; i < 150; ++i)
    many["accounts"].push_back(
        {{"id", "account-" + std::to_string(i)},
         {"budgets", {{{"name", "default"}, {"granted", i + 1}}}}});
  REQUIRE(fixture.CommittedVersion(many, 0) == 1);
  CHECK(fixture.Granted({base::AccountId("account-149"), "default"}) == 150);
  SECTION("but cannot change the grants of as many") {
    for (int i = 2; i < 152; ++i)
      many["accounts"][i]["budgets"][0]["granted"] = 7;
    const auto outcome = fixture.Apply(many, 1);
    REQUIRE_FALSE(base::IsOk(outcome));
    CHECK(base::ErrorOf(outcome).code == base::Code::kBadInventory);
    CHECK(fixture.Granted({base::AccountId("account-149"), "default"}) == 150);
  }
}

TEST_CASE("Concurrent merges lose no accepted change", "[ctl]") {
  CommitFixture fixture;
  json first = inventory::ExampleInventory();
  constexpr int kOperators = 4;
  for (int i = 0; i < kOperators; ++i)
    first["accounts"].push_back({{"id", "racer-" + std::to_string(i)}});
  REQUIRE(fixture.CommittedVersion(first, 0) == 1);
  std::vector<std::thread> threads;
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&fixture, &first, i] {
      // Each thread changes a different account, based on version 1.
      ctl::ChangeRequest request;
      json changed = first;
      changed["accounts"][2 + i]["weight"] = 2;
      request.desired =
          base::ValueOf(inventory::ParseInventory(changed.dump(), "{}"));
      request.base = 1;
      request.merge = true;
      ctl::CommitChange({fixture.table, fixture.objects}, request);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  for (const inventory::Account& account : fixture.Accepted().accounts) {
    if (account.id.value().compare(0, 6, "racer-") == 0)
      CHECK(account.weight == 2);
  }
  CHECK(base::IsOk(ctl::ReadHistoryHead(fixture.table, 1 + kOperators)));
  CHECK_FALSE(base::IsOk(ctl::ReadHistoryHead(fixture.table, 2 + kOperators)));
}
