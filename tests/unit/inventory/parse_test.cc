#include "dandelionmill/inventory/parse.h"

#include <catch2/catch.hpp>

#include "dandelionmill/inventory/to_json.h"
#include "tests/unit/inventory/example.h"

using dandelionmill::base::Code;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::ValueOf;
using nlohmann::json;
namespace inventory = dandelionmill::inventory;
using inventory::ExampleInventory;
using inventory::ParseInventory;

namespace {

// Returns the error detail for the example with the value at `pointer`
// replaced; empty when it is valid.
std::string ErrorWith(const char* pointer, const json& value) {
  json changed = ExampleInventory();
  changed[json::json_pointer(pointer)] = value;
  const auto parsed = ParseInventory(changed.dump(), "{}");
  return IsOk(parsed) ? "" : ErrorOf(parsed).detail;
}

}  // namespace

TEST_CASE("A valid inventory is parsed with defaults filled in",
          "[inventory]") {
  const auto parsed = ParseInventory(
      ExampleInventory().dump(),
      R"({"lease_policy":"fixed_split","cross_region":"never"})");
  REQUIRE(IsOk(parsed));
  const inventory::Document& document = ValueOf(parsed);
  CHECK(document.core.regions.size() == 2);
  CHECK(document.core.services[0].models[0].max_output_tokens == 512);
  CHECK(document.core.backends[1].slots == 8);
  CHECK(document.core.rules.lease_policy ==
        inventory::LeasePolicy::kFixedSplit);
  CHECK(document.core.rules.cross_region == inventory::Spill::kNever);
  CHECK(document.core.rules.cross_zone == inventory::Spill::kWhenLocalFull);
  CHECK(document.accounts[0].id.value() == "assay");
  SECTION("the inventory written from it parses to the same document") {
    const std::string written = InventoryToJson(document).dump();
    const auto reparsed =
        ParseInventory(written, ToJson(document.core.rules).dump());
    REQUIRE(IsOk(reparsed));
    CHECK(InventoryToJson(ValueOf(reparsed)).dump() == written);
  }
}

TEST_CASE(
    "An invalid value is reported with its pointer and the allowed values",
    "[inventory]") {
  CHECK(ErrorWith("/services/0/queue_limit", -1) ==
        "/services/0/queue_limit is -1; allowed: 0 to 100000");
  CHECK(ErrorWith("/accounts/0/budgets/0/granted", 1.5) ==
        "/accounts/0/budgets/0/granted is 1.5; allowed: 0 to 1000000000000000");
  CHECK(ErrorWith("/backends/0/zone", "gwynedd-z") ==
        "/backends/0/zone is \"gwynedd-z\"; allowed: the id of an availability "
        "zone in /regions");
  CHECK(ErrorWith("/backends/0/adress", "x") ==
        "/backends/0/adress is unknown (its value is not read); allowed: "
        "address, checks_fencing, id, service, slots, zone");
  CHECK(ErrorWith("/services/1/id", "assay-llm") ==
        "/services/1/id is \"assay-llm\"; allowed: a name that is used once\n"
        "/backends/1/service is \"ledger\"; allowed: the id of a service in "
        "/services");
  CHECK(ErrorWith("/accounts/0/id", "a/b") ==
        "/accounts/0/id is \"a/b\"; allowed: 1 to 64 letters, digits, '_' and "
        "'-'");
  CHECK(ErrorWith("/services/0/models", json::array()) ==
        "/services/0/models is empty; allowed: at least one model in a service "
        "of kind \"model\"");
}

TEST_CASE("A key entered instead of its digest is not shown in the error",
          "[inventory]") {
  CHECK(ErrorWith("/accounts/0/key_sha256/0", "pigments.hunter2") ==
        "/accounts/0/key_sha256/0 is (not shown); allowed: 64 lower-case "
        "hexadecimal digits");
}

TEST_CASE("Text that is not a well-formed JSON object is rejected",
          "[inventory]") {
  const auto error_detail = [](const std::string& text) {
    const auto parsed = ParseInventory(text, "{}");
    REQUIRE_FALSE(IsOk(parsed));
    CHECK(ErrorOf(parsed).code == Code::kBadInventory);
    return ErrorOf(parsed).detail;
  };
  CHECK(error_detail("{") == "inventory is no JSON; allowed: a JSON object");
  CHECK(error_detail("[1]") == "inventory is [1]; allowed: a JSON object");
  CHECK(error_detail(R"({"regions":[],"regions":[]})") ==
        "inventory is an object with two keys \"regions\"; allowed: each key "
        "once");
  const std::string deep(100000, '[');
  CHECK(error_detail("{\"regions\":" + deep + "}") ==
        "inventory is nested too deeply; allowed: up to 12 levels");
}

TEST_CASE("Only the first errors are listed", "[inventory]") {
  json many = ExampleInventory();
  for (int i = 0; i < 30; ++i)
    many["backends"].push_back(json::object({{"id", 1}}));
  const auto parsed = ParseInventory(many.dump(), "{}");
  REQUIRE_FALSE(IsOk(parsed));
  CHECK(ErrorOf(parsed).detail.find("\nand ") != std::string::npos);
}
