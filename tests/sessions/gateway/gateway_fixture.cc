#include "tests/sessions/gateway/gateway_fixture.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <future>

namespace gateway_test {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr milliseconds kPatience{8000};

tcp::endpoint EndpointOf(int port) {
  return {asio::ip::make_address("127.0.0.1"),
          static_cast<unsigned short>(port)};
}

}  // namespace

dandelionmill::platform::NodeSettings
NodeSettingsFor(const std::string& instance, int first_port, int store_port) {
  dandelionmill::platform::NodeSettings settings;
  settings.instance = base::InstanceId(instance);
  settings.zone = base::ZoneId("north");
  settings.region = base::RegionId("home");
  settings.regions = {{base::ZoneId("north"), base::RegionId("home")},
                      {base::ZoneId("south"), base::RegionId("abroad")}};
  settings.frontend_address = {"127.0.0.1", first_port};
  settings.readiness = {"127.0.0.1", first_port + 1};
  settings.peer_address = {"127.0.0.1", first_port + 2};
  settings.store = {"127.0.0.1", store_port};
  return settings;
}

void RegisterEngine(standins::platform::RowsServer& store,
                    const std::string& id,
                    int port,
                    const std::string& version,
                    const std::string& service,
                    const std::string& zone) {
  store.Put("servers", id,
            {{"service", service},
             {"address", "127.0.0.1:" + std::to_string(port)},
             {"zone", zone},
             {"version", version},
             {"slots", 8},
             {"state", "ready"},
             {"born", 1}});
}

namespace {

// The page of metrics follows the ports of the instance.
gateway::Gateway::Options OptionsFor(
    const dandelionmill::platform::NodeSettings& settings) {
  gateway::Gateway::Options options;
  options.metrics_port = settings.peer_address.port + 1;
  return options;
}

}  // namespace

RunningGateway::RunningGateway(
    const dandelionmill::platform::NodeSettings& settings)
    : gateway_(loop_, settings, OptionsFor(settings)) {
  REQUIRE(base::IsOk(gateway_.Start()));
  thread_ = std::thread([this] { loop_.run(); });
}

RunningGateway::~RunningGateway() {
  loop_.stop();
  if (thread_.joinable())
    thread_.join();
}

void RunningGateway::Shutdown(std::function<void()> on_left) {
  const auto begun = std::make_shared<std::promise<void>>();
  asio::post(loop_, [this, begun, on_left = std::move(on_left)] {
    gateway_.Shutdown([this, on_left] {
      on_left();
      loop_.stop();
    });
    begun->set_value();
  });
  REQUIRE(begun->get_future().wait_for(kPatience) == std::future_status::ready);
}

void RunningGateway::Block(milliseconds length) {
  asio::post(loop_, [length] { std::this_thread::sleep_for(length); });
}

void GatewayFixture::Start() {
  auto settings = NodeSettingsFor("front-1", kCallerPort, kStorePort);
  settings.shutdown_grace = shutdown_grace_;
  has_left = false;
  gateway_ = std::make_unique<RunningGateway>(settings);
  WaitUntil([this] { return IsReady(); });
}

void GatewayFixture::Stop() {
  gateway_.reset();
}

void GatewayFixture::Shutdown() {
  gateway_->Shutdown([this] { has_left = true; });
}

void GatewayFixture::Block(milliseconds length) {
  gateway_->Block(length);
}

bool GatewayFixture::IsReady() {
  asio::io_context loop;
  boost::beast::tcp_stream stream(loop);
  error_code error;
  stream.connect(EndpointOf(kReadyPort), error);
  http::request<http::empty_body> request(http::verb::get, "/api/readiness",
                                          11);
  http::response<http::string_body> response;
  boost::beast::flat_buffer buffer;
  if (!error)
    http::write(stream, request, error);
  if (!error)
    http::read(stream, buffer, response, error);
  return !error && response.result_int() == 200;
}

ScriptedEngine& GatewayFixture::AddEngine(const std::string& id,
                                          ScriptedEngine::Script script,
                                          const std::string& version,
                                          const std::string& zone) {
  const int port = next_port_++;
  engine_ports_[id] = port;
  engines[id] = std::make_unique<ScriptedEngine>(port, std::move(script));
  RegisterEngine(store, id, port, version, "model", zone);
  std::this_thread::sleep_for(milliseconds(150));
  return *engines[id];
}

void GatewayFixture::RestartEngine(const std::string& id,
                                   ScriptedEngine::Script script,
                                   std::int64_t born) {
  engines.erase(id);
  engines[id] =
      std::make_unique<ScriptedEngine>(engine_ports_.at(id), std::move(script));
  engines[id]->born = born;
}

void GatewayFixture::WaitUntil(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!holds()) {
    REQUIRE(std::chrono::steady_clock::now() < end);
    std::this_thread::sleep_for(milliseconds(10));
  }
}

Received GatewayFixture::Send(const std::string& target,
                              std::map<std::string, std::string> fields,
                              const std::string& body,
                              int port) {
  fields.emplace("Host", "a.example");
  fields.emplace("Attempt-Id", "attempt-" + std::to_string(next_attempt_++));
  fields.emplace("Authorization", "Bearer secret");
  fields.emplace("Deadline-Milliseconds", "5000");
  http::request<http::string_body> request(http::verb::post, target, 11);
  for (const auto& [name, value] : fields)
    request.set(name, value);
  request.body() = body;
  request.prepare_payload();
  asio::io_context loop;
  tcp::socket socket(loop);
  error_code error;
  socket.connect(EndpointOf(port), error);
  http::write(socket, request, error);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  http::read(socket, buffer, parser, error);
  Received received;
  received.is_cut = !parser.is_done();
  const auto& response = parser.get();
  received.status = static_cast<int>(response.result_int());
  received.body = response.body();
  for (const auto& field : response)
    received.fields[std::string(field.name_string())] =
        std::string(field.value());
  return received;
}

std::string GatewayFixture::Exchange(const std::string& bytes) {
  asio::io_context loop;
  boost::beast::tcp_stream stream(loop);
  error_code error;
  stream.connect(EndpointOf(kCallerPort), error);
  asio::write(stream, asio::buffer(bytes), error);
  std::string all;
  std::array<char, 4096> part;
  bool open = true;
  while (open) {
    stream.expires_after(std::chrono::seconds(1));
    stream.async_read_some(asio::buffer(part),
                           [&](error_code problem, std::size_t count) {
                             all.append(part.data(), count);
                             open = !problem;
                           });
    loop.restart();
    loop.run();
  }
  return all;
}

}  // namespace gateway_test
