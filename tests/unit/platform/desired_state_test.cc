#include "dandelionmill/platform/desired_state.h"

#include <catch2/catch.hpp>

using dandelionmill::base::AccountId;
using dandelionmill::base::ServiceId;
namespace base = dandelionmill::base;
namespace gateway = dandelionmill::gateway;
using dandelionmill::platform::DecodeDesiredState;

namespace {

const char kExample[] = R"({"version":7,"routes":[
 {"name":"r1","host":"a.example","prefix":"/x/","kind":"streaming",
  "timeoutMs":15000,"targetLatencyMs":800,"priority":1,"attempts":2,
  "trafficSplit":[{"service":"m","weight":90},{"service":"n","weight":10}],
  "public":false,"resumable":true,"targetGapMs":400,"unknown":[1]},
 {"name":"r2","host":"a.example","prefix":"/y/","kind":"unsafe",
  "timeoutMs":2000,"service":"n","attempts":1,"public":true}],
 "services":[{"name":"m","healthPath":"/health","connectionLimit":630,
  "coldStartS":3,"coldPerS":14.5,
  "engine":{"slots":128,"kvCacheTokens":759962,"stride":5}},{"name":"n"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["k"],"priority":1,"prepaid":8631215},
  {"name":"u","apiKeys":[]}]})";

}  // namespace

TEST_CASE("A desired state is decoded into a fleet configuration",
          "[platform]") {
  const auto decoded = DecodeDesiredState(kExample);
  REQUIRE(base::IsOk(decoded));
  const gateway::FleetConfig& config = *base::ValueOf(decoded);
  CHECK(config.version() == 7);
  REQUIRE(config.routes().size() == 2);
  const gateway::Route& stream = config.routes()[0];
  CHECK(stream.kind == gateway::RequestKind::kResumableStream);
  CHECK(stream.timeout == std::chrono::milliseconds(15000));
  CHECK(stream.latency_objective == std::chrono::milliseconds(800));
  CHECK(stream.event_gap_objective == std::chrono::milliseconds(400));
  CHECK(stream.max_attempts == 2);
  REQUIRE(stream.services.size() == 2);
  CHECK(stream.services[0].weight == 90);
  CHECK(config.routes()[1].kind == gateway::RequestKind::kNonIdempotent);
  CHECK(config.routes()[1].is_public);
  const gateway::Service* service = config.FindService(ServiceId("m"));
  REQUIRE(service != nullptr);
  REQUIRE(service->engine);
  CHECK(service->engine->tokens_per_event == 5);
  CHECK(service->max_connections == 630);
  CHECK(service->cold_start == std::chrono::milliseconds(3000));
  CHECK(service->cold_requests_per_s == 14.5);
  CHECK(config.FindService(ServiceId("n"))->cold_requests_per_s == 0);
  REQUIRE(config.FindAccountByKey("k") != nullptr);
  CHECK(config.FindAccountByKey("k")->prepaid == base::Tokens{8631215});
  CHECK_FALSE(config.FindAccount(AccountId("u"))->prepaid);
  CHECK(config.limits().max_header_bytes == 16384);
}

TEST_CASE("Streams that are not resumable and unknown kinds may not run again",
          "[platform]") {
  const auto decoded = DecodeDesiredState(
      R"({"version":1,"routes":[{"host":"h","prefix":"/","kind":"streaming",
          "service":"m"},{"host":"h","prefix":"/a/","kind":"new kind",
          "service":"m"}]})");
  REQUIRE(base::IsOk(decoded));
  for (const gateway::Route& route : base::ValueOf(decoded)->routes())
    CHECK_FALSE(gateway::IsRetryable(route.kind));
}

