#include "tests/unit/router_process/fixture.h"

namespace wire = dandelionmill::wire;
using dandelionmill::router::CallerResponse;
using dandelionmill::router::Fleet;
using dandelionmill::router::kEnginePort;
using dandelionmill::router::kPlainPort;

namespace {

// Checks that `response` is a problem document with `code` and `ran`.
void CheckRefusal(const CallerResponse& response,
                  int code,
                  const std::string& ran) {
  CHECK(Fleet::Header(response, "Content-Type") == "application/problem+json");
  const auto json = nlohmann::json::parse(response.body);
  CHECK(json["code"] == code);
  CHECK(json["ran"] == ran);
  CHECK(json["status"] == response.status);
  CHECK(Fleet::Header(response, "X-Request-Ran") == ran);
}

}  // namespace

TEST_CASE("A router refuses requests that it cannot serve", "[router]") {
  Fleet fleet;

  SECTION("invalid input is refused with its code and nothing is run") {
    CheckRefusal(Fleet::Chat("{"), 201, "no");
    CheckRefusal(Fleet::Chat(std::string(70000, 'x')), 202, "no");
    CheckRefusal(
        Fleet::Chat(R"({"model":"umber","messages":[{"content":""}]})"), 204,
        "no");
    CheckRefusal(Fleet::Chat("{}", {{"X-Deadline-Ms", "soon"}}), 206, "no");
    CheckRefusal(Fleet::Post("/v1/services/none/x", ""), 205, "no");
    CheckRefusal(Fleet::Post("/v1/nothing", ""), 205, "no");
    CHECK(fleet.control().reservations() == 0);
  }

  SECTION("a request without a valid key is unauthorized") {
    auto client = Fleet::MakeClient();
    const auto result = client.Post("/v1/chat/completions", "{}", "text/plain");
    REQUIRE(result);
    CHECK(result->status == 401);
  }

  SECTION("a refusal by control is passed on with its code and retry delay") {
    fleet.control().SetDecide([](const wire::ReserveRequest&) {
      auto reply = std::make_unique<wire::ReserveReply>();
      reply->mutable_refusal()->set_code(301);
      reply->mutable_refusal()->set_ran("no");
      reply->mutable_refusal()->set_retry_after_ms(1500);
      return reply;
    });
    const CallerResponse response = Fleet::Chat(Fleet::Body("x", 5));
    CheckRefusal(response, 301, "no");
    CHECK(response.status == 402);
    CHECK(Fleet::Header(response, "Retry-After") == "2");
    CHECK(Fleet::Records(kEnginePort + 1)["attempts"].empty());
  }

  SECTION("during shutdown new requests are refused and running ones finish") {
    const std::string body = Fleet::Body("until the end", 100);
    CallerResponse running;
    std::thread caller([&] { running = Fleet::Chat(body); });
    while (Fleet::Records(kEnginePort + 1)["attempts"].empty())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    fleet.router().BeginDrain();
    auto client = Fleet::MakeClient();
    CHECK(client.Get("/healthz")->status == 503);
    const std::string late = Fleet::Body("lame duck", 5);
    CHECK(Fleet::Chat(late).text == Fleet::Answer(late));
    fleet.router().RefuseNewRequests();
    CheckRefusal(Fleet::Chat(late), 408, "no");
    caller.join();
    CHECK(running.done);
    CHECK(running.text == Fleet::Answer(body));
    while (!fleet.router().IsDrained())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    CHECK(fleet.control().settlements().size() == 2);
  }

  SECTION("a router is not drained until its settlements are acknowledged") {
    fleet.control().SetAcknowledges(false);
    CHECK(Fleet::Chat(Fleet::Body("x", 5)).done);
    REQUIRE(fleet.control().WaitForSettlements(1));
    CHECK_FALSE(fleet.router().IsDrained());
    fleet.control().SetAcknowledges(true);
    while (!fleet.router().IsDrained())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

TEST_CASE("Calls to plain services are routed", "[router]") {
  Fleet fleet;

  SECTION("the answer is passed on") {
    const CallerResponse response =
        Fleet::Post("/v1/services/ledger/deliveries?day=3", "load");
    CHECK(response.status == 200);
    CHECK(nlohmann::json::parse(response.body)["path"] == "/deliveries");
    CHECK(Fleet::Header(response, "X-Request-Ran") == "yes");
    REQUIRE(fleet.control().WaitForSettlements(1));
    CHECK(fleet.control().settlements()[0].prompt_tokens() == 3);
  }

  SECTION(
      "a non-idempotent call is not repeated after its backend server fails") {
    bool idempotent = true;
    fleet.control().SetDecide([&](const wire::ReserveRequest& request) {
      idempotent = request.idempotent();
      return std::unique_ptr<wire::ReserveReply>();
    });
    Fleet::SetFaults(kPlainPort + 1, {{"down", true}});
    const CallerResponse response =
        Fleet::Post("/v1/services/ledger/payouts", "100",
                    {{"Idempotency-Key", "payout-1"}});
    CHECK_FALSE(idempotent);
    CHECK(Fleet::Header(response, "X-Request-Ran") == "maybe");
    REQUIRE(fleet.control().WaitForSettlements(1));
    CHECK(fleet.control().settlements()[0].outcome() == wire::OUTCOME_UNKNOWN);
    CHECK(fleet.control().reservations() == 1);
  }
}
