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

// A server on a loop of its own. It answers a GET of "/wait" late and of
// "/stream" in parts; else it repeats what it got.
class Served {
 public:
  explicit Served(net::AsyncHttpServer::Options options = {})
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
  std::atomic<bool> is_caller_there{true};

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
      throw std::runtime_error("as asked");
    if (request.path == "/wait")
      fiber.SleepUntil(std::chrono::steady_clock::now() + milliseconds(300));
    if (request.path == "/stream") {
      response.write_body = [this](net::Fiber& writing,
                                   net::BodyWriter& writer) {
        bool goes_on = true;
        for (int part = 0; goes_on && part < 20; ++part) {
          goes_on = writer.Write("part\n") && writer.IsCallerThere();
          writing.SleepUntil(std::chrono::steady_clock::now() +
                             milliseconds(10));
        }
        is_caller_there = goes_on;
        return goes_on;
      };
      return;
    }
    response.body = request.method + " " + request.path + " " +
                    request.fields.Get("x-name") + " " + request.body;
  }

  net::LoopThread thread_;
  net::AsyncHttpServer server_;
};

// Sends `bytes` and returns all that comes until the connection closes.
std::string Exchange(const std::string& bytes) {
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
  std::string all;
  asio::read(socket, asio::dynamic_buffer(all), ignored);
  return all;
}

}  // namespace

TEST_CASE("A request comes to the handler as it was sent", "[net]") {
  Served served;
  REQUIRE(IsOk(served.server().Start()));
  httplib::Client client("127.0.0.1", kPort);
  const auto answer =
      client.Post("/a%20b?q=1", {{"X-Name", "n"}}, "the body", "text/plain");
  REQUIRE(answer);
  CHECK(answer->status == 200);
  CHECK(answer->body == "POST /a b n the body");
}

