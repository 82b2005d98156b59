#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "dandelionmill/control/control_settings.h"
#include "dandelionmill/ctl/ctl_settings.h"
#include "tests/property/mutator.h"

namespace base = dandelionmill::base;
namespace settings = dandelionmill::settings;

namespace {

constexpr int kInputsPerCase = 300;

const char kControlJson[] =
    R"({"instance":"a1","zone":"a","region":"r","bus_address":"127.0.0.1:1000",)"
    R"("admin_address":"127.0.0.1:1001","admin_key":"k1","fleet_key":"k2",)"
    R"("platform_address":"127.0.0.1:1002","platform_key":"k3",)"
    R"("platform_timeout_ms":2000,"address_map":{"127.0.0.1:1":"127.0.0.1:2"},)"
    R"("seed_peers":["127.0.0.1:5"]})";
const char kCtlJson[] =
    R"({"platform_address":"127.0.0.1:1002","platform_key":"k3",)"
    R"("platform_timeout_ms":5000,"admin_addresses":["127.0.0.1:9"]})";

// Checks mutated settings against `schema`. Each input must be rejected with
// kBadSetting or have all integers within the ranges of the schema.
void CheckMutatedSettings(const settings::Schema& schema,
                          const std::string& valid_json,
                          std::uint64_t seed) {
  tests::Mutator mutator(seed);
  for (int i = 0; i < kInputsPerCase; ++i) {
    const auto checked = settings::Check(schema, mutator.Mutate(valid_json));
    if (!base::IsOk(checked)) {
      RC_ASSERT(base::ErrorOf(checked).code == base::Code::kBadSetting);
      RC_ASSERT(!base::ErrorOf(checked).detail.empty());
      continue;
    }
    for (const settings::Key& key : schema) {
      const auto* integer = std::get_if<settings::IntegerKey>(&key.type);
      if (integer == nullptr)
        continue;
      const std::int64_t value = base::ValueOf(checked).Integer(key.name);
      RC_ASSERT(value >= integer->minimum && value <= integer->maximum);
    }
  }
}

}  // namespace

TEST_CASE("Mutated settings are rejected or within their ranges",
          "[property]") {
  CHECK(rc::check("control", [](std::uint64_t seed) {
    CheckMutatedSettings(dandelionmill::control::ControlSchema(), kControlJson,
                         seed);
  }));
  CHECK(rc::check("ctl", [](std::uint64_t seed) {
    CheckMutatedSettings(dandelionmill::ctl::CtlSchema(), kCtlJson, seed);
  }));
}
