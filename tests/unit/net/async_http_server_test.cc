#include "dandelionmill/net/async_http_server.h"

#include <httplib.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

#include "dandelionmill/net/http_client.h"
#include "dandelionmill/net/loop_thread.h"

namespace net = dandelionmill::net;
namespace asio = boost::asio;
using dandelionmill::base::IsOk;
using std::chrono::milliseconds;

namespace {

constexpr int kPort = 19731;

// A server on its own event loop. "/throw" throws, "/wait" responds after 300
// ms and "/stream" streams 20 parts; other paths echo the request.
class TestServer {
 public:
  explicit TestServer(net::AsyncHttpServer::Options options = {})
      : server_(
            thread_.loop(),
            WithPort(std::move(options)),
            [this](net::Fiber& fiber,
                   const net::HttpRequest& request,
                   net::HttpResponse& response) {
              Handle(fiber, request, response);
            },
            [](net::HttpResponse& response) { response.body = "refused"; }) {}

  net::AsyncHttpServer& server() { return server_; }
  std::atomic<int> handled{0};
  std::atomic<bool> is_caller_connected{true};

 private:
  static net::AsyncHttpServer::Options WithPort(
      net::AsyncHttpServer::Options options) {
    options.bind = {"127.0.0.1", kPort};
    return options;
  }

  void Handle(net::Fiber& fiber,
              const net::HttpRequest& request,
              net::HttpResponse& response) {
    ++handled;
    response.content_type = "text/plain";
    if (request.path == "/throw")
      throw std::runtime_error("requested by the test");
    if (request.path == "/wait")
      fiber.SleepUntil(std::chrono::steady_clock::now() + milliseconds(300));
    if (request.path == "/stream") {
      response.write_body = [this](net::Fiber& body_fiber,
                                   net::BodyWriter& writer) {
        bool is_connected = true;
        for (int part = 0; is_connected && part < 20; ++part) {
          is_connected = writer.Write("part\n") && writer.IsCallerConnected();
          body_fiber.SleepUntil(std::chrono::steady_clock::now() +
                                milliseconds(10));
        }
        is_caller_connected = is_connected;
        return is_connected;
      };
      return;
    }
    response.body = request.method + " " + request.path + " " +
                    request.fields.Get("x-name") + " " + request.body;
  }

  net::LoopThread thread_;
  net::AsyncHttpServer server_;
};

// Sends `bytes` and returns everything received until the connection closes.
std::string Exchange(const std::string& bytes) {
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
  std::string received;
  asio::read(socket, asio::dynamic_buffer(received), ignored);
  return received;
}

}  // namespace

TEST_CASE("The handler receives the request as it was sent", "[net]") {
  TestServer test_server;
  REQUIRE(IsOk(test_server.server().Start()));
  httplib::Client client("127.0.0.1", kPort);
  const auto response =
      client.Post("/a%20b?q=1", {{"X-Name", "n"}}, "the body", "text/plain");
  REQUIRE(response);
  CHECK(response->status == 200);
  CHECK(response->body == "POST /a b n the body");
}