TEST_CASE("A connection carries one request after the other", "[net]") {
  Served served;
  REQUIRE(IsOk(served.server().Start()));
  const std::string all = Exchange(
      "GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /two HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(all.find("GET /one") < all.find("GET /two"));
  CHECK(all.find("GET /two") != std::string::npos);
}

TEST_CASE("The event-loop server accepts a burst of callers", "[net]") {
  net::AsyncHttpServer::Options options;
  options.max_connections = 20;
  Served served(options);
  REQUIRE(IsOk(served.server().Start()));
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 100; ++i) {
    callers.emplace_back([&] {
      httplib::Client client("127.0.0.1", kPort);
      client.set_read_timeout(std::chrono::seconds(30));
      if (const auto answer = client.Get("/"))
        answered += answer->status == 200 ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  CHECK(answered == 100);
}

TEST_CASE("A body over the limit is refused before it is read", "[net]") {
  net::AsyncHttpServer::Options options;
  options.max_body = 10;
  Served served(options);
  REQUIRE(IsOk(served.server().Start()));
  httplib::Client client("127.0.0.1", kPort);
  const auto answer = client.Post("/", std::string(200000, 'x'), "text/plain");
  REQUIRE(answer);
  CHECK(answer->status == 413);
  CHECK(answer->body == "refused");
  CHECK(served.handled == 0);
}

TEST_CASE("What is no request is refused and the connection closed", "[net]") {
  Served served;
  REQUIRE(IsOk(served.server().Start()));
  CHECK(Exchange("GET / HTTP/1.1\r\nno field\r\n\r\n").find("HTTP/1.1 400") ==
        0);
  CHECK(Exchange("GET / HTTP/1.1\r\nA: " + std::string(70000, 'a') + "\r\n\r\n")
            .find("HTTP/1.1 431") == 0);
  CHECK(served.handled == 0);
}

TEST_CASE("A caller that does not finish its request is let go", "[net]") {
  net::AsyncHttpServer::Options options;
  options.io_timeout = milliseconds(200);
  Served served(options);
  REQUIRE(IsOk(served.server().Start()));
  const std::string request =
      GENERATE("GET / HTTP/1.1\r\nHo",
               "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
  const auto begun = std::chrono::steady_clock::now();
  CHECK(Exchange(request).empty());
  CHECK(std::chrono::steady_clock::now() - begun < milliseconds(5000));
  CHECK(served.handled == 0);
}

TEST_CASE("A caller that waits for leave to send its body gets it", "[net]") {
  Served served;
  REQUIRE(IsOk(served.server().Start()));
  const std::string all = Exchange(
      "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Connection: close\r\nContent-Length: 3\r\n\r\nabc");
  CHECK(all.find("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200") == 0);
}

TEST_CASE("A handler that throws leaves the server running", "[net]") {
  Served served;
  REQUIRE(IsOk(served.server().Start()));
  httplib::Client client("127.0.0.1", kPort);
  CHECK(client.Get("/throw")->status == 500);
  CHECK(client.Get("/after")->status == 200);
}

TEST_CASE("An answer may be written in parts", "[net]") {
  Served served;
  REQUIRE(IsOk(served.server().Start()));
  SECTION("to its end") {
    httplib::Client client("127.0.0.1", kPort);
    const auto answer = client.Get("/stream");
    REQUIRE(answer);
    CHECK(answer->body.size() == 20 * 5);
  }
  SECTION("until the caller is gone") {
    {
      asio::io_context loop;
      asio::ip::tcp::socket socket(loop);
      socket.connect({asio::ip::make_address("127.0.0.1"), kPort});
      asio::write(
          socket,
          asio::buffer(std::string("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")));
      std::array<char, 20> some;
      asio::read(socket, asio::buffer(some));
    }
    for (int i = 0; i < 300 && served.is_caller_there; ++i)
      std::this_thread::sleep_for(milliseconds(10));
    CHECK_FALSE(served.is_caller_there);
  }
}

TEST_CASE("Stopping waits for answers and not for idle connections", "[net]") {
  Served served;
  REQUIRE(IsOk(served.server().Start()));
  httplib::Client idle("127.0.0.1", kPort);
  idle.set_keep_alive(true);
  REQUIRE(idle.Get("/"));
  std::atomic<int> status{0};
  std::thread caller([&] {
    httplib::Client client("127.0.0.1", kPort);
    if (const auto answer = client.Get("/wait"))
      status = answer->status;
  });
  while (served.handled < 2)
    std::this_thread::sleep_for(milliseconds(5));
  const auto begun = std::chrono::steady_clock::now();
  served.server().Stop();
  CHECK(std::chrono::steady_clock::now() - begun < milliseconds(4000));
  caller.join();
  CHECK(status == 200);
}

TEST_CASE("Two event-loop servers cannot share an address", "[net]") {
  Served first;
  Served second;
  REQUIRE(IsOk(first.server().Start()));
  const auto started = second.server().Start();
  REQUIRE_FALSE(IsOk(started));
  CHECK(dandelionmill::base::ErrorOf(started).detail ==
        "address 127.0.0.1:19731 cannot be bound; is it in use?");
}

TEST_CASE("A certificate that cannot be read stops the server", "[net]") {
  net::AsyncHttpServer::Options options;
  options.certificate_file = "/nonexistent.pem";
  options.key_file = "/nonexistent.key";
  Served served(options);
  CHECK_FALSE(IsOk(served.server().Start()));
}

TEST_CASE("Callers may be served over TLS", "[net]") {
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
  Served served(options);
  REQUIRE(IsOk(served.server().Start()));
  httplib::SSLClient client("127.0.0.1", kPort);
  client.enable_server_certificate_verification(false);
  const auto answer = client.Get("/secret");
  REQUIRE(answer);
  CHECK(answer->body == "GET /secret  ");
  CHECK(client.Get("/stream")->body.size() == 20 * 5);
  std::remove(options.certificate_file.c_str());
  std::remove(options.key_file.c_str());
  std::remove(folder);
}
