#include <boost/asio/write.hpp>

#include "tests/sessions/gateway/gateway_fixture.h"

using namespace gateway_test;  // NOLINT(google-build-using-namespace)

namespace {

Answer WholeAnswer(const Request& request) {
  return ScriptedEngine::CompleteAnswer(request, 200, "answer");
}

const std::string kHead =
    "POST /once/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: x\r\n"
    "Authorization: Bearer secret\r\n";

const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

}  // namespace

TEST_CASE("A request that could hide another reaches no engine", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  const std::string inner =
      "POST /once/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: y\r\n"
      "Authorization: Bearer secret\r\nContent-Length: 0\r\n\r\n";
  std::string text;
  SECTION("by two framings") {
    text = kHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
           "0\r\n\r\n" + inner;
  }
  SECTION("by two lengths") {
    text = kHead + "Content-Length: 0\r\nContent-Length: " +
           std::to_string(inner.size()) + "\r\n\r\n" + inner;
  }
  SECTION("by an unknown coding") {
    text = kHead + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner;
  }
  SECTION("by two hosts") {
    text = kHead + "Host: b.example\r\nContent-Length: 0\r\n\r\n" + inner;
  }
  SECTION("by a space before the colon") {
    text = kHead + "Content-Length : " + std::to_string(inner.size()) +
           "\r\n\r\n" + inner;
  }
  CHECK_THAT(fleet.Exchange(text), Catch::StartsWith("HTTP/1.1 400"));
  CHECK(engine.requests().empty());
}

TEST_CASE("What is too long or too slow is refused", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  SECTION("header fields") {
    CHECK_THAT(
        fleet.Exchange(kHead + "X: " + std::string(20000, 'x') + "\r\n\r\n"),
        Catch::StartsWith("HTTP/1.1 431"));
  }
  SECTION("a body") {
    CHECK_THAT(fleet.Exchange(kHead + "Content-Length: 100001\r\n\r\n"),
               Catch::StartsWith("HTTP/1.1 413"));
  }
  SECTION("a head that does not end") {
    CHECK_THAT(fleet.Exchange(kHead), Catch::StartsWith("HTTP/1.1 408"));
  }
  SECTION("trailers") {
    CHECK_THAT(fleet.Exchange(kHead + kChunked +
                              "1\r\na\r\n0\r\nX: " + std::string(40000, 'x')),
               Catch::StartsWith("HTTP/1.1 431"));
  }
  SECTION("a chunk extension") {
    CHECK_THAT(fleet.Exchange(kHead + kChunked + "1;" +
                              std::string(40000, 'x') + "\r\na\r\n0\r\n\r\n"),
               Catch::StartsWith("HTTP/1.1 431"));
  }
  SECTION("chunk extensions in sum") {
    std::string chunks;
    for (int i = 0; i < 50; ++i)
      chunks += "1;" + std::string(1000, 'x') + "\r\na\r\n";
    CHECK_THAT(fleet.Exchange(kHead + kChunked + chunks + "0\r\n\r\n"),
               Catch::StartsWith("HTTP/1.1 431"));
  }
  CHECK(engine.requests().empty());
}

TEST_CASE("A half-sent request runs nowhere", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  {
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket(loop);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), kCallerPort});
    const std::string text = kHead + "Content-Length: 10\r\n\r\nhalf";
    boost::asio::write(socket, boost::asio::buffer(text));
    std::this_thread::sleep_for(milliseconds(100));
  }
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(engine.requests().empty());
  CHECK(fleet.Send("/once/").status == 200);
}

TEST_CASE("A body in chunks is passed on whole", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  const std::string answer =
      fleet.Exchange(kHead +
                     "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
  REQUIRE(engine.requests().size() == 1);
  CHECK(engine.requests()[0].body() == "abcde");
}

// Guards against pipelined bytes that are taken for the framing of a body: they
// are read while the request before is in progress.
TEST_CASE("Pipelined requests with large bodies are passed on whole",
          "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  const std::string body(50000, 'b');
  std::string chunks;
  for (int i = 0; i < 3000; ++i)
    chunks += "3;a=b\r\nabc\r\n";
  const std::string answers = fleet.Exchange(
      kHead + "Content-Length: 1\r\n\r\na" + kHead +
      "Content-Length: 50000\r\n\r\n" + body + kHead + kChunked + "c350\r\n" +
      body + "\r\n0\r\n\r\n" + kHead + kChunked + chunks + "0\r\n\r\n");
  CHECK_THAT(answers, !Catch::Contains("HTTP/1.1 4"));
  REQUIRE(engine.requests().size() == 4);
  for (int i : {1, 2})
    CHECK(engine.requests()[i].body().size() == body.size());
  CHECK(engine.requests()[3].body().size() == 9000);
}

TEST_CASE("An entry that cannot be read names no engine", "[gateway]") {
  GatewayFixture fleet;
  fleet.AddEngine("i-1", WholeAnswer);
  fleet.store.Put("servers", "forged", {{"service", "model"}, {"slots", "x"}});
  fleet.store.Put("servers", "i-9", json::array({1, 2}));
  std::this_thread::sleep_for(milliseconds(200));
  for (int i = 0; i < 5; ++i)
    CHECK(fleet.Send("/once/").status == 200);
}

// Guards against work for callers that gave up while a full instance had not
// read their requests.
TEST_CASE("A request whose caller has left in the meantime reaches no engine",
          "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", WholeAnswer);
  // Leaves an idle connection, on which a request is sent at once.
  REQUIRE(fleet.Send("/once/").status == 200);
  fleet.Block(milliseconds(300));
  {
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket(loop);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), kCallerPort});
    const std::string text = kHead + "Content-Length: 0\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(text));
  }
  std::this_thread::sleep_for(milliseconds(600));
  CHECK(engine.requests().size() == 1);
}

TEST_CASE("A caller's leaving is passed on to the engine", "[gateway]") {
  GatewayFixture fleet;
  ScriptedEngine& engine = fleet.AddEngine("i-1", [](const Request& request) {
    Answer answer = WholeAnswer(request);
    answer.steps[0].pause_before = milliseconds(5000);
    return answer;
  });
  {
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket(loop);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), kCallerPort});
    const std::string text = kHead + "Content-Length: 0\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(text));
    fleet.WaitUntil([&engine] { return !engine.requests().empty(); });
  }
  fleet.WaitUntil([&engine] { return engine.aborted_connections() == 1; });
}
