#include "tests/sessions/gateway/gateway_fixture.h"

// Responses that are not valid, and successes that begin before their request
// has been read.

using namespace gateway_test;  // NOLINT(google-build-using-namespace)

namespace {

using Then = Answer::Then;

// A response with the given status line, from which nothing else is missing.
Answer AnswerWithStatus(const Request& request, const std::string& line) {
  Answer answer = ScriptedEngine::CompleteAnswer(request, 200, "bad");
  std::string& bytes = answer.steps[0].bytes;
  bytes.replace(0, bytes.find("\r\n"), line);
  return answer;
}

Answer GoodAnswer(const Request& request) {
  return ScriptedEngine::CompleteAnswer(request, 200, "good");
}

// Two engines, the first attempt of each request gets `bad`.
void CheckIsFailedAttempt(const ScriptedEngine::Script& bad) {
  GatewayFixture fleet;
  std::atomic<int> runs{0};
  const auto script = [&runs, &bad](const Request& request) {
    return ++runs % 2 == 1 ? bad(request) : GoodAnswer(request);
  };
  fleet.AddEngine("i-1", script);
  fleet.AddEngine("i-2", script);
  const Received retried = fleet.Send("/safe/x");
  CHECK(retried.status == 200);
  CHECK(retried.body == "good");
  CHECK(runs == 2);
  // At once: the deadline is answered with 504.
  const Received once = fleet.Send("/once/x");
  CHECK(once.status == 502);
  CHECK(once.body.find("\"ran\":\"maybe\"") != std::string::npos);
  CHECK(runs == 3);
}

// Accepts uploads that exceed all socket buffers.
json LargeUploadState() {
  json state = DesiredState(1);
  state["limits"]["maxBodyBytes"] = 32 << 20;
  return state;
}

std::string EarlyHead(const Request& request, const std::string& fields) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " +
         std::string(request["Attempt-Id"]) +
         "\r\nServer-Signature: proof\r\n" + fields + "\r\n";
}

}  // namespace

// Guards against a status that no client understands, and against a body that
// is taken for the beginning of the next response: a status below 200 counted
// as interim.
TEST_CASE("A response with an invalid status is a failed attempt",
          "[gateway]") {
  const std::string line = GENERATE(
      "HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
      "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/2.0 200 X", "HTTP/1.1 -20 X",
      "HTTP/1.1 101 Switching Protocols");
  INFO(line);
  CheckIsFailedAttempt([&line](const Request& request) {
    return AnswerWithStatus(request, line);
  });
}

// Guards against an invalid response whose claim not to have run is trusted.
TEST_CASE("A response with an invalid status proves nothing", "[gateway]") {
  CheckIsFailedAttempt([](const Request& request) {
    return AnswerWithStatus(request, "HTTP/1.1 000 X\r\nNot-Executed: 1");
  });
}

// Guards against the body of an invalid response in front of a valid one.
TEST_CASE("A valid response after an invalid one is not passed on",
          "[gateway]") {
  CheckIsFailedAttempt([](const Request& request) {
    Answer answer = AnswerWithStatus(request, "HTTP/1.1 000 X");
    answer.steps[0].bytes += GoodAnswer(request).steps[0].bytes;
    return answer;
  });
}

// Guards against coded bytes that are passed on as if they were the content,
// and a response that ends with its connection and is taken for a framed one.
TEST_CASE("A response in another transfer coding is a failed attempt",
          "[gateway]") {
  const std::string fields =
      GENERATE("Transfer-Encoding: gzip\r\n", "Transfer-Encoding: \r\n",
               "Transfer-Encoding: gzip, chunked\r\n",
               "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
               "Content-Length: 4\r\nContent-Length: 5\r\n",
               "Content-Length: 99999999999999999999\r\n");
  INFO(fields);
  CheckIsFailedAttempt([&fields](const Request& request) {
    return Answer{{{EarlyHead(request, fields) + "part"}}, Then::kClose};
  });
}

// Guards against a part of a response that looks whole: the connection breaks
// while the request is still being written.
TEST_CASE("A success that ends by a reset during its upload is broken",
          "[gateway]") {
  GatewayFixture fleet(LargeUploadState());
  const std::size_t size = GENERATE(500'000, 16'000'000);
  const Then then = GENERATE(Then::kReset, Then::kEndOutputAndReset);
  const auto pause = GENERATE(milliseconds(0), milliseconds(30));
  ScriptedEngine& engine =
      fleet.AddEngine("i-1", [then, pause](const Request& request) {
        return Answer{{{EarlyHead(request, "Connection: close\r\n")},
                       {"part", pause},
                       {"", pause}},
                      then};
      });
  engine.answers_before_body = true;
  const Received received = fleet.Send("/once/x", {}, std::string(size, 'b'));
  CHECK(received.status == 502);
  CHECK(received.body.find("\"ran\":\"maybe\"") != std::string::npos);
}

// Guards against an upload that is cut short by the response to it: a server
// may respond first and read the body afterwards.
TEST_CASE("An upload goes on after a success that begins before its end",
          "[gateway]") {
  GatewayFixture fleet(LargeUploadState());
  const std::string body(GENERATE(500'000, 16'000'000), 'b');
  const bool is_framed = GENERATE(true, false);
  ScriptedEngine& engine =
      fleet.AddEngine("i-1", [is_framed](const Request& request) {
        return Answer{
            {{EarlyHead(request, is_framed ? "Content-Length: 5\r\n"
                                           : "Connection: close\r\n") +
              "early"},
             {"", milliseconds(200)}},
            is_framed ? Then::kKeep : Then::kEndOutput};
      });
  engine.answers_before_body = true;
  const Received received = fleet.Send("/once/x", {}, body);
  CHECK(received.status == 200);
  CHECK(received.body == "early");
  fleet.WaitUntil([&engine] { return engine.requests().size() == 1; });
  const bool is_same = engine.requests()[0].body() == body;
  CHECK(is_same);
  CHECK(fleet.Send("/once/x").body == "early");
}
