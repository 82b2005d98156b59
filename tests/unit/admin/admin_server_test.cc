#include "dandelionmill/admin/admin_server.h"

#include <httplib.h>

#include <catch2/catch.hpp>

using dandelionmill::admin::AdminServer;
using dandelionmill::base::IsOk;
using dandelionmill::metrics::Registry;

TEST_CASE("The admin server requires the key for state and commands",
          "[admin]") {
  Registry metrics;
  metrics.GetCounter("dandelion_example_total", "An example.").Add();
  AdminServer server({{"127.0.0.1", 19711}, "admin-secret"}, metrics);
  bool healthy = true;
  std::string received;
  server.SetHealth([&] { return healthy; });
  server.SetDump([] { return std::string(R"({"state":1})"); });
  server.Post("/drain", [&](const std::string& body) {
    received = body;
    return AdminServer::Response{202, "{}"};
  });
  REQUIRE(IsOk(server.Start()));
  httplib::Client client("127.0.0.1", 19711);

  SECTION("health and metrics require no key") {
    CHECK(client.Get("/healthz")->status == 200);
    healthy = false;
    CHECK(client.Get("/healthz")->status == 503);
    CHECK(client.Get("/metrics")->body.find("dandelion_example_total 1") !=
          std::string::npos);
  }
  SECTION("a dump without the right key is rejected") {
    CHECK(client.Get("/dump")->status == 401);
    client.set_bearer_token_auth("admin-secres");
    const auto answer = client.Get("/dump");
    CHECK(answer->status == 401);
    CHECK(answer->body.find("state") == std::string::npos);
  }
  SECTION("a command without the key is rejected and not run") {
    CHECK(client.Post("/drain", "now", "text/plain")->status == 401);
    CHECK(received.empty());
  }
  SECTION("with the key, dumps and commands succeed") {
    client.set_bearer_token_auth("admin-secret");
    CHECK(client.Get("/dump")->body == R"({"state":1})");
    CHECK(client.Post("/drain", "now", "text/plain")->status == 202);
    CHECK(received == "now");
  }
}
