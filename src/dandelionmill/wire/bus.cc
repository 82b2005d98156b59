#include "dandelionmill/wire/bus.h"

#include <google/protobuf/stubs/logging.h>

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <variant>
#include <vector>
#include <zmq.hpp>

#include "dandelionmill/base/digest.h"
#include "dandelionmill/base/overloaded.h"
#include "dandelionmill/base/units.h"
#include "dandelionmill/log/event.h"
#include "dandelionmill/wire/envelope.pb.h"

namespace dandelionmill::wire {
namespace {

constexpr int kHighWaterMark = 20000;  // messages queued per connection
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 1000;
// A connection is dropped when a ZeroMQ heartbeat is not answered in time.
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 3000;
// Used with Options::idle_timeout, which closes idle connections anyway.
constexpr int kSlowHeartbeatIntervalMs = 30000;
constexpr int kSlowHeartbeatTimeoutMs = 60000;
constexpr std::chrono::milliseconds kReplyTimeout{5000};

struct ConnectCommand {
  net::Address address;
};
struct DisconnectCommand {
  net::Address address;
};
struct SendCommand {
  Route to;
  std::string payload;
};
using Command = std::variant<ConnectCommand, DisconnectCommand, SendCommand>;

using base::Overloaded;

void Configure(zmq::socket_t& socket, bool slow_heartbeat) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
  socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  socket.set(zmq::sockopt::heartbeat_ivl,
             slow_heartbeat ? kSlowHeartbeatIntervalMs : kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout,
             slow_heartbeat ? kSlowHeartbeatTimeoutMs : kHeartbeatTimeoutMs);
}

// The CURVE key pair that all processes of the fleet share, in Z85 encoding.
struct KeyPair {
  std::string public_key;
  std::string secret_key;
};

constexpr int kKeyBytes = 32;
constexpr int kZ85KeySize = 41;  // 40 Z85 characters and a terminating NUL

// Derives the key pair from the fleet key, so that only processes that have it
// can connect and all traffic is encrypted.
KeyPair DeriveKeyPair(const std::string& fleet_key) {
  const std::string digest = base::Sha256Hex("dandelionmill bus\n" + fleet_key);
  std::array<std::uint8_t, kKeyBytes> bytes{};
  for (int i = 0; i < kKeyBytes; ++i)
    bytes[i] = static_cast<std::uint8_t>(
        std::stoi(digest.substr(2 * i, 2), nullptr, 16));
  std::array<char, kZ85KeySize> secret_key{};
  std::array<char, kZ85KeySize> public_key{};
  zmq_z85_encode(secret_key.data(), bytes.data(), bytes.size());
  zmq_curve_public(public_key.data(), secret_key.data());
  return {public_key.data(), secret_key.data()};
}

std::string Endpoint(const net::Address& address) {
  return "tcp://" + net::ToString(address);
}

}  // namespace

class Bus::Worker {
 public:
  Worker(Options options, Handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        keys_(DeriveKeyPair(options_.fleet_key)),
        wake_in_(context_, zmq::socket_type::pair),
        wake_out_(context_, zmq::socket_type::pair) {
    // Messages that cannot be decoded are counted instead. With protobuf's own
    // log lines, any sender of such messages could flood the log.
    google::protobuf::SetLogHandler(nullptr);
    wake_in_.bind("inproc://wake");
    wake_out_.connect("inproc://wake");
  }

  ~Worker() { Stop(); }

  base::Status Start() {
    if (options_.bind.port != 0) {
      router_.emplace(context_, zmq::socket_type::router);
      Configure(*router_, closes_idle_connections());
      router_->set(zmq::sockopt::curve_server, 1);
      router_->set(zmq::sockopt::curve_secretkey, keys_.secret_key);
      try {
        router_->bind(Endpoint(options_.bind));
      } catch (const zmq::error_t& error) {
        return base::Error{base::Code::kBadSetting,
                           "address " + net::ToString(options_.bind) +
                               " cannot be bound: " + error.what()};
      }
    }
    thread_ = std::thread([this] { Run(); });
    return base::Unit{};
  }

  void Stop() {
    stopping_ = true;
    Wake();
    if (thread_.joinable())
      thread_.join();
  }

  void Post(Command command) {
    bool first = false;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      first = commands_.empty();
      commands_.push_back(std::move(command));
    }
    if (first)
      Wake();
  }

