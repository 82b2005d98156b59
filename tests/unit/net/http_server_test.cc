#include "dandelionmill/net/http_server.h"

#include <httplib.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using dandelionmill::base::IsOk;
using dandelionmill::net::HttpServer;

TEST_CASE("The HTTP server accepts a burst of connections", "[net]") {
  HttpServer::Options options;
  options.bind = {"127.0.0.1", 19721};
  options.max_connections = 128;
  HttpServer server(options);
  server.routes().Get("/",
                      [](const httplib::Request&, httplib::Response& response) {
                        response.set_content("ok", "text/plain");
                      });
  REQUIRE(IsOk(server.Start()));
  std::atomic<int> succeeded{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 100; ++i) {
    callers.emplace_back([&] {
      httplib::Client client("127.0.0.1", 19721);
      client.set_read_timeout(std::chrono::seconds(30));
      if (const auto response = client.Get("/"))
        succeeded += response->status == 200 ? 1 : 0;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  CHECK(succeeded == 100);
}

TEST_CASE("A request body over the limit is rejected with 413", "[net]") {
  HttpServer::Options options;
  options.bind = {"127.0.0.1", 19722};
  options.max_body = 10;
  HttpServer server(options);
  bool ran = false;
  server.routes().Post(
      "/", [&](const httplib::Request&, httplib::Response&) { ran = true; });
  REQUIRE(IsOk(server.Start()));
  httplib::Client client("127.0.0.1", 19722);
  CHECK(client.Post("/", std::string(11, 'x'), "text/plain")->status == 413);
  CHECK_FALSE(ran);
}

TEST_CASE("Starting a second HTTP server on the same address fails", "[net]") {
  HttpServer::Options options;
  options.bind = {"127.0.0.1", 19723};
  HttpServer first(options);
  HttpServer second(options);
  REQUIRE(IsOk(first.Start()));
  const auto started = second.Start();
  REQUIRE_FALSE(IsOk(started));
  CHECK(dandelionmill::base::ErrorOf(started).detail ==
        "address 127.0.0.1:19723 cannot be bound; is it in use?");
}
