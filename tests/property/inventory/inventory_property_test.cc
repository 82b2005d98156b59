#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "dandelionmill/inventory/diff.h"
#include "dandelionmill/inventory/head.h"
#include "dandelionmill/inventory/parse.h"
#include "dandelionmill/inventory/parts.h"
#include "dandelionmill/inventory/to_json.h"
#include "tests/property/mutator.h"
#include "tests/unit/inventory/example.h"

namespace base = dandelionmill::base;
namespace inventory = dandelionmill::inventory;

namespace {

constexpr int kInputsPerCase = 300;

const char kRules[] =
    R"({"lease_policy":"demand","reserve_ms":1000,"routing_policy":"random",)"
    R"("cross_zone":"always","cross_region":"never",)"
    R"("retry_budget_percent":5,"quarantine_ms":1000})";

// Checks the invariants of every accepted document.
void RequireValid(const inventory::Document& document) {
  std::set<std::string> zones;
  for (const inventory::Region& region : document.core.regions) {
    for (const base::ZoneId& zone : region.zones)
      RC_ASSERT(zones.insert(zone.value()).second);
  }
  std::set<std::string> services;
  for (const inventory::Service& service : document.core.services) {
    RC_ASSERT(services.insert(service.id.value()).second);
    RC_ASSERT(service.queue_limit >= 0);
    RC_ASSERT(service.models.empty() ==
              (service.kind == inventory::ServiceKind::kPlain));
  }
  for (const inventory::Backend& backend : document.core.backends) {
    RC_ASSERT(zones.count(backend.zone.value()) == 1);
    RC_ASSERT(services.count(backend.service.value()) == 1);
    RC_ASSERT(backend.address.port > 0 && backend.slots > 0);
  }
  for (const inventory::Account& account : document.accounts) {
    RC_ASSERT(!account.id.empty() && account.weight >= 1);
    RC_ASSERT(account.id.value().find_first_of("/. \"") == std::string::npos);
    for (const inventory::Budget& budget : account.budgets)
      RC_ASSERT(budget.granted >= 0 && !budget.name.empty());
  }
  RC_ASSERT(document.core.rules.retry_budget_percent <= 100);
}

// Checks that splitting and joining does not change the document.
void RequireRoundTrip(const inventory::Document& document) {
  const inventory::Parts parts = inventory::SplitParts(document);
  const auto joined = inventory::JoinParts(parts);
  RC_ASSERT(base::IsOk(joined));
  RC_ASSERT(inventory::Diff(document, base::ValueOf(joined)).empty());
  RC_ASSERT(inventory::SplitParts(base::ValueOf(joined)) == parts);
}

template <class T>
void RequireBadInventory(const base::Result<T>& result) {
  RC_ASSERT(base::ErrorOf(result).code == base::Code::kBadInventory);
  RC_ASSERT(!base::ErrorOf(result).detail.empty());
}

void CheckMutatedFiles(std::uint64_t seed) {
  tests::Mutator mutator(seed);
  const std::string valid = inventory::ExampleInventory().dump();
  for (int i = 0; i < kInputsPerCase; ++i) {
    const bool mutate_rules = mutator.RandomBelow(4) == 0;
    const auto parsed = inventory::ParseInventory(
        mutate_rules ? valid : mutator.Mutate(valid),
        mutate_rules ? mutator.Mutate(kRules) : std::string(kRules));
    if (!base::IsOk(parsed)) {
      RequireBadInventory(parsed);
      continue;
    }
    RequireValid(base::ValueOf(parsed));
    RequireRoundTrip(base::ValueOf(parsed));
  }
}

void CheckMutatedParts(std::uint64_t seed) {
  tests::Mutator mutator(seed);
  const inventory::Parts valid = inventory::SplitParts(base::ValueOf(
      inventory::ParseInventory(inventory::ExampleInventory().dump(), kRules)));
  for (int i = 0; i < kInputsPerCase; ++i) {
    inventory::Parts parts = valid;
    auto mutated = parts.begin();
    std::advance(mutated, mutator.RandomBelow(parts.size()));
    mutated->second = mutator.Mutate(mutated->second);
    const auto joined = inventory::JoinParts(parts);
    if (base::IsOk(joined))
      RequireValid(base::ValueOf(joined));
    else
      RequireBadInventory(joined);
  }
}

void CheckMutatedHeads(std::uint64_t seed) {
  tests::Mutator mutator(seed);
  inventory::Head head;
  head.version = 7;
  head.parts["core"] = std::string(64, 'a');
  head.author = "anna";
  const std::string valid = inventory::ToJson(head);
  for (int i = 0; i < kInputsPerCase; ++i) {
    const auto parsed = inventory::ParseHead(mutator.Mutate(valid));
    if (!base::IsOk(parsed)) {
      RequireBadInventory(parsed);
      continue;
    }
    RC_ASSERT(!base::ValueOf(parsed).parts.empty());
    for (const auto& [name, sha256] : base::ValueOf(parsed).parts)
      RC_ASSERT(sha256.size() == 64U);
  }
}

}  // namespace

TEST_CASE("Mutated input is rejected with a reason or gives a valid document",
          "[property]") {
  CHECK(rc::check("operators' files", CheckMutatedFiles));
  CHECK(rc::check("stored parts", CheckMutatedParts));
  CHECK(rc::check("stored heads", CheckMutatedHeads));
}
