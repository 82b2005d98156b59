#ifndef SRC_DANDELIONMILL_GATEWAY_STREAM_RECORDS_H_
#define SRC_DANDELIONMILL_GATEWAY_STREAM_RECORDS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/gateway/service_versions.h"
#include "dandelionmill/gateway/stream_versions.h"
#include "dandelionmill/gateway/version_records.h"
#include "dandelionmill/storage/async_table.h"

namespace dandelionmill::gateway {

// Shares with the other instances, and with later processes, at which software
// version streams began, through a table of the store. Only streams of services
// that may have several versions are written. A row of each such service says
// when it last had several, for instances whose software does not read
// VersionRecords.
class StreamRecords {
 public:
  static constexpr char kTable[] = "streams";
  // How long rows are kept; longer than a stream can be resumed.
  static constexpr std::chrono::seconds kLifetime{60};

  // The version that began the stream, and how it is known.
  struct Found {
    enum class Source {
      // The stream began at this instance.
      kOwnStream,
      // All streams of the service began at that version.
      kOnlyVersion,
      // Another instance or an earlier process has written it.
      kRecord,
    };
    std::string version;
    Source source = Source::kOwnStream;
  };
  // No version can be named.
  struct Unknown {};
  struct StoreUnavailable {};
  using Result = std::variant<Found, Unknown, StoreUnavailable>;
  using Handler = std::function<void(Result)>;

  // Returns the name for logs, such as "own_stream".
  static const char* ToString(Found::Source source);

  // The parts of the process that are used. All must outlive this.
  struct Parts {
    boost::asio::io_context& loop;
    StreamVersions& versions;
    const ServiceVersions& service_versions;
    VersionRecords& version_records;
    storage::AsyncTable& table;
  };

  StreamRecords(Parts parts, base::MonoTime started_at)
      : versions_(parts.versions),
        service_versions_(parts.service_versions),
        version_records_(parts.version_records),
        table_(parts.table),
        timer_(parts.loop),
        started_at_(started_at) {}

  // Commands.
  // Shares the rate of transactions of the table among `instances`.
  void SetInstanceCount(int instances) {
    min_interval_ = instances * kIntervalPerInstance;
  }
  // The first event of a stream has arrived: writes its version as soon as the
  // rate allows, since all instances may lose power at any moment.
  void OnBegun(const base::AttemptId& attempt,
               StreamVersions::Beginning beginning,
               base::MonoTime now);
  // Writes what was not written yet, and deletes rows that are no longer
  // needed.
  void Publish(base::MonoTime now);
  // Publishes if the rate allows. Call from time to time.
  void Tick(base::MonoTime now);
  // Deletes rows that ended processes have left.
  void DeleteOldRows();

  // Query. Determines the version that began the stream of `attempt`, from this
  // instance's knowledge of its own streams or else from the store as it is
  // after the call. The handler runs once, perhaps from within the call.
  void Find(const base::AttemptId& attempt,
            const base::ServiceId& service,
            Handler handler);

 private:
  struct Written {
    storage::RowKey key;
    base::MonoTime at;
  };

  // The fleet's transactions all change one part of the table, of which the
  // store allows some hundreds per second.
  static constexpr std::chrono::milliseconds kIntervalPerInstance{5};

  // Calls Publish at the earliest time that the rate allows.
  void SchedulePublish(base::MonoTime now);
  void AddMixedServices(storage::RowChange& change, base::MonoTime now);
  // `if_missing` is the result if there is no row of the stream.
  void ReadStreamRow(const base::AttemptId& attempt,
                     Result if_missing,
                     Handler handler);
  // All streams of the service have begun at `version`, as far as instances
  // wrote records of versions.
  void OnOnlyVersion(const base::ServiceId& service,
                     const std::string& version,
                     Handler handler);
  std::chrono::milliseconds EstimateStoreTime(base::MonoTime now) const;

  StreamVersions& versions_;
  const ServiceVersions& service_versions_;
  VersionRecords& version_records_;
  storage::AsyncTable& table_;
  boost::asio::steady_timer timer_;
  const base::MonoTime started_at_;
  bool is_scheduled_ = false;
  bool is_writing_ = false;
  // Streams began while a transaction was in progress.
  bool is_behind_ = false;
  std::chrono::milliseconds min_interval_ = kIntervalPerInstance;
  base::MonoTime published_at_{};
  // Rows of a transaction that failed, to be written again.
  std::vector<storage::RowChange::Put> unwritten_;
  std::deque<Written> written_;
  std::map<base::ServiceId, base::MonoTime> service_row_written_at_;
  std::chrono::milliseconds store_time_{0};
  base::MonoTime store_time_received_at_{};
};

}  // namespace dandelionmill::gateway

#endif  // SRC_DANDELIONMILL_GATEWAY_STREAM_RECORDS_H_
