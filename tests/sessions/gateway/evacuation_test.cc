#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <set>

#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

namespace asio = boost::asio;

constexpr int kMetricsPort = kCallerPort + 3;
constexpr int kRelayPort = 28250;
constexpr int kUnreachablePort = 28260;
constexpr int kRequests = 10;
constexpr milliseconds kSettleTime{300};

Answer WholeAnswer(const Request& request) {
  return ScriptedEngine::CompleteAnswer(request, 200, "answer");
}

// A gateway with one backend server in each of the zones "north" and "south".
class EvacuationFixture : public GatewayFixture {
 public:
  EvacuationFixture()
      : north(AddEngine("north", WholeAnswer)),
        south(AddEngine("south", WholeAnswer, "v1", "south")) {}

  void Evacuate(const std::string& zone, const json& value = json::object()) {
    store.Put("op", "evacuate/" + zone, value);
    std::this_thread::sleep_for(kSettleTime);
  }
  // Returns the statuses of kRequests requests.
  std::set<int> SendSome() {
    std::set<int> statuses;
    for (int i = 0; i < kRequests; ++i)
      statuses.insert(Send("/once/x").status);
    return statuses;
  }

  ScriptedEngine& north;
  ScriptedEngine& south;
};

// An instance of the fleet that takes its time to relay a connection, and
// counts what it then receives.
class SlowRelay {
 public:
  explicit SlowRelay(milliseconds delay)
      : delay_(delay),
        acceptor_(loop_, {asio::ip::make_address("127.0.0.1"), kRelayPort}),
        thread_([this] { Run(); }) {}
  ~SlowRelay() {
    is_stopped_ = true;
    asio::io_context loop;
    asio::ip::tcp::socket wake(loop);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }

  std::atomic<int> connections{0};
  std::atomic<std::size_t> request_bytes{0};

 private:
  void Run() {
    while (true) {
      asio::ip::tcp::socket socket(loop_);
      acceptor_.accept(socket);
      if (is_stopped_)
        return;
      ++connections;
      std::string head;
      boost::system::error_code error;
      asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
      std::this_thread::sleep_for(delay_);
      asio::write(socket, asio::buffer("HTTP/1.1 200 connected\r\n\r\n", 26),
                  error);
      std::string request;
      request_bytes += asio::read_until(socket, asio::dynamic_buffer(request),
                                        "\r\n\r\n", error);
    }
  }

