#include <atomic>
#include <mutex>
#include <set>

#include "dandelionmill/net/http_server.h"
#include "tests/unit/router_process/fixture.h"

namespace net = dandelionmill::net;
namespace wire = dandelionmill::wire;
using dandelionmill::router::CallerResponse;
using dandelionmill::router::EngineEntry;
using dandelionmill::router::Fleet;
using dandelionmill::router::kHost;
using dandelionmill::router::kSparePort;

namespace {

constexpr int kTokens = 8;
constexpr int kTokensBeforeCrash = 3;

// Controls how the runs of a request behave.
struct EngineScript {
  // Number of runs started.
  std::atomic<int> runs{0};
  // Whether the second run produces the same tokens as the first.
  bool same_tokens = true;
  // Whether every run crashes, rather than only the first.
  bool always_crashes = false;
};

std::string Event(int id, const std::string& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

std::string Chunk(const std::string& text) {
  return R"({"choices":[{"index":0,"delta":{"content":")" + text +
         R"("},"finish_reason":null}],"tokens":1})";
}

// An engine that behaves as if it crashed in its first run and restarted
// immediately: the connection breaks and the attempt is unknown afterwards.
class CrashingEngine {
 public:
  CrashingEngine(int port, EngineScript& script)
      : script_(script), server_(Options(port)) {
    auto& routes = server_.routes();
    routes.Get("/v1/load", [](const httplib::Request&, httplib::Response& res) {
      res.set_content(R"({"running":0,"waiting":0,"slots":8})",
                      "application/json");
    });
    routes.Get("/v1/attempts/(.+)",
               [](const httplib::Request&, httplib::Response& res) {
                 res.status = 404;
               });
    routes.Post(
        "/v1/chat/completions",
        [this](const httplib::Request&, httplib::Response& res) { Run(res); });
    REQUIRE(dandelionmill::base::IsOk(server_.Start()));
  }

 private:
  static net::HttpServer::Options Options(int port) {
    net::HttpServer::Options options;
    options.bind = {kHost, port};
    return options;
  }

  void Run(httplib::Response& response) {
    const int run = ++script_.runs;
    const bool crashes = run == 1 || script_.always_crashes;
    const std::string word = run == 1 || script_.same_tokens ? "w" : "v";
    response.set_chunked_content_provider(
        "text/event-stream",
        [crashes, word](std::size_t, httplib::DataSink& sink) {
          std::string text =
              Event(1, R"({"object":"usage","prompt_tokens":3})");
          const int last = crashes ? kTokensBeforeCrash : kTokens;
          for (int i = 1; i <= last; ++i)
            text += Event(i + 1, Chunk(word + std::to_string(i)));
          if (!crashes)
            text += Event(last + 2, "[DONE]");
          sink.write(text.data(), text.size());
          if (crashes)
            return false;
          sink.done();
          return true;
        });
  }

  EngineScript& script_;
  net::HttpServer server_;
};

std::string ExpectedText() {
  std::string words;
  for (int i = 1; i <= kTokens; ++i)
    words += "w" + std::to_string(i);
  return words;
}

}  // namespace

TEST_CASE("A request whose backend server crashes during the answer",
          "[router]") {
  EngineScript script;
  CrashingEngine first(kSparePort, script);
  CrashingEngine second(kSparePort + 1, script);
  Fleet fleet(EngineEntry("e1", kSparePort) + "," +
              EngineEntry("e2", kSparePort + 1));

  SECTION("is rerun, and its caller receives one complete answer") {
    const CallerResponse response = Fleet::Chat(Fleet::Body("x", kTokens));
    CHECK(response.done);
    CHECK(response.text == ExpectedText());
    CHECK(script.runs == 2);
    REQUIRE(fleet.control().WaitForSettlements(2));
    int billed = 0;
    for (const wire::Settle& settle : fleet.control().settlements()) {
      if (settle.rerun_follows())
        continue;
      ++billed;
      CHECK(settle.outcome() == wire::OUTCOME_COMPLETED);
      CHECK(settle.completion_tokens() == kTokens);
    }
    CHECK(billed == 1);
    CHECK(fleet.control().reservations() == 2);
  }

  SECTION("ends with an error if the second run answers differently") {
    script.same_tokens = false;
    const CallerResponse response = Fleet::Chat(Fleet::Body("x", kTokens));
    CHECK_FALSE(response.done);
    CHECK(response.text == "w1w2w3");
    CHECK(response.error["code"] == 405);
    CHECK(response.error["ran"] == "yes");
  }

  SECTION("is refused after at most two runs if every run crashes") {
    script.always_crashes = true;
    const CallerResponse response = Fleet::Chat(Fleet::Body("x", kTokens));
    CHECK_FALSE(response.done);
    CHECK_FALSE(response.error.is_null());
    CHECK(script.runs <= 2);
  }

  SECTION("is not rerun if it is not idempotent") {
    const CallerResponse response =
        Fleet::Chat(Fleet::Body("x", kTokens), {{"X-Idempotent", "no"}});
    CHECK_FALSE(response.done);
    CHECK(script.runs == 1);
    CHECK(response.error["ran"] != "no");
    REQUIRE(fleet.control().WaitForSettlements(1));
    CHECK(fleet.control().settlements()[0].outcome() == wire::OUTCOME_UNKNOWN);
  }
}