  std::uint64_t Send(const Route& to, Envelope message) {
    const std::uint64_t id = ++last_id_;
    message.set_id(id);
    message.set_sender(options_.sender);
    Post(SendCommand{to, message.SerializeAsString()});
    return id;
  }

  Traffic ReadTraffic() const {
    return {messages_in_, messages_out_, bytes_in_, bytes_out_, rejected_};
  }

 private:
  // A connection that this process opened.
  struct OutgoingConnection {
    zmq::socket_t socket;
    base::MonoTime last_sent;
    // Time of the first message sent since the last one received.
    std::optional<base::MonoTime> unanswered_since;
  };

  bool closes_idle_connections() const {
    return options_.idle_timeout.count() > 0;
  }

  void CloseIdleConnections() {
    if (!closes_idle_connections())
      return;
    const base::MonoTime now = std::chrono::steady_clock::now();
    for (auto dealer = dealers_.begin(); dealer != dealers_.end();) {
      const OutgoingConnection& connection = dealer->second;
      const bool idle = now - connection.last_sent > options_.idle_timeout;
      const bool unresponsive =
          connection.unanswered_since &&
          now - *connection.unanswered_since > kReplyTimeout;
      dealer =
          idle || unresponsive ? dealers_.erase(dealer) : std::next(dealer);
    }
  }

  void Wake() {
    std::lock_guard<std::mutex> lock(wake_mutex_);
    wake_out_.send(zmq::message_t(), zmq::send_flags::dontwait);
  }

  void Run() {
    while (!stopping_) {
      std::vector<zmq::pollitem_t> items;
      std::vector<net::Address> addresses;
      items.push_back({wake_in_.handle(), 0, ZMQ_POLLIN, 0});
      if (router_)
        items.push_back({router_->handle(), 0, ZMQ_POLLIN, 0});
      const std::size_t first_dealer = items.size();
      for (auto& [address, dealer] : dealers_) {
        items.push_back({dealer.socket.handle(), 0, ZMQ_POLLIN, 0});
        addresses.push_back(address);
      }
      zmq::poll(items, std::chrono::milliseconds(1000));
      if (items[0].revents != 0)
        DrainWakeMessages();
      if (router_ && items[1].revents != 0)
        ReceiveFromAccepted();
      for (std::size_t i = first_dealer; i < items.size(); ++i) {
        if (items[i].revents != 0)
          ReceiveFromOutgoing(addresses[i - first_dealer]);
      }
      RunCommands();
      CloseIdleConnections();
    }
    dealers_.clear();
    router_.reset();
  }

  void DrainWakeMessages() {
    zmq::message_t ignored;
    while (wake_in_.recv(ignored, zmq::recv_flags::dontwait)) {
    }
  }

  void ReceiveFromAccepted() {
    for (int i = 0; i < kMaxMessagesPerPoll; ++i) {
      zmq::message_t identity;
      zmq::message_t payload;
      if (!router_->recv(identity, zmq::recv_flags::dontwait))
        return;
      if (!identity.more() ||
          !router_->recv(payload, zmq::recv_flags::dontwait))
        continue;
      Route from;
      from.peer_identity = identity.to_string();
      Deliver(from, payload);
    }
  }

  void ReceiveFromOutgoing(const net::Address& address) {
    const auto found = dealers_.find(address);
    if (found == dealers_.end())
      return;
    for (int i = 0; i < kMaxMessagesPerPoll; ++i) {
      zmq::message_t payload;
      if (!found->second.socket.recv(payload, zmq::recv_flags::dontwait))
        return;
      found->second.unanswered_since.reset();
      Route from;
      from.remote_address = address;
      Deliver(from, payload);
    }
  }

  void Deliver(const Route& from, const zmq::message_t& payload) {
    Envelope envelope;
    ++messages_in_;
    bytes_in_ += payload.size();
    if (!envelope.ParseFromArray(payload.data(),
                                 static_cast<int>(payload.size()))) {
      ++rejected_;
      return;
    }
    handler_(from, std::move(envelope));
  }

