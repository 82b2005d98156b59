#ifndef TESTS_UNIT_INVENTORY_EXAMPLE_H_
#define TESTS_UNIT_INVENTORY_EXAMPLE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace dandelionmill::inventory {

// Returns a small valid inventory that tests can modify.
inline nlohmann::json ExampleInventory() {
  return nlohmann::json::parse(R"({
    "regions":[{"id":"gwynedd","zones":["gwynedd-a","gwynedd-b"]},
               {"id":"powys","zones":["powys-a"]}],
    "services":[{"id":"assay-llm","kind":"model",
                 "models":[{"id":"ochre-8b","version":"1"}]},
                {"id":"ledger","kind":"plain",
                 "non_idempotent_paths":["/payouts"]}],
    "backends":[{"id":"gw-a-1","service":"assay-llm","zone":"gwynedd-a",
                 "address":"127.0.0.1:18001","slots":8},
                {"id":"gw-a-l","service":"ledger","zone":"gwynedd-a",
                 "address":"127.0.0.1:18002"}],
    "accounts":[{"id":"pigments","key_sha256":[
                   "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"],
                 "budgets":[{"name":"default","granted":1000000}]},
                {"id":"assay","budgets":[{"name":"default","granted":5},
                                         {"name":"night","granted":7}]}]})");
}

}  // namespace dandelionmill::inventory

#endif  // TESTS_UNIT_INVENTORY_EXAMPLE_H_
