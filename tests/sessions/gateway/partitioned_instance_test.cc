#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <mutex>
#include <vector>

#include "tests/sessions/gateway/gateway_fixture.h"

namespace gateway_test {
namespace {

constexpr int kNeighborStorePort = 28200;
constexpr int kNeighborPort = 28201;
constexpr int kUnreachablePort = 28210;
constexpr int kUnreachableByBothPort = 28220;

// Time in which an instance must have noticed that it is cut off.
constexpr milliseconds kSettleTime{3000};

// A port on which connection attempts are never answered, as behind a
// partition: its queue of pending connections is full.
class SilentPort {
 public:
  explicit SilentPort(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto* name = reinterpret_cast<const sockaddr*>(&address);
    for (int& socket : sockets_)
      socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int reuse = 1;
    ::setsockopt(sockets_[0], SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    REQUIRE(::bind(sockets_[0], name, sizeof(address)) == 0);
    REQUIRE(::listen(sockets_[0], 0) == 0);
    // The last ones stay unanswered, as the test requires.
    for (std::size_t i = 1; i < sockets_.size(); ++i) {
      const bool is_pending =
          ::connect(sockets_[i], name, sizeof(address)) == 0 ||
          errno == EINPROGRESS;
      REQUIRE(is_pending);
    }
  }
  ~SilentPort() {
    for (const int socket : sockets_)
      ::close(socket);
  }

 private:
  // The listening socket and the connections that fill its queue.
  std::array<int, 4> sockets_;
};

// Returns a desired state with one more service, "other", and its route
// /other/ (not idempotent).
json StateWithOtherService() {
  json state = DesiredState(1);
  json route = state["routes"][1];
  route["name"] = "/other/";
  route["prefix"] = "/other/";
  route["service"] = "other";
  state["routes"].push_back(route);
  json service = state["services"][0];
  service["name"] = "other";
  state["services"].push_back(service);
  return state;
}

// An instance that is cut off from the backend servers, and its neighbor, which
// reaches them. Each reads its own copy of the registry: the addresses in that
// of the first lead nowhere.
class PartitionedFixture : public GatewayFixture {
 public:
  explicit PartitionedFixture(const json& state = DesiredState(1))
      : GatewayFixture(state), neighbor_store(kNeighborStorePort) {
    neighbor_store.Put("op", "config", state);
    neighbor_ = std::make_unique<RunningGateway>(
        NodeSettingsFor("front-2", kNeighborPort, kNeighborStorePort));
    WriteHeartbeat();
  }

  // Starts an engine that only the neighbor reaches. Connections of the
  // instance lead to kUnreachablePort and the ports after it, in the order of
  // the calls.
  ScriptedEngine& AddEngine(const std::string& id,
                            ScriptedEngine::Script script) {
    const int offset = static_cast<int>(engines.size());
    const int port = kFirstEnginePort + offset;
    engines[id] = std::make_unique<ScriptedEngine>(port, std::move(script));
    RegisterEngine(neighbor_store, id, port);
    RegisterEngine(store, id, kUnreachablePort + offset);
    return *engines[id];
  }

  // Registers backend servers of the service "other" that neither the instance
  // nor its neighbor reaches.
  void AddUnreachableBackendsOfOther() {
    for (int i = 0; i < 3; ++i) {
      const std::string id = "o" + std::to_string(i);
      const int port = kUnreachableByBothPort + i;
      for (auto* registry : {&store, &neighbor_store})
        RegisterEngine(*registry, id, port, "v1", "other");
    }
  }

  void KillNeighbor() { neighbor_.reset(); }

  // Sends requests to `target` until the instance should have noticed the
  // partition and know its neighbor.
  void Settle(const std::string& target) {
    const auto end = std::chrono::steady_clock::now() + kSettleTime;
    while (std::chrono::steady_clock::now() < end) {
      Send(target);
      std::this_thread::sleep_for(milliseconds(20));
    }
    WriteHeartbeat();
  }

  standins::platform::RowsServer neighbor_store;

 private:
  // The neighbor writes its heartbeats to its own store.
  void WriteHeartbeat() {
    store.Put("instances", "front-2",
              {{"process", "front-2/1"},
               {"peer", "127.0.0.1:" + std::to_string(kNeighborPort + 2)},
               {"zone", "north"},
               {"config", ++heartbeats_}});
  }

  std::unique_ptr<RunningGateway> neighbor_;
  int heartbeats_ = 0;
};

ScriptedEngine::Script Complete(const std::string& id) {
  return [id](const Request& request) {
    return ScriptedEngine::CompleteAnswer(request, 200, id);
  };
}

Answer WholeStream(const Request& request) {
  Answer answer{{{ScriptedEngine::StreamHead(request)}}};
  for (int id = 1; id <= 5; ++id)
    answer.steps.push_back({ScriptedEngine::EventChunk(id), milliseconds(20)});
  answer.steps.push_back({ScriptedEngine::StreamEnd()});
  return answer;
}

constexpr int kRequests = 40;

// Returns how many of kRequests are served.
int CountServed(GatewayFixture& fixture, const std::string& target) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const Received received = fixture.Send(target);
    if (received.status == 200 && !received.is_cut)
      ++served;
  }
  return served;
}

}  // namespace