  void RunCommands() {
    std::deque<Command> commands;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      commands.swap(commands_);
    }
    for (const Command& command : commands) {
      std::visit(Overloaded{[this](const ConnectCommand& connect) {
                              Connect(connect.address);
                            },
                            [this](const DisconnectCommand& disconnect) {
                              dealers_.erase(disconnect.address);
                            },
                            [this](const SendCommand& send) { SendNow(send); }},
                 command);
    }
  }

  OutgoingConnection& Connect(const net::Address& address) {
    const auto found = dealers_.find(address);
    if (found != dealers_.end())
      return found->second;
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    Configure(socket, closes_idle_connections());
    socket.set(zmq::sockopt::curve_serverkey, keys_.public_key);
    socket.set(zmq::sockopt::curve_publickey, keys_.public_key);
    socket.set(zmq::sockopt::curve_secretkey, keys_.secret_key);
    const auto mapped = options_.address_map.find(net::ToString(address));
    socket.connect(mapped == options_.address_map.end()
                       ? Endpoint(address)
                       : "tcp://" + mapped->second);
    OutgoingConnection connection{
        std::move(socket), std::chrono::steady_clock::now(), std::nullopt};
    return dealers_.emplace(address, std::move(connection)).first->second;
  }

  void SendNow(const SendCommand& send) {
    bool sent = false;
    if (send.to.remote_address.port != 0) {
      OutgoingConnection& dealer = Connect(send.to.remote_address);
      dealer.last_sent = std::chrono::steady_clock::now();
      if (!dealer.unanswered_since)
        dealer.unanswered_since = dealer.last_sent;
      sent = dealer.socket
                 .send(zmq::buffer(send.payload), zmq::send_flags::dontwait)
                 .has_value();
    } else if (router_) {
      sent = SendToAccepted(send);
    }
    if (sent) {
      ++messages_out_;
      bytes_out_ += send.payload.size();
    }
  }

  bool SendToAccepted(const SendCommand& send) {
    try {
      const std::array<zmq::const_buffer, 2> parts = {
          zmq::buffer(send.to.peer_identity), zmq::buffer(send.payload)};
      if (!router_->send(parts[0],
                         zmq::send_flags::sndmore | zmq::send_flags::dontwait))
        return false;
      return router_->send(parts[1], zmq::send_flags::dontwait).has_value();
    } catch (const zmq::error_t&) {
      return false;  // the peer has disconnected
    }
  }

  static constexpr int kMaxMessagesPerPoll = 256;  // per socket

  const Options options_;
  const Handler handler_;
  const KeyPair keys_;
  zmq::context_t context_{1};
  zmq::socket_t wake_in_;
  zmq::socket_t wake_out_;
  std::mutex wake_mutex_;
  std::optional<zmq::socket_t> router_;
  std::map<net::Address, OutgoingConnection> dealers_;
  std::mutex mutex_;
  std::deque<Command> commands_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> last_id_{0};
  std::atomic<std::uint64_t> messages_in_{0};
  std::atomic<std::uint64_t> messages_out_{0};
  std::atomic<std::uint64_t> bytes_in_{0};
  std::atomic<std::uint64_t> bytes_out_{0};
  std::atomic<std::uint64_t> rejected_{0};
  std::thread thread_;
};

Bus::Bus(Options options, Handler handler)
    : worker_(
          std::make_unique<Worker>(std::move(options), std::move(handler))) {}

Bus::~Bus() = default;

base::Status Bus::Start() {
  return worker_->Start();
}

void Bus::Stop() {
  worker_->Stop();
}

Route Bus::Connect(const net::Address& address) {
  worker_->Post(ConnectCommand{address});
  Route route;
  route.remote_address = address;
  return route;
}

void Bus::Disconnect(const Route& route) {
  if (route.remote_address.port != 0)
    worker_->Post(DisconnectCommand{route.remote_address});
}

std::uint64_t Bus::Send(const Route& to, Envelope message) {
  return worker_->Send(to, std::move(message));
}

void Bus::Reply(const Route& to, std::uint64_t id, Envelope message) {
  message.set_in_reply_to(id);
  worker_->Send(to, std::move(message));
}

Bus::Traffic Bus::ReadTraffic() const {
  return worker_->ReadTraffic();
}

}  // namespace dandelionmill::wire