TEST_CASE("Pipelined requests are answered in order", "[net]") {
  TestServer test_server;
  REQUIRE(IsOk(test_server.server().Start()));
  const std::string received = Exchange(
      "GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /two HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(received.find("GET /one") < received.find("GET /two"));
  CHECK(received.find("GET /two") != std::string::npos);
}

TEST_CASE("The event-loop server serves more callers than max_connections",
          "[net]") {
  net::AsyncHttpServer::Options options;
  options.max_connections = 20;
  TestServer test_server(options);
  REQUIRE(IsOk(test_server.server().Start()));
  std::atomic<int> succeeded{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 100; ++i) {
    callers.emplace_back([&] {
      httplib::Client client("127.0.0.1", kPort);
      client.set_read_timeout(std::chrono::seconds(30));
      if (const auto response = client.Get("/"))
        succeeded += response->status == 200 ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  CHECK(succeeded == 100);
}

TEST_CASE("A request body over the limit is rejected before it is read",
          "[net]") {
  net::AsyncHttpServer::Options options;
  options.max_body = 10;
  TestServer test_server(options);
  REQUIRE(IsOk(test_server.server().Start()));
  httplib::Client client("127.0.0.1", kPort);
  const auto response =
      client.Post("/", std::string(200000, 'x'), "text/plain");
  REQUIRE(response);
  CHECK(response->status == 413);
  CHECK(response->body == "refused");
  CHECK(test_server.handled == 0);
}

TEST_CASE(
    "A malformed or oversized request head is rejected and the connection "
    "closed",
    "[net]") {
  TestServer test_server;
  REQUIRE(IsOk(test_server.server().Start()));
  CHECK(Exchange("GET / HTTP/1.1\r\nno field\r\n\r\n").find("HTTP/1.1 400") ==
        0);
  CHECK(Exchange("GET / HTTP/1.1\r\nA: " + std::string(70000, 'a') + "\r\n\r\n")
            .find("HTTP/1.1 431") == 0);
  CHECK(test_server.handled == 0);
}

TEST_CASE("A connection with an incomplete request is closed after io_timeout",
          "[net]") {
  net::AsyncHttpServer::Options options;
  options.io_timeout = milliseconds(200);
  TestServer test_server(options);
  REQUIRE(IsOk(test_server.server().Start()));
  const std::string request =
      GENERATE("GET / HTTP/1.1\r\nHo",
               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
  const auto start = std::chrono::steady_clock::now();
  CHECK(Exchange(request).empty());
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(5000));
  CHECK(test_server.handled == 0);
}

TEST_CASE("A request with Expect: 100-continue gets an interim response",
          "[net]") {
  TestServer test_server;
  REQUIRE(IsOk(test_server.server().Start()));
  const std::string received = Exchange(
      "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Connection: close\r\nContent-Length: 3\r\n\r\nabc");
  CHECK(received.find("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200") == 0);
}

TEST_CASE("A handler that throws causes a 500 and the server keeps running",
          "[net]") {
  TestServer test_server;
  REQUIRE(IsOk(test_server.server().Start()));
  httplib::Client client("127.0.0.1", kPort);
  CHECK(client.Get("/throw")->status == 500);
  CHECK(client.Get("/after")->status == 200);
}

TEST_CASE("A response body can be streamed", "[net]") {
  TestServer test_server;
  REQUIRE(IsOk(test_server.server().Start()));
  SECTION("until it is complete") {
    httplib::Client client("127.0.0.1", kPort);
    const auto response = client.Get("/stream");
    REQUIRE(response);
    CHECK(response->body.size() == 20 * 5);
  }
  SECTION("until the caller disconnects") {
    {
      asio::io_context loop;
      asio::ip::tcp::socket socket(loop);
      socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
      asio::write(
          socket,
          asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
      std::array<char, 20> first_bytes;
      asio::read(socket, asio::buffer(first_bytes));
    }
    for (int i = 0; i < 300 && test_server.is_caller_connected; ++i)
      std::this_thread::sleep_for(milliseconds(10));
    CHECK_FALSE(test_server.is_caller_connected);
  }
}

TEST_CASE("Stop waits for responses in progress but not for idle connections",
          "[net]") {
  TestServer test_server;
  REQUIRE(IsOk(test_server.server().Start()));
  httplib::Client idle("127.0.0.1", kPort);
  idle.set_keep_alive(true);
  REQUIRE(idle.Get("/"));
  std::atomic<int> status{0};
  std::thread caller([&] {
    httplib::Client client("127.0.0.1", kPort);
    if (const auto response = client.Get("/wait"))
      status = response->status;
  });
  while (test_server.handled < 2)
    std::this_thread::sleep_for(milliseconds(5));
  const auto start = std::chrono::steady_clock::now();
  test_server.server().Stop();
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(4000));
  caller.join();
  CHECK(status == 200);
}

TEST_CASE("Starting a second event-loop server on the same address fails",
          "[net]") {
  TestServer first;
  TestServer second;
  REQUIRE(IsOk(first.server().Start()));
  const auto started = second.server().Start();
  REQUIRE_FALSE(IsOk(started));
  CHECK(dandelionmill::base::ErrorOf(started).detail ==
        "address 127.0.0.1:19731 cannot be bound; is it in use?");
}

TEST_CASE("Start fails if the certificate cannot be read", "[net]") {
  net::AsyncHttpServer::Options options;
  options.certificate_file = "/nonexistent.pem";
  options.key_file = "/nonexistent.key";
  TestServer test_server(options);
  CHECK_FALSE(IsOk(test_server.server().Start()));
}

TEST_CASE("The event-loop server serves requests over TLS", "[net]") {
  char folder[] = "/tmp/dandelion-tls-XXXXXX";
  REQUIRE(mkdtemp(folder) != nullptr);
  net::AsyncHttpServer::Options options;
  options.certificate_file = std::string(folder) + "/cert.pem";
  options.key_file = std::string(folder) + "/key.pem";
  const std::string command =
      "openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=localhost "
      "-out " +
      options.certificate_file + " -keyout " + options.key_file +
      " >/dev/null 2>&1";
  // NOLINTNEXTLINE(cert-env33-c): a fixed command.
  REQUIRE(std::system(command.c_str()) == 0);
  TestServer test_server(options);
  REQUIRE(IsOk(test_server.server().Start()));
  httplib::SSLClient client("127.0.0.1", kPort);
  client.enable_server_certificate_verification(false);
  const auto response = client.Get("/secret");
  REQUIRE(response);
  CHECK(response->body == "GET /secret  ");
  CHECK(client.Get("/stream")->body.size() == 20 * 5);
  std::remove(options.certificate_file.c_str());
  std::remove(options.key_file.c_str());
  std::remove(folder);
}