  const milliseconds delay_;
  std::atomic<bool> is_stopped_{false};
  asio::io_context loop_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace

// Guards against requests to a zone that the operator evacuates, against
// refusals while others can serve them, and against a lasting evacuation.
TEST_CASE("The backend servers of an evacuated zone receive no requests",
          "[gateway][evacuation]") {
  EvacuationFixture fixture;
  SECTION("the others serve them until the row is removed") {
    fixture.Evacuate("north");
    CHECK(fixture.SendSome() == std::set<int>{200});
    CHECK(fixture.north.requests().empty());
    fixture.store.Delete("op", "evacuate/north");
    fixture.Evacuate("south");
    CHECK(fixture.SendSome() == std::set<int>{200});
    CHECK(fixture.north.requests().size() == kRequests);
  }
  SECTION("nothing is sent if all zones are evacuated") {
    fixture.Evacuate("north");
    fixture.Evacuate("south");
    const Received received = fixture.Send("/once/x");
    CHECK(received.status == 503);
    CHECK(json::parse(received.body)["ran"] == "no");
    CHECK(received.fields.count("Retry-After") == 1);
    CHECK(fixture.north.requests().empty());
    CHECK(fixture.south.requests().empty());
  }
  SECTION("a row with a wrong value has no effect") {
    fixture.Evacuate("south");
    fixture.Evacuate("north", 1);
    CHECK(fixture.SendSome() == std::set<int>{200});
  }
}

// Guards against an evacuation that ends since the store is unreachable, or
// since it was restored from a copy without the row.
TEST_CASE("An evacuation outlasts an outage and a restore of the store",
          "[gateway][evacuation]") {
  EvacuationFixture fixture;
  fixture.store.TakeCopy();
  fixture.Evacuate("north");
  fixture.store.SetDown(true);
  std::this_thread::sleep_for(kSettleTime);
  CHECK(fixture.SendSome() == std::set<int>{200});
  fixture.store.Restore();
  fixture.store.SetDown(false);
  std::this_thread::sleep_for(milliseconds(1500));
  CHECK(fixture.SendSome() == std::set<int>{200});
  CHECK(fixture.north.requests().empty());
}

// Guards against streams that are cut off by an evacuation, and that an
// operator cannot see.
TEST_CASE("A stream that runs in an evacuated zone is completed there",
          "[gateway][evacuation]") {
  EvacuationFixture fixture;
  fixture.Evacuate("south");
  fixture.north.SetScript([](const Request& request) {
    Answer answer{{{ScriptedEngine::StreamHead(request)}}};
    for (int id = 1; id <= 6; ++id)
      answer.steps.push_back(
          {ScriptedEngine::EventChunk(id), milliseconds(100)});
    answer.steps.push_back({ScriptedEngine::StreamEnd()});
    return answer;
  });
  Received received;
  std::thread caller([&] { received = fixture.Send("/single/x"); });
  fixture.WaitUntil([&] { return fixture.north.requests().size() == 1; });
  fixture.store.Put("op", "evacuate/north", json::object());
  std::this_thread::sleep_for(kSettleTime);
  httplib::Client operator_client("127.0.0.1", kMetricsPort);
  const auto dump = operator_client.Get("/dump");
  const auto metrics = operator_client.Get("/metrics");
  caller.join();
  REQUIRE(dump);
  const json evacuation = json::parse(dump->body)["evacuations"][0];
  CHECK(evacuation["zone"] == "north");
  CHECK(evacuation["in_flight"] == 1);
  REQUIRE(metrics);
  CHECK_THAT(metrics->body, Catch::Contains("dandelion_evacuated_zones 2"));
  CHECK(received.status == 200);
  CHECK_FALSE(received.is_cut);
  CHECK(fixture.Send("/once/x").status == 503);
}

// Guards against a request that is sent on a connection that was begun before
// its zone was evacuated, or before its home regions changed.
TEST_CASE("A request is not sent on a connection that came too late",
          "[gateway][evacuation][home_regions]") {
  GatewayFixture fixture;
  for (int i = 0; i < 3; ++i) {
    RegisterEngine(fixture.store, "e" + std::to_string(i),
                   kUnreachablePort + i);
  }
  // Until the instance knows that it is partitioned.
  const auto end = std::chrono::steady_clock::now() + milliseconds(3000);
  while (std::chrono::steady_clock::now() < end) {
    fixture.Send("/once/x");
    std::this_thread::sleep_for(milliseconds(20));
  }
  SlowRelay relay(milliseconds(300));
  fixture.store.Put("instances", "front-2",
                    {{"process", "front-2/1"},
                     {"peer", "127.0.0.1:" + std::to_string(kRelayPort)},
                     {"zone", "north"},
                     {"config", 1}});
  Received received;
  std::thread caller([&] {
    while (relay.connections == 0)
      received = fixture.Send("/once/x");
  });
  fixture.WaitUntil([&] { return relay.connections > 0; });
  SECTION("the zone is evacuated") {
    fixture.store.Put("op", "evacuate/north", json::object());
  }
  SECTION("the home regions are others") {
    json state = DesiredState(2);
    state["tenants"][0]["homeRegions"] = {"abroad"};
    fixture.store.Put("op", "config", state);
  }
  caller.join();
  CHECK(received.status == 503);
  CHECK(json::parse(received.body)["ran"] == "no");
  CHECK(relay.request_bytes == 0);
}

}  // namespace gateway_test
