#include "dandelionmill/net/http_server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <atomic>
#include <utility>

#include "dandelionmill/net/internal/elastic_thread_pool.h"

namespace dandelionmill::net {
namespace {

// cpp-httplib listens with a backlog of 5, too short for a burst of callers.
constexpr int kAcceptBacklog = 1024;

}  // namespace

HttpServer::HttpServer(Options options)
    : options_(std::move(options)),
      server_(std::make_unique<httplib::Server>()) {
  const int max_threads = options_.max_connections;
  server_->new_task_queue = [max_threads] {
    return new internal::ElasticThreadPool(max_threads);
  };
  server_->set_tcp_nodelay(true);
  server_->set_payload_max_length(options_.max_body);
  server_->set_read_timeout(options_.io_timeout);
  server_->set_write_timeout(options_.io_timeout);
  const auto keep_alive =
      std::chrono::duration_cast<std::chrono::seconds>(options_.keep_alive);
  server_->set_keep_alive_timeout(static_cast<time_t>(keep_alive.count()));
  server_->set_keep_alive_max_count(1 << 30);
}

HttpServer::~HttpServer() {
  Stop();
}

base::Status HttpServer::Start() {
  int listener = -1;
  server_->set_socket_options([&listener](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listener = socket;
  });
  if (!server_->bind_to_port(options_.bind.host.c_str(), options_.bind.port))
    return base::Error{base::Code::kBadSetting,
                       "address " + ToString(options_.bind) +
                           " cannot be bound; is it in use?"};
  ::listen(listener, kAcceptBacklog);
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  while (!server_->is_running())
    std::this_thread::yield();
  return base::Unit{};
}

void HttpServer::Stop() {
  server_->stop();
  if (thread_.joinable())
    thread_.join();
}

}  // namespace dandelionmill::net
