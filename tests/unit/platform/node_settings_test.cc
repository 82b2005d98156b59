#include "dandelionmill/platform/node_settings.h"

#include <catch2/catch.hpp>

using dandelionmill::platform::ParseNodeSettings;
namespace base = dandelionmill::base;

namespace {

const std::string kExample =
    "nodeName=front-1\nzone=north-a\nregion=north\nzones.north-a=north\n"
    "zones.south-a=south\nipAddress=10.1.0.40\n"
    "listen.frontend=10.1.0.40:8227\nlisten.ready=10.1.0.40:8220\n"
    "internalPortRange=7340,7355\nplatform.address=10.200.1.7:8223\n"
    "bounds.graceS=8\nbounds.drainMs=2500\n"
    "bounds.evacuationMs=4000\nbounds.retryBudgetRatio=0.2\n"
    "bounds.retryBudgetSlack=58\nbounds.budgetWindowS=10\n"
    "bounds.coldOvershoot=1.25\n"
    "limits.memoryMb=260\nsomething.new=1\n";

std::string Without(const std::string& key) {
  std::string text = kExample;
  const std::size_t at = text.find(key + "=");
  return text.erase(at, text.find('\n', at) + 1 - at);
}

}  // namespace

TEST_CASE("Node settings are parsed and unknown keys are ignored",
          "[platform]") {
  const auto parsed = ParseNodeSettings(kExample);
  REQUIRE(base::IsOk(parsed));
  const auto& settings = base::ValueOf(parsed);
  CHECK(settings.instance == base::InstanceId("front-1"));
  CHECK(settings.frontend_address.port == 8227);
  CHECK(settings.readiness.port == 8220);
  CHECK(settings.peer_address.host == "10.1.0.40");
  CHECK(settings.peer_address.port == 7340);
  CHECK(settings.store.port == 8223);
  CHECK(settings.shutdown_grace == std::chrono::milliseconds(8000));
  CHECK(settings.retry_reserve == 58);
  CHECK(settings.evacuation_bound == std::chrono::milliseconds(4000));
  CHECK(settings.cold_overshoot == 1.25);
  CHECK(settings.cold_slack == 5);
  CHECK(settings.peer_address.port == 7340);
  CHECK(settings.last_peer_port == 7355);
  CHECK(settings.regions.size() == 2);
}

TEST_CASE("A missing or invalid setting is rejected with its key",
          "[platform]") {
  for (const std::string key :
       {"nodeName", "zone", "listen.frontend", "listen.ready",
        "platform.address", "internalPortRange"}) {
    const auto parsed = ParseNodeSettings(Without(key));
    REQUIRE_FALSE(base::IsOk(parsed));
    CHECK_THAT(base::ErrorOf(parsed).detail, Catch::Contains(key));
  }
  for (const std::string line :
       {"bounds.graceS=long", "bounds.evacuationMs=5s",
        "bounds.retryBudgetRatio=7", "bounds.coldOvershoot=-1",
        "bounds.coldSlack=some", "listen.frontend=somewhere",
        "internalPortRange=x", "internalPortRange=7340,7339"}) {
    const std::string key = line.substr(0, line.find('='));
    const auto parsed = ParseNodeSettings(kExample + line + "\n");
    REQUIRE_FALSE(base::IsOk(parsed));
    CHECK_THAT(base::ErrorOf(parsed).detail, Catch::Contains(key));
  }
}
