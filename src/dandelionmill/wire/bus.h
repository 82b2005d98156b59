#ifndef SRC_DANDELIONMILL_WIRE_BUS_H_
#define SRC_DANDELIONMILL_WIRE_BUS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"

namespace dandelionmill::wire {

class Envelope;

// Identifies the connection over which a message is received or sent: one that
// this process opened or one that it accepted. Messages to a route
// whose connection was closed are dropped.
struct Route {
  // The remote address; port 0 for an accepted connection.
  net::Address remote_address;
  // The identity that ZeroMQ assigned to the peer of an accepted connection.
  std::string peer_identity;

  friend bool operator==(const Route& a, const Route& b) {
    return a.remote_address == b.remote_address &&
           a.peer_identity == b.peer_identity;
  }
  friend bool operator<(const Route& a, const Route& b) {
    return std::tie(a.remote_address, a.peer_identity) <
           std::tie(b.remote_address, b.peer_identity);
  }
};

// Sends and receives envelopes over ZeroMQ on a dedicated thread. Delivery is
// at most once and in order per route. Messages to an unreachable peer are lost
// without an error, so a sender that needs a reply must retry.
class Bus {
 public:
  struct Options {
    // Address to accept connections on; port 0 for a process that only opens
    // connections.
    net::Address bind;
    // Router or holder id of this process, set as sender of each message.
    std::string sender;
    // Secret shared by the fleet. The CURVE keys of all connections are derived
    // from it, so a process without it can neither connect nor read messages.
    std::string fleet_key;
    // Translates the addresses of peers, "ip:port" to "ip:port", for networks
    // in which a peer is reached at another address than it is bound to.
    std::map<std::string, std::string> address_map;
    // With a value above 0, a connection that this process opened is closed
    // when nothing was sent on it for this long or when messages stay
    // unanswered for 5 s, and heartbeats are sent every 30 s only. This suits a
    // process that sends to many peers, but rarely to each. With 0, connections
    // stay open with a heartbeat every second.
    std::chrono::milliseconds idle_timeout{0};
  };
  // Messages and payload bytes since the start.
  struct Traffic {
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    // Messages that could not be decoded.
    std::uint64_t rejected = 0;
  };
  // Called on the bus thread; must return quickly.
  using Handler = std::function<void(const Route& from, Envelope message)>;

  Bus(Options options, Handler handler);
  ~Bus();
  Bus(const Bus&) = delete;
  Bus& operator=(const Bus&) = delete;

  // Fails with kBadSetting when the address cannot be bound.
  base::Status Start();
  void Stop();

  // Opens a connection to `address` unless one exists. Never blocks.
  Route Connect(const net::Address& address);

  // Closes a connection that this process opened; does nothing for others.
  void Disconnect(const Route& route);

  // Sets id and sender of `message` and sends it. Never blocks. Thread-safe.
  // Returns the id, which a reply repeats in `in_reply_to`.
  std::uint64_t Send(const Route& to, Envelope message);

  // Sends `message` as the reply to message `id` of the peer. Like Send
  // otherwise.
  void Reply(const Route& to, std::uint64_t id, Envelope message);

  Traffic ReadTraffic() const;

 private:
  class Worker;
  std::unique_ptr<Worker> worker_;
};

}  // namespace dandelionmill::wire

#endif  // SRC_DANDELIONMILL_WIRE_BUS_H_
