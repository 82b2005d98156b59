#include "dandelionmill/gateway/fleet_config.h"

#include <catch2/catch.hpp>

using namespace dandelionmill::gateway;  // NOLINT(google-build-using-namespace)
using dandelionmill::base::AccountId;
using dandelionmill::base::ErrorOf;
using dandelionmill::base::IsOk;
using dandelionmill::base::RegionId;
using dandelionmill::base::ServiceId;
using dandelionmill::base::ZoneId;

namespace {

Route RouteTo(const std::string& host,
              const std::string& prefix,
              const std::string& service) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{ServiceId(service), 1}};
  return route;
}

FleetConfig Example() {
  Service service;
  service.id = ServiceId("model");
  ClientAccount account;
  account.id = AccountId("painters");
  account.api_keys = {"k1", "k2"};
  return FleetConfig(
      7,
      {RouteTo("a.example", "/", "all"), RouteTo("a.example", "/x/", "x"),
       RouteTo("a.example", "/x/y/", "xy"), RouteTo("b.example", "/x/", "b")},
      {service}, {account}, true, {});
}

std::string NameOf(const Route* route) {
  return route == nullptr ? "" : route->name;
}

}  // namespace

TEST_CASE("The route of the host with the longest matching prefix is chosen",
          "[gateway]") {
  const FleetConfig config = Example();
  CHECK(NameOf(config.FindRoute("a.example", "/x/y/z")) == "a.example/x/y/");
  CHECK(NameOf(config.FindRoute("a.example", "/x/?q=/x/y/")) == "a.example/x/");
  CHECK(NameOf(config.FindRoute("a.example", "/x")) == "a.example/");
  CHECK(NameOf(config.FindRoute("b.example", "/y/")).empty());
  CHECK(NameOf(config.FindRoute("c.example", "/x/")).empty());
}

TEST_CASE("An account is found by each of its API keys", "[gateway]") {
  const FleetConfig config = Example();
  REQUIRE(config.FindAccountByKey("k2") != nullptr);
  CHECK(config.FindAccountByKey("k2")->id == AccountId("painters"));
  CHECK(config.FindAccountByKey("k3") == nullptr);
}

TEST_CASE("Services receive requests in proportion to their weights",
          "[gateway]") {
  Route route = RouteTo("a.example", "/", "major");
  route.services = {{ServiceId("major"), 90},
                    {ServiceId("minor"), 10},
                    {ServiceId("none"), 0}};
  int major = 0;
  int none = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    major += PickService(route, i) == ServiceId("major") ? 1 : 0;
    none += PickService(route, i) == ServiceId("none") ? 1 : 0;
  }
  CHECK(major == 900);
  CHECK(none == 0);
}

TEST_CASE("Only idempotent requests and resumable streams may run again",
          "[gateway]") {
  CHECK(IsRetryable(RequestKind::kIdempotent));
  CHECK(IsRetryable(RequestKind::kResumableStream));
  CHECK_FALSE(IsRetryable(RequestKind::kNonIdempotent));
  CHECK_FALSE(IsRetryable(RequestKind::kStream));
}

// Guards against a configuration in force that names a region without zones, in
// which nothing can be served.
TEST_CASE("A home region that no zone belongs to is an error that names it",
          "[gateway]") {
  const dandelionmill::scheduling::ZoneRegions zones = {
      {ZoneId("e1"), RegionId("east")}};
  CHECK(IsOk(CheckHomeRegions(Example(), zones)));
  CHECK_FALSE(Example().has_home_regions());
  ClientAccount account;
  account.id = AccountId("painters");
  account.home_regions =
      dandelionmill::scheduling::MakeHomeRegions({RegionId("wset")});
  const FleetConfig config(1, {}, {}, {account}, true, {});
  CHECK(config.has_home_regions());
  const auto status = CheckHomeRegions(config, zones);
  REQUIRE_FALSE(IsOk(status));
  CHECK_THAT(ErrorOf(status).detail,
             Catch::Contains("account painters") && Catch::Contains("wset"));
}
