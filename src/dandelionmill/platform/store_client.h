#ifndef SRC_DANDELIONMILL_PLATFORM_STORE_CLIENT_H_
#define SRC_DANDELIONMILL_PLATFORM_STORE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dandelionmill/net/address.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::platform {

// Client of the platform's store over persistent HTTP/1.1 connections, each
// used for one call at a time. The timeout of a call limits the time until its
// response begins; after that, the response may take as long as it arrives
// without a long pause and not too slowly, so that its size does not matter.
// When a call times out, its connection and all idle connections are closed,
// since the idle ones may have stalled as well.
class StoreClient : public storage::AsyncTable {
 public:
  // `loop` must outlive the client.
  StoreClient(boost::asio::io_context& loop, net::Address store);
  ~StoreClient() override;

  void Commit(storage::RowChange change,
              std::chrono::milliseconds timeout,
              Handler handler) override;
  void Read(const std::string& table,
            const std::string& part,
            const std::string& from_key,
            std::chrono::milliseconds timeout,
            Handler handler) override;
  void ReadRow(const storage::RowKey& key,
               std::chrono::milliseconds timeout,
               Handler handler) override;
  void Follow(const std::string& table,
              std::uint64_t version,
              std::chrono::milliseconds wait,
              std::chrono::milliseconds timeout,
              std::size_t max_bytes,
              Handler handler) override;

  // What the calls for one table have taken since construction.
  struct TableUse {
    std::uint64_t calls = 0;
    // Bytes of bodies, including those of calls that failed.
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
  };

  // Number of calls started since construction.
  std::uint64_t calls() const { return calls_; }
  // By table. A commit counts for the table of its first row.
  const std::map<std::string, TableUse>& use_by_table() const {
    return use_by_table_;
  }

 private:
  class Call;
  struct Connection;

  void StartCall(bool is_commit,
                 const std::string& table,
                 std::string target,
                 std::string body,
                 std::chrono::milliseconds timeout,
                 std::size_t max_bytes,
                 Handler handler);

  // Logs that the store was restored from an older copy.
  void ObserveEra(std::uint64_t era, std::uint64_t version);

  boost::asio::io_context& loop_;
  const net::Address store_;
  std::vector<std::unique_ptr<Connection>> idle_;
  std::uint64_t calls_ = 0;
  std::map<std::string, TableUse> use_by_table_;
  // The latest era that a response named, and its newest version.
  std::optional<std::uint64_t> era_;
  std::uint64_t newest_version_ = 0;
  // Shared with pending calls, which check it before they access the client.
  // The destructor sets it to null.
  std::shared_ptr<StoreClient*> self_;
};

}  // namespace dandelionmill::platform

#endif  // SRC_DANDELIONMILL_PLATFORM_STORE_CLIENT_H_
