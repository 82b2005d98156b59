#include "standins/link/link_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "dandelionmill/net/http_server.h"
#include "standins/link/connection.h"

namespace standins::link {
namespace {

using dandelionmill::base::MonoTime;
using dandelionmill::net::Address;
using dandelionmill::net::HttpServer;
using Json = nlohmann::json;

constexpr int kListenBacklog = 1024;
constexpr int kIdlePollTimeoutMs = 50;
constexpr int kQueuedPollTimeoutMs = 1;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
  return result;
}

void ConfigureSocket(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
}

// Returns a listening socket, or -1.
int Listen(const Address& address) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = ToSocketAddress(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&bound),
           sizeof(bound)) != 0 ||
      listen(listener, kListenBacklog) != 0) {
    close(listener);
    return -1;
  }
  ConfigureSocket(listener);
  return listener;
}

// Returns a connected socket, or -1.
int ConnectTo(const Address& address) {
  const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = ToSocketAddress(address);
  if (connect(connected, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    close(connected);
    return -1;
  }
  ConfigureSocket(connected);
  return connected;
}

HttpServer::Options AdminOptions(const Address& bind) {
  HttpServer::Options options;
  options.bind = bind;
  options.max_connections = 4;
  options.keep_alive = std::chrono::seconds(1);
  return options;
}

}  // namespace

class LinkServer::Impl {
 public:
  explicit Impl(Options options)
      : options_(std::move(options)), admin_(AdminOptions(options_.admin)) {
    admin_.routes().Post("/faults", [this](const httplib::Request& request,
                                           httplib::Response& response) {
      const Json faults = Json::parse(request.body, nullptr, false);
      if (!faults.is_object()) {
        response.status = 400;
        return;
      }
      SetFaults(faults);
      response.set_content(faults.dump(), "application/json");
    });
  }

  dandelionmill::base::Status Start() {
    listener_ = Listen(options_.listen);
    if (listener_ < 0)
      return dandelionmill::base::Error{
          dandelionmill::base::Code::kBadSetting,
          "address " + ToString(options_.listen) + " cannot be bound"};
    relay_thread_ = std::thread([this] { Run(); });
    return admin_.Start();
  }

  void Stop() {
    stopping_ = true;
    if (relay_thread_.joinable())
      relay_thread_.join();
    admin_.Stop();
    if (listener_ >= 0)
      close(std::exchange(listener_, -1));
  }

 private:
  void SetFaults(const Json& faults) {
    cut_ = faults.value("cut", false);
    delay_ms_ = faults.value("delay_ms", 0);
    if (faults.value("silent", false))
      silence_requested_ = true;
    WaitForTwoIterations();
  }

  // Waits for two iterations of the relay thread, so that the faults apply to
  // connections made before and after the admin response.
  void WaitForTwoIterations() const {
    const int start = iterations_;
    while (iterations_ - start < 2 && !stopping_)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

  void Run() {
    while (!stopping_) {
      if (silence_requested_.exchange(false))
        silent_.splice(silent_.end(), open_);
      if (!cut_)
        CloseHeldClients();
      RunIteration();
      ++iterations_;
    }
  }

  // Polls all sockets once and handles what is ready.
  void RunIteration() {
    std::vector<pollfd> polled{{listener_, POLLIN, 0}};
    const bool cut = cut_;
    bool has_queued_bytes = false;
    if (!cut) {
      for (const Connection& connection : open_) {
        connection.AppendPollEntries(polled, std::chrono::steady_clock::now());
        has_queued_bytes = has_queued_bytes || connection.HasQueuedBytes();
      }
    }
    poll(polled.data(), polled.size(),
         has_queued_bytes ? kQueuedPollTimeoutMs : kIdlePollTimeoutMs);
    if (!cut)
      TransferAll(polled);
    if ((polled[0].revents & POLLIN) != 0)
      Accept();
  }

  void TransferAll(const std::vector<pollfd>& polled) {
    const std::chrono::milliseconds delay(delay_ms_);
    const MonoTime now = std::chrono::steady_clock::now();
    std::size_t entry = 1;
    for (auto connection = open_.begin(); connection != open_.end();) {
      const bool is_open =
          connection->Transfer(polled[entry], polled[entry + 1], delay, now);
      connection = is_open ? std::next(connection) : open_.erase(connection);
      entry += 2;
    }
  }

  void Accept() {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0)
      return;
    ConfigureSocket(client);
    if (cut_) {
      held_clients_.push_back(client);
      return;
    }
    const int target = ConnectTo(options_.target);
    if (target < 0)
      close(client);
    else
      open_.emplace_back(client, target);
  }

  void CloseHeldClients() {
    for (int client : held_clients_)
      close(client);
    held_clients_.clear();
  }

  const Options options_;
  HttpServer admin_;
  int listener_ = -1;
  std::atomic<bool> cut_{false};
  std::atomic<bool> silence_requested_{false};
  std::atomic<int> delay_ms_{0};
  std::atomic<int> iterations_{0};
  std::atomic<bool> stopping_{false};
  std::thread relay_thread_;

  // Accessed only by the relay thread.
  std::list<Connection> open_;
  std::list<Connection> silent_;
  std::vector<int> held_clients_;
};

LinkServer::LinkServer(Options options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

LinkServer::~LinkServer() {
  impl_->Stop();
}

dandelionmill::base::Status LinkServer::Start() {
  return impl_->Start();
}

void LinkServer::Stop() {
  impl_->Stop();
}

}  // namespace standins::link
