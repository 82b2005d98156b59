#include "dandelionmill/inventory/parts.h"

#include <catch2/catch.hpp>

#include "dandelionmill/inventory/parse.h"
#include "dandelionmill/inventory/to_json.h"
#include "tests/unit/inventory/example.h"

using dandelionmill::base::AccountId;
using dandelionmill::base::IsOk;
using dandelionmill::base::ValueOf;
namespace inventory = dandelionmill::inventory;
using inventory::ExampleInventory;
using inventory::Parts;

namespace {

Parts ParseAndSplit(const nlohmann::json& json) {
  const auto parsed = inventory::ParseInventory(json.dump(), "{}");
  REQUIRE(IsOk(parsed));
  return inventory::SplitParts(ValueOf(parsed));
}

}  // namespace

TEST_CASE("Splitting and joining a document does not change it",
          "[inventory]") {
  const Parts parts = ParseAndSplit(ExampleInventory());
  CHECK(parts.count("core") == 1);
  CHECK(parts.count(inventory::AccountPartName(AccountId("pigments"))) == 1);
  const auto joined = inventory::JoinParts(parts);
  REQUIRE(IsOk(joined));
  CHECK(inventory::SplitParts(ValueOf(joined)) == parts);
}

TEST_CASE("A snapshot finds client accounts by id", "[inventory]") {
  const auto parsed =
      inventory::ParseParts(7, ParseAndSplit(ExampleInventory()));
  REQUIRE(IsOk(parsed));
  const inventory::Snapshot& snapshot = *ValueOf(parsed);
  CHECK(snapshot.version() == 7);
  CHECK(snapshot.FindAccount(AccountId("assay"))->budgets.size() == 2);
  CHECK(snapshot.FindAccount(AccountId("nobody")) == nullptr);
}

TEST_CASE("Inconsistent parts are rejected", "[inventory]") {
  Parts parts = ParseAndSplit(ExampleInventory());
  SECTION("an unknown part") {
    parts["other"] = "{}";
  }
  SECTION("a missing core part") {
    parts.erase("core");
  }
  SECTION("an account in two parts") {
    parts["accounts/zz"] =
        parts[inventory::AccountPartName(AccountId("pigments"))];
  }
  CHECK_FALSE(IsOk(inventory::ParseParts(1, parts)));
}

TEST_CASE("A change of one account changes and reparses only its part",
          "[inventory]") {
  nlohmann::json json = ExampleInventory();
  for (int i = 0; i < 500; ++i)
    json["accounts"].push_back({{"id", "account-" + std::to_string(i)}});
  const Parts before = ParseAndSplit(json);
  const auto first = inventory::ParseParts(1, before);
  REQUIRE(IsOk(first));
  json["accounts"][7]["weight"] = 3;
  const Parts after = ParseAndSplit(json);
  const auto second = inventory::ParseParts(2, after, ValueOf(first));
  REQUIRE(IsOk(second));

  const std::string changed =
      inventory::AccountPartName(AccountId("account-5"));
  REQUIRE(after.size() == before.size());
  for (const auto& [name, text] : after)
    CHECK((text == before.at(name)) == (name != changed));
  for (const auto& [name, shard] : ValueOf(second)->shards())
    CHECK((shard == ValueOf(first)->shards().at(name)) == (name != changed));
  CHECK(ValueOf(second)->FindAccount(AccountId("account-5"))->weight == 3);
  CHECK(ValueOf(first)->FindAccount(AccountId("account-5"))->weight == 1);
}
