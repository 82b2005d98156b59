#include "dandelionmill/platform/engine_entry.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using dandelionmill::platform::DecodeEngineEntry;
namespace base = dandelionmill::base;
using nlohmann::json;

namespace {

json ValidEntry() {
  return {{"service", "m"},       {"address", "10.128.0.9:8080"},
          {"zone", "north-a"},    {"version", "v1"},
          {"slots", 128},         {"state", "ready"},
          {"coldRemainingMs", 0}, {"sequence", 4},
          {"born", 1764823000123}};
}

}  // namespace

TEST_CASE("A registry entry is decoded", "[platform]") {
  const auto decoded = DecodeEngineEntry("i-1", ValidEntry().dump());
  REQUIRE(base::IsOk(decoded));
  const auto& entry = base::ValueOf(decoded);
  CHECK(entry.id == base::BackendId("i-1"));
  CHECK(entry.address.port == 8080);
  CHECK(entry.slots == 128);
  CHECK_FALSE(entry.draining);
  CHECK(entry.incarnation == 1764823000123);
}

TEST_CASE("The remaining warm-up of a registry entry is never negative",
          "[platform]") {
  json entry = ValidEntry();
  for (const auto& [value, expected] :
       {std::pair(2500.0, 2500), {-3.0, 0}, {1e300, 86400000}}) {
    entry["coldRemainingMs"] = value;
    CHECK(base::ValueOf(DecodeEngineEntry("i-1", entry.dump()))
              .remaining_warm_up == std::chrono::milliseconds(expected));
  }
}

TEST_CASE("The state \"draining\" marks a backend server as draining",
          "[platform]") {
  json entry = ValidEntry();
  entry["state"] = "draining";
  CHECK(base::ValueOf(DecodeEngineEntry("i-1", entry.dump())).draining);
}

TEST_CASE("A malformed registry entry is rejected", "[platform]") {
  for (const char* field : {"service", "address", "zone", "slots", "state"}) {
    json entry = ValidEntry();
    SECTION(std::string("without ") + field) {
      entry.erase(field);
    }
    SECTION(std::string("with a wrong type in ") + field) {
      entry[field] = json::array();
    }
    if (entry != ValidEntry())
      CHECK_FALSE(base::IsOk(DecodeEngineEntry("i-1", entry.dump())));
  }
  json entry = ValidEntry();
  entry["state"] = "asleep";
  CHECK_FALSE(base::IsOk(DecodeEngineEntry("i-1", entry.dump())));
  entry = ValidEntry();
  entry["address"] = "10.128.0.9";
  CHECK_FALSE(base::IsOk(DecodeEngineEntry("i-1", entry.dump())));
  entry = ValidEntry();
  entry["slots"] = 0;
  CHECK_FALSE(base::IsOk(DecodeEngineEntry("i-1", entry.dump())));
  entry = ValidEntry();
  entry["born"] = "yesterday";
  CHECK_FALSE(base::IsOk(DecodeEngineEntry("i-1", entry.dump())));
  CHECK_FALSE(base::IsOk(DecodeEngineEntry("i-1", "\xff\xfe")));
  CHECK_FALSE(base::IsOk(DecodeEngineEntry("", ValidEntry().dump())));
}