// Guards against refusals at an instance that lost its links to all backend
// servers, while the instance next to it reaches them.
TEST_CASE(
    "An instance that reaches no backend server serves its callers through "
    "another instance",
    "[gateway][partition]") {
  PartitionedFixture fixture;

  SECTION("connections are refused") {
    for (const char* id : {"a", "b", "c"})
      fixture.AddEngine(id, Complete(id));
    fixture.Settle("/once/x");
    CHECK(CountServed(fixture, "/once/x") * 3 >= kRequests * 2);
  }
  SECTION("connections hang") {
    std::array<SilentPort, 3> ports{SilentPort(kUnreachablePort),
                                    SilentPort(kUnreachablePort + 1),
                                    SilentPort(kUnreachablePort + 2)};
    for (const char* id : {"a", "b", "c"})
      fixture.AddEngine(id, Complete(id));
    fixture.Settle("/once/x");
    CHECK(CountServed(fixture, "/once/x") * 3 >= kRequests * 2);
  }
  SECTION("streams are relayed as a whole") {
    for (const char* id : {"a", "b", "c"})
      fixture.AddEngine(id, WholeStream);
    fixture.Settle("/stream/x");
    CHECK(CountServed(fixture, "/stream/x") * 3 >= kRequests * 2);
  }
}

// Guards against a cold server that gets too many requests from instances that
// relay them without a look at its state.
TEST_CASE("An instance that relays requests keeps the bound of a cold server",
          "[gateway][partition]") {
  json state = DesiredState(1);
  state["services"][0]["coldStartS"] = 3;
  state["services"][0]["coldPerS"] = 4;
  constexpr std::ptrdiff_t kAllowedInSecond = 11;
  std::mutex mutex;
  std::vector<std::chrono::steady_clock::time_point> arrivals;
  PartitionedFixture fixture(state);
  for (const char* id : {"a", "b", "c"}) {
    fixture.AddEngine(id, [&, id](const Request& request) {
      const Answer answer = ScriptedEngine::CompleteAnswer(request, 200, id);
      if (request.target() == "/health")
        return ScriptedEngine::Cold(answer, milliseconds(60000));
      const std::lock_guard<std::mutex> lock(mutex);
      if (std::string(id) == "a")
        arrivals.push_back(std::chrono::steady_clock::now());
      return answer;
    });
  }
  for (int i = 0; i < 3; ++i)
    fixture.Settle("/once/x");
  const std::lock_guard<std::mutex> lock(mutex);
  CHECK_FALSE(arrivals.empty());
  for (const auto begin : arrivals) {
    const auto count =
        std::count_if(arrivals.begin(), arrivals.end(), [begin](auto at) {
          return at >= begin && at < begin + std::chrono::seconds(1);
        });
    CHECK(count <= kAllowedInSecond);
  }
}

// Guards against refusals for want of a relay, although the neighbor reaches
// the service: it had been asked for another service before, which it has lost
// too.
TEST_CASE(
    "A neighbor that cannot relay to one service is still asked to relay to "
    "another",
    "[gateway][partition]") {
  PartitionedFixture fixture(StateWithOtherService());
  for (const char* id : {"a", "b", "c"})
    fixture.AddEngine(id, Complete(id));
  fixture.AddUnreachableBackendsOfOther();
  // The neighbor learns from its own callers which service it has lost.
  for (int i = 0; i < 5; ++i)
    fixture.Send("/other/x", {}, "{}", kNeighborPort);
  fixture.Settle("/other/x");
  fixture.Settle("/once/x");

  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    CHECK(fixture.Send("/other/x").status == 503);
    if (fixture.Send("/once/x").status == 200)
      ++served;
  }
  CHECK(served * 3 >= kRequests * 2);
}

// Guards against sound prompt parts that are quarantined since an instance lost
// its links while requests with them were running.
TEST_CASE("Connections that are lost with the links are not counted as crashes",
          "[gateway][partition]") {
  PartitionedFixture fixture;
  // What the instance reaches at first: each answer begins, then its link is
  // lost.
  std::vector<std::unique_ptr<ScriptedEngine>> links;
  for (int i = 0; i < 3; ++i) {
    links.push_back(std::make_unique<ScriptedEngine>(
        kUnreachablePort + i, [](const Request& request) {
          return Answer{{{ScriptedEngine::StreamHead(request)}},
                        Answer::Then::kCrash};
        }));
  }
  for (const char* id : {"a", "b", "c"})
    fixture.AddEngine(id, WholeStream);
  std::this_thread::sleep_for(kSettleTime);
  const std::map<std::string, std::string> prompt = {
      {"Token-Count", "100,10"},
      {"Prompt-Prefix", "shared:50,own:50"},
      {"Model", "m"}};
  for (int i = 0; i < 3; ++i)
    fixture.Send("/stream/x", prompt);
  for (int i = 0; i < 5; ++i) {
    const Received received = fixture.Send("/stream/x", prompt);
    CHECK(received.status == 200);
    CHECK_FALSE(received.is_cut);
  }
}