TEST_CASE("An invalid desired state is rejected with the name of the field",
          "[platform]") {
  const auto error_detail = [](const std::string& text) {
    const auto decoded = DecodeDesiredState(text);
    REQUIRE_FALSE(base::IsOk(decoded));
    CHECK(base::ErrorOf(decoded).code == base::Code::kBadInventory);
    return base::ErrorOf(decoded).detail;
  };
  CHECK_THAT(error_detail("nonsense"), Catch::Contains("JSON"));
  CHECK_THAT(error_detail(R"({"routes":[]})"), Catch::Contains("version"));
  CHECK_THAT(error_detail(R"({"version":1,"routes":[{"prefix":"/"}]})"),
             Catch::Contains("host"));
  CHECK_THAT(error_detail(R"({"version":1,"routes":3})"),
             Catch::Contains("routes"));
  CHECK_THAT(error_detail(R"({"version":1,"services":[{"name":3}]})"),
             Catch::Contains("name"));
  for (const char* value : {"-1", "\"14\"", "1e300"}) {
    INFO(value);
    CHECK_THAT(
        error_detail(R"({"version":1,"services":[{"name":"m","coldPerS":)" +
                     std::string(value) + "}]}"),
        Catch::Contains("coldPerS"));
  }
}

// Guards against home regions that are lost or invented by the decoder.
TEST_CASE("Home regions of routes and accounts are decoded", "[platform]") {
  const auto decoded = DecodeDesiredState(R"({"version":1,"routes":[
    {"host":"h","prefix":"/a/","kind":"safe","service":"m",
     "homeRegions":["west","east"]},
    {"host":"h","prefix":"/b/","kind":"safe","service":"m",
     "homeRegions":null}],
    "tenants":[{"name":"t","homeRegions":["east","west"]},
               {"name":"u","homeRegions":[]},{"name":"v"}]})");
  REQUIRE(base::IsOk(decoded));
  const gateway::FleetConfig& config = *base::ValueOf(decoded);
  CHECK(config.has_home_regions());
  REQUIRE(config.routes()[0].home_regions);
  CHECK(config.routes()[0].home_regions->size() == 2);
  CHECK(config.routes()[1].home_regions == nullptr);
  REQUIRE(config.accounts()[0].home_regions);
  CHECK(*config.accounts()[0].home_regions == *config.routes()[0].home_regions);
  CHECK(config.accounts()[1].home_regions == nullptr);
  CHECK(config.accounts()[2].home_regions == nullptr);
}

// Guards against a constraint that is ignored since its field is misspelt.
TEST_CASE("Home regions of another type are rejected with their owner",
          "[platform]") {
  for (const char* wrong : {R"("east")", "3", R"(["east",3])", "{}", "true"}) {
    const auto decoded = DecodeDesiredState(
        std::string(R"({"version":1,"tenants":[{"name":"t","homeRegions":)") +
        wrong + "}]}");
    REQUIRE_FALSE(base::IsOk(decoded));
    CHECK_THAT(base::ErrorOf(decoded).detail,
               Catch::Contains("homeRegions") && Catch::Contains("account t"));
  }
}

// Guards against an evacuation that is missed, or invented, by its row.
TEST_CASE("Rows that evacuate a zone are told from others and from wrong ones",
          "[platform]") {
  using dandelionmill::scheduling::EvacuationRow;
  const auto decode = [](const std::string& key, const std::string& value,
                         bool deleted = false) {
    return dandelionmill::platform::DecodeEvacuationRow(
        {{"op", "", key}, value, 7, deleted});
  };
  CHECK_FALSE(decode("config", "{}"));
  CHECK_FALSE(decode("evacuated", "{}"));
  const auto present = decode("evacuate/north/1", R"({"by":"me"})");
  REQUIRE(present);
  CHECK(present->zone == base::ZoneId("north/1"));
  CHECK(present->version == 7);
  CHECK(std::holds_alternative<EvacuationRow::Present>(present->state));
  CHECK(std::holds_alternative<EvacuationRow::Removed>(
      decode("evacuate/north", "", true)->state));
  for (const char* wrong : {"", "[]", "null", "true", "{"}) {
    CHECK(std::holds_alternative<EvacuationRow::Malformed>(
        decode("evacuate/north", wrong)->state));
  }
}
