#ifndef SRC_DANDELIONMILL_CONTROL_PLATFORM_IO_H_
#define SRC_DANDELIONMILL_CONTROL_PLATFORM_IO_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "dandelionmill/base/result.h"
#include "dandelionmill/base/worker_pool.h"
#include "dandelionmill/storage/circuit_breaker.h"
#include "dandelionmill/storage/instance_list.h"
#include "dandelionmill/storage/object_store.h"
#include "dandelionmill/storage/table_store.h"

namespace dandelionmill::control {

// Makes the blocking calls to the platform on its own threads and passes each
// result back to the control thread. While a service of the platform is
// unavailable, calls to it other than probes fail with kStoreUnavailable
// without being sent.
class PlatformIo {
 public:
  // Runs a function on the control thread.
  using Post = std::function<void(std::function<void()>)>;
  template <class T>
  using Done = std::function<void(base::Result<T>)>;

  PlatformIo(std::shared_ptr<storage::TableStore> table,
             std::shared_ptr<storage::ObjectStore> objects,
             std::shared_ptr<storage::InstanceList> instances,
             int threads,
             Post post);
  PlatformIo(const PlatformIo&) = delete;
  PlatformIo& operator=(const PlatformIo&) = delete;

  // Each call returns at once; `done` is called later on the control thread,
  // with the result or error of the platform call of the same name.
  void Read(const std::string& key, Done<storage::Row> done);
  void Scan(const std::string& prefix,
            const std::string& after,
            int limit,
            Done<std::vector<storage::Row>> done);
  void Commit(storage::Transaction transaction, Done<base::Unit> done);
  void Get(const std::string& name, Done<std::string> done);
  void Put(const std::string& name, std::string content, Done<base::Unit> done);
  void List(Done<std::vector<storage::ListedInstance>> done);

  // Returns the number of calls whose result has not been posted yet.
  int calls_in_progress() const { return calls_in_progress_; }

 private:
  // The circuit breaker of one service. Thread-safe.
  class ServiceBreaker {
   public:
    // `service` is the name for log events.
    explicit ServiceBreaker(const char* service) : service_(service) {}

    storage::CircuitBreaker::Permit TryBegin();
    bool IsOpen();
    void OnEnd(bool responded);

   private:
    const char* const service_;
    std::mutex mutex_;
    storage::CircuitBreaker breaker_;
  };

  template <class T>
  void Run(ServiceBreaker& breaker,
           std::function<base::Result<T>()> call,
           Done<T> done);

  const std::shared_ptr<storage::TableStore> table_;
  const std::shared_ptr<storage::ObjectStore> objects_;
  const std::shared_ptr<storage::InstanceList> instances_;
  const Post post_;
  std::atomic<int> calls_in_progress_{0};
  ServiceBreaker table_breaker_{"table"};
  ServiceBreaker objects_breaker_{"objects"};
  ServiceBreaker instances_breaker_{"instances"};
  base::WorkerPool workers_;
};

}  // namespace dandelionmill::control

#endif  // SRC_DANDELIONMILL_CONTROL_PLATFORM_IO_H_