// Guards against requests to a backend server that has said, in a response that
// was relayed for another instance, that it leaves or wants a pause.
TEST_CASE("An instance respects what the responses that it relays say",
          "[gateway][partition]") {
  PartitionedFixture fixture;
  ScriptedEngine& engine = fixture.AddEngine("a", Complete("a"));
  fixture.Settle("/once/x");
  REQUIRE(fixture.Send("/once/x").status == 200);

  SECTION("the backend server leaves") {
    engine.SetScript([](const Request& request) {
      return ScriptedEngine::Leaving(
          ScriptedEngine::CompleteAnswer(request, 200, "a"));
    });
    CHECK(fixture.Send("/once/x").status == 200);
  }
  SECTION("the backend server asks for a pause") {
    engine.SetScript([](const Request& request) {
      return ScriptedEngine::Unavailable(request, milliseconds(5000));
    });
    CHECK(fixture.Send("/once/x").status == 503);
  }
  const std::size_t reached = engine.requests().size();
  CHECK(fixture.Send("/once/x", {}, "{}", kNeighborPort).status == 503);
  CHECK(fixture.Send("/once/x").status == 503);
  CHECK(engine.requests().size() == reached);
}

// Guards against a truncated response that looks complete since the instance
// that relayed it was killed: its connection ends like that of a whole one.
TEST_CASE("A response is not complete when its relay was killed",
          "[gateway][partition]") {
  PartitionedFixture fixture;
  fixture.AddEngine("a", Complete("a"));
  fixture.Settle("/once/x");
  std::atomic<bool> has_begun = false;
  fixture.engines["a"]->SetScript([&has_begun](const Request& request) {
    std::string head = ScriptedEngine::StreamHead(request);
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    head.erase(head.find(chunked), chunked.size());
    Answer answer{{{head + "id: 1\ndata: e1\n\n"}}, Answer::Then::kClose};
    answer.steps.push_back({"id: 2\ndata: e2\n\n", milliseconds(1500)});
    has_begun = true;
    return answer;
  });
  std::thread killer([&] {
    fixture.WaitUntil([&has_begun] { return has_begun.load(); });
    std::this_thread::sleep_for(milliseconds(300));
    fixture.KillNeighbor();
  });
  const Received received = fixture.Send("/single/x");
  killer.join();
  CHECK(received.is_cut);
}

// Guards against a part of a response that looks whole: the backend server
// breaks the connection while the upload is on its way through the relay.
TEST_CASE("A relayed success that ends by a reset during its upload is broken",
          "[gateway][partition]") {
  json state = DesiredState(1);
  state["limits"]["maxBodyBytes"] = 32 << 20;
  PartitionedFixture fixture(state);
  ScriptedEngine& engine = fixture.AddEngine("a", Complete("a"));
  fixture.Settle("/once/x");
  engine.answers_before_body = true;
  using Then = Answer::Then;
  for (const Then then :
       {Then::kReset, Then::kEndOutputAndReset, Then::kEndOutput}) {
    for (const std::size_t size : {std::size_t{500'000}, std::size_t{2'000'000},
                                   std::size_t{24'000'000}}) {
      engine.SetScript([then](const Request& request) {
        return Answer{{{"HTTP/1.1 200 OK\r\nAttempt-Id: " +
                        std::string(request["Attempt-Id"]) +
                        "\r\nServer-Signature: proof\r\n"
                        "Connection: close\r\n\r\npart"},
                       {"", milliseconds(30)}},
                      then};
      });
      const std::size_t read = engine.requests().size();
      const Received received =
          fixture.Send("/once/x", {}, std::string(size, 'b'));
      INFO(static_cast<int>(then) << " with " << size << " bytes");
      // An engine that reads on after its response gets the whole body.
      CHECK(received.status == (then == Then::kEndOutput ? 200 : 502));
      if (then != Then::kEndOutput)
        continue;
      fixture.WaitUntil(
          [&engine, read] { return engine.requests().size() > read; });
      CHECK(engine.requests().back().body().size() == size);
    }
  }
}

// Guards against responses with an invalid status that are passed on, and whose
// fields the relay trusts.
TEST_CASE("A relayed response with an invalid status is a failed attempt",
          "[gateway][partition]") {
  PartitionedFixture fixture;
  ScriptedEngine& engine = fixture.AddEngine("a", Complete("a"));
  fixture.Settle("/once/x");
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    engine.SetScript([status](const Request& request) {
      Answer answer = ScriptedEngine::Leaving(Complete("a")(request));
      answer.steps[0].bytes.replace(9, 3, status);
      return answer;
    });
    INFO(status);
    CHECK(fixture.Send("/once/x").status == 502);
  }
  engine.SetScript(Complete("a"));
  CHECK(fixture.Send("/once/x", {}, "{}", kNeighborPort).status == 200);
}

}  // namespace gateway_test
