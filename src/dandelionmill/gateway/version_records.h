#ifndef SRC_DANDELIONMILL_GATEWAY_VERSION_RECORDS_H_
#define SRC_DANDELIONMILL_GATEWAY_VERSION_RECORDS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "dandelionmill/gateway/service_versions.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::gateway {

// Keeps the records of ServiceVersions in a table of the store, one row for
// each version of a service.
class VersionRecords {
 public:
  static constexpr char kTable[] = "versions";

  struct StoreUnavailable {};
  using Result = std::variant<ServiceVersions::Judgement, StoreUnavailable>;
  using Handler = std::function<void(Result)>;

  // `loop`, `versions` and `table` must outlive this.
  VersionRecords(boost::asio::io_context& loop,
                 ServiceVersions& versions,
                 storage::AsyncTable& table,
                 std::uint64_t seed)
      : versions_(versions), table_(table), timer_(loop), random_(seed) {}

  // Commands.
  // Reads the records for the first time.
  void Start();
  // Spreads the first writes of a new version over time among `instances`.
  void SetInstanceCount(int instances) { instance_count_ = instances; }
  // The store was restored from an older copy.
  void OnStoreRestored(std::uint64_t era);
  // Writes what is not recorded yet and deletes what has expired. Call when
  // the registry has been read, and every few hundred milliseconds.
  void Update(base::MonoTime now);

  // Queries.
  // Whether the records have been read.
  bool has_read() const { return has_read_; }
  // Reads the records after this call and determines what they show of the
  // streams of `service` that have begun by now. The handler runs once, never
  // from within the call.
  void Judge(const base::ServiceId& service, Handler handler);

 private:
  struct Waiter {
    base::ServiceId service;
    Handler handler;
  };

  // Reads the records for all waiters.
  void Read();
  // The same after a random delay.
  void ScheduleRead();
  void OnRead(const storage::TableResponse& answer,
              std::vector<Waiter> waiters);
  // Writes the listed versions that are not recorded.
  void Record(base::MonoTime now);
  void OnRecorded(const storage::TableResponse& answer,
                  const std::vector<ServiceVersionRow>& rows,
                  std::optional<std::uint64_t> sent_in);
  // Deletes rows of `answer` that have expired and were not written since.
  void DeleteExpired(const storage::TableResponse& answer, base::MonoTime now);

  ServiceVersions& versions_;
  storage::AsyncTable& table_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  int instance_count_ = 1;
  bool has_read_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_scheduled_ = false;
  std::vector<Waiter> waiters_;
  // The store's time at the last read.
  std::chrono::milliseconds store_time_{0};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_VERSION_RECORDS_H_
