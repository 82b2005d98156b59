#include <atomic>

#include "tests/unit/router_process/fixture.h"

namespace wire = dandelionmill::wire;
using dandelionmill::router::CallerResponse;
using dandelionmill::router::Fleet;
using dandelionmill::router::kEnginePort;
using dandelionmill::router::kLinkPort;

namespace {

// Waits for a settlement and returns it; fails unless it is the only one.
wire::Settle OnlySettlement(Fleet& fleet) {
  REQUIRE(fleet.control().WaitForSettlements(1));
  const auto settlements = fleet.control().settlements();
  REQUIRE(settlements.size() == 1);
  return settlements[0];
}

}  // namespace

TEST_CASE("A caller receives the complete answer to its request", "[router]") {
  Fleet fleet;

  SECTION("as a stream, charged once with the actual use") {
    const std::string body = Fleet::Body("which red is this?", 40);
    const CallerResponse response =
        Fleet::Chat(body, {{"Idempotency-Key", "k-1"}});
    CHECK(response.status == 200);
    CHECK(response.done);
    CHECK(response.text == Fleet::Answer(body));
    CHECK(Fleet::Header(response, "Idempotency-Key") == "k-1");
    CHECK(Fleet::Header(response, "X-Request-Ran") == "yes");
    const wire::Settle settle = OnlySettlement(fleet);
    CHECK(settle.outcome() == wire::OUTCOME_COMPLETED);
    CHECK(settle.request_key() == "k-1");
    CHECK(settle.backend() == "gw-a-1");
    CHECK(settle.completion_tokens() == 40);
    CHECK(settle.prompt_tokens() == 5 + 4);
  }

  SECTION("as one JSON document") {
    const std::string body = Fleet::Body("which red is this?", 12, false);
    const CallerResponse response = Fleet::Chat(body);
    CHECK(response.status == 200);
    const auto json = nlohmann::json::parse(response.body);
    CHECK(json["choices"][0]["message"]["content"] == Fleet::Answer(body));
    CHECK(json["choices"][0]["finish_reason"] == "stop");
    CHECK(json["usage"]["completion_tokens"] == 12);
    CHECK_FALSE(Fleet::Header(response, "Idempotency-Key").empty());
  }

  SECTION("if every connection breaks after three events") {
    Fleet::SetFaults(kEnginePort + 1, {{"break_streams_after", 3}});
    const std::string body = Fleet::Body("how deep is the vein?", 20);
    const CallerResponse response = Fleet::Chat(body);
    CHECK(response.done);
    CHECK(response.text == Fleet::Answer(body));
    CHECK(OnlySettlement(fleet).completion_tokens() == 20);
  }

  SECTION("if one event in five is lost") {
    Fleet::SetFaults(kEnginePort + 1, {{"drop_events_percent", 20}});
    const std::string body = Fleet::Body("how much for a kilo?", 30);
    const CallerResponse response = Fleet::Chat(body);
    CHECK(response.done);
    CHECK(response.text == Fleet::Answer(body));
  }

  SECTION("if the connection becomes silent during the stream") {
    const std::string body = Fleet::Body("is it in stock?", 200);
    std::thread silencer([] {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      Fleet::SetFaults(kLinkPort + 1, {{"silent", true}});
    });
    const CallerResponse response = Fleet::Chat(body);
    silencer.join();
    CHECK(response.done);
    CHECK(response.text == Fleet::Answer(body));
    CHECK(OnlySettlement(fleet).completion_tokens() == 200);
    CHECK(Fleet::Metric("dandelion_router_silent_moves_total") == 1);
    CHECK(Fleet::Records(kEnginePort + 1)["attempts"].size() == 1);
  }
}

TEST_CASE("A retry is answered from the running attempt", "[router]") {
  Fleet fleet;
  const std::string body = Fleet::Body("certificate for No. 7", 60);
  std::atomic<bool> attach{false};
  std::string attempt;
  std::string holder;
  fleet.control().SetDecide([&](const wire::ReserveRequest& request)
                                -> std::unique_ptr<wire::ReserveReply> {
    auto reply = std::make_unique<wire::ReserveReply>();
    if (!attach) {
      reply->mutable_grant()->set_attempt("first");
      reply->mutable_grant()->set_holder("fake-1/one");
      reply->mutable_grant()->set_tokens(request.prompt_bound() +
                                         request.output_cap());
    } else {
      reply->mutable_attach()->set_attempt("first");
      reply->mutable_attach()->set_holder("fake-1/one");
      reply->mutable_attach()->set_backend("gw-a-1");
    }
    return reply;
  });
  CallerResponse first;
  std::thread caller([&] {
    first = Fleet::Chat(body, {{"Idempotency-Key", "k"}});
  });
  while (Fleet::Records(kEnginePort + 1)["attempts"].empty())
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  attach = true;
  const CallerResponse second = Fleet::Chat(body, {{"Idempotency-Key", "k"}});
  caller.join();
  CHECK(first.text == Fleet::Answer(body));
  CHECK(second.text == Fleet::Answer(body));
  CHECK(second.done);
  CHECK(Fleet::Records(kEnginePort + 1)["attempts"].size() == 1);
}

TEST_CASE("The attempt is cancelled after its caller disconnects", "[router]") {
  Fleet fleet;
  const std::string body = Fleet::Body("a long story", 400);
  auto client = Fleet::MakeClient();
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = {{"Authorization", "Bearer pigments.secret"}};
  request.body = body;
  request.content_receiver = [](const char*, std::size_t, std::uint64_t,
                                std::uint64_t) { return false; };
  CHECK_FALSE(client.send(request));
  const wire::Settle settle = OnlySettlement(fleet);
  CHECK(settle.outcome() == wire::OUTCOME_CANCELLED);
  // The engine applies the cancellation at its next step.
  auto record = Fleet::Records(kEnginePort + 1)["attempts"][0];
  while (record["state"] == "running")
    record = Fleet::Records(kEnginePort + 1)["attempts"][0];
  CHECK(record["state"] == "cancelled");
  CHECK(record["completion_tokens"] == settle.completion_tokens());
  CHECK(settle.completion_tokens() < 400);
}

TEST_CASE("An answer that exceeds its deadline ends with an error",
          "[router]") {
  Fleet fleet;
  const CallerResponse response =
      Fleet::Chat(Fleet::Body("slow", 500), {{"X-Deadline-Ms", "400"}});
  CHECK(response.status == 200);
  CHECK_FALSE(response.done);
  CHECK(response.error["code"] == 207);
  CHECK(response.error["ran"] == "yes");
  CHECK(OnlySettlement(fleet).outcome() == wire::OUTCOME_CANCELLED);
}
