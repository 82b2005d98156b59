#ifndef SRC_DANDELIONMILL_PEER_LOAD_EXCHANGE_H_
#define SRC_DANDELIONMILL_PEER_LOAD_EXCHANGE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/net/address.h"
#include "dandelionmill/peer/owner_ranking.h"
#include "dandelionmill/scheduling/peer_loads.h"

namespace dandelionmill::peer {

// A decoded report.
struct LoadReport {
  std::string process;
  std::uint64_t number = 0;
  std::vector<scheduling::InstanceLoad> loads;
};

// Returns the datagram of a report, in MessagePack.
std::string EncodeLoadReport(const LoadReport& report);
// Fails with kMalformedMessage.
base::Result<LoadReport> DecodeLoadReport(const std::string& datagram);

// Sends the load that this instance causes at backend servers to other
// instances over UDP, and receives theirs. A datagram holds all that an
// instance reports, so that none depends on an earlier one.
class LoadExchange {
 public:
  // Most instances that get one report. In a larger fleet each gets every
  // second or third report, so that an instance sends and receives a bounded
  // number of datagrams whatever the size of the fleet.
  static constexpr std::size_t kMaxTargets = 24;
  // Most backend servers in one report: those with most in progress.
  static constexpr std::size_t kMaxLoads = 48;

  using Handler = std::function<void(LoadReport)>;

  // `loop` must outlive this. `process` identifies this process.
  LoadExchange(boost::asio::io_context& loop,
               std::string process,
               std::uint64_t seed,
               Handler handler);

  // Commands.
  // Fails with kBadSetting when the address cannot be bound. Instances listen
  // at the port after that of Instance::address.
  base::Status Listen(const net::Address& instance_address);
  void SetInstances(std::vector<Instance> others);
  // Sends `loads` to the other instances, or to kMaxTargets of them at random.
  void Send(std::vector<scheduling::InstanceLoad> loads);

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  void Receive();

  const std::string process_;
  const Handler handler_;
  boost::asio::ip::udp::socket socket_;
  Endpoint sender_;
  std::array<char, 2048> buffer_{};
  std::vector<Endpoint> others_;
  std::uint64_t number_ = 0;
  std::mt19937_64 random_;
};

}  // namespace dandelionmill::peer

#endif  // SRC_DANDELIONMILL_PEER_LOAD_EXCHANGE_H_
