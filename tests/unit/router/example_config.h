#ifndef TESTS_UNIT_ROUTER_EXAMPLE_CONFIG_H_
#define TESTS_UNIT_ROUTER_EXAMPLE_CONFIG_H_

#include <memory>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/inventory/document.h"
#include "dandelionmill/inventory/inventory.h"
#include "dandelionmill/inventory/parts.h"
#include "dandelionmill/wire/config.pb.h"

namespace dandelionmill::router {

// Creates a configuration with one model service, one plain service and two
// accounts whose keys are "ACCOUNT.secret".
inline inventory::SnapshotPtr MakeExampleConfig() {
  inventory::Service model;
  model.id = base::ServiceId("assay-llm");
  inventory::Model ochre;
  ochre.id = base::ModelId("ochre-8b");
  ochre.version = "1";
  model.models = {ochre};
  inventory::Service plain;
  plain.id = base::ServiceId("ledger");
  plain.kind = inventory::ServiceKind::kPlain;
  plain.non_idempotent_paths = {"/payouts"};
  plain.default_deadline = std::chrono::milliseconds(10000);
  inventory::Core core;
  core.regions = {{base::RegionId("gwynedd"), {base::ZoneId("gwynedd-a")}}};
  core.services = {model, plain};
  inventory::Backend engine;
  engine.id = base::BackendId("gw-a-1");
  engine.service = model.id;
  engine.zone = base::ZoneId("gwynedd-a");
  engine.address = {"127.0.0.1", 26101};
  core.backends = {engine};
  std::vector<inventory::Account> accounts;
  for (const char* name : {"pigments", "assay"}) {
    inventory::Account account;
    account.id = base::AccountId(name);
    account.key_sha256 = {base::Sha256Hex(std::string(name) + ".secret")};
    account.budgets = {{"default", 1000, std::chrono::milliseconds(0)}};
    accounts.push_back(account);
  }
  return std::make_shared<const inventory::Snapshot>(1, core, accounts);
}

// Returns the example configuration; every call returns the same object.
inline inventory::SnapshotPtr ExampleConfig() {
  static const inventory::SnapshotPtr config = MakeExampleConfig();
  return config;
}

// Returns the example configuration as controls send it, with version 1.
inline wire::ConfigHead ExampleParts() {
  inventory::Document document{ExampleConfig()->core(), {}};
  for (const auto& [id, account] : ExampleConfig()->accounts())
    document.accounts.push_back(account);
  wire::ConfigHead head;
  head.set_version(1);
  for (const auto& [name, text] : inventory::SplitParts(document)) {
    wire::ConfigPart& part = *head.add_parts();
    part.set_name(name);
    part.set_sha256(base::Sha256Hex(text));
    part.set_content(text);
  }
  return head;
}

}  // namespace dandelionmill::router

#endif  // TESTS_UNIT_ROUTER_EXAMPLE_CONFIG_H_
