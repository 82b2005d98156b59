#include "dandelionmill/control/platform_io.h"

#include <utility>

#include "dandelionmill/log/event.h"

namespace dandelionmill::control {
namespace {

base::Error CircuitOpenError() {
  return {base::Code::kStoreUnavailable,
          "the service is unavailable; the call was not sent"};
}

// Whether the service responded, be it with an error.
template <class T>
bool IsResponse(const base::Result<T>& result) {
  return base::IsOk(result) ||
         (base::ErrorOf(result).code != base::Code::kStoreUnavailable &&
          base::ErrorOf(result).code != base::Code::kStoreOutcomeUnknown);
}

}  // namespace

PlatformIo::PlatformIo(std::shared_ptr<storage::TableStore> table,
                       std::shared_ptr<storage::ObjectStore> objects,
                       std::shared_ptr<storage::InstanceList> instances,
                       int threads,
                       Post post)
    : table_(std::move(table)),
      objects_(std::move(objects)),
      instances_(std::move(instances)),
      post_(std::move(post)),
      workers_(threads) {}

storage::CircuitBreaker::Permit PlatformIo::ServiceBreaker::TryBegin() {
  std::lock_guard<std::mutex> lock(mutex_);
  return breaker_.TryBegin(std::chrono::steady_clock::now());
}

bool PlatformIo::ServiceBreaker::IsOpen() {
  std::lock_guard<std::mutex> lock(mutex_);
  return breaker_.IsOpen();
}

void PlatformIo::ServiceBreaker::OnEnd(bool responded) {
  std::lock_guard<std::mutex> lock(mutex_);
  const bool was_open = breaker_.IsOpen();
  if (responded)
    breaker_.OnSuccess();
  else
    breaker_.OnFailure();
  if (breaker_.IsOpen() == was_open)
    return;
  log::Event(was_open ? log::Level::kInfo : log::Level::kWarning,
             was_open ? "platform_service_back" : "platform_service_out")
      .With("service", service_);
}

template <class T>
void PlatformIo::Run(ServiceBreaker& breaker,
                     std::function<base::Result<T>()> call,
                     Done<T> done) {
  using Permit = storage::CircuitBreaker::Permit;
  const Permit permit = breaker.TryBegin();
  if (permit == Permit::kNone) {
    post_([done = std::move(done)] { done(CircuitOpenError()); });
    return;
  }
  ++calls_in_progress_;
  workers_.Add(
      [this, &breaker, permit, call = std::move(call), done = std::move(done)] {
        // The service may have become unavailable while the call was queued.
        const bool is_skipped = permit == Permit::kCall && breaker.IsOpen();
        auto result = std::make_shared<base::Result<T>>(
            is_skipped ? base::Result<T>(CircuitOpenError()) : call());
        if (!is_skipped)
          breaker.OnEnd(IsResponse(*result));
        post_([done, result] { done(std::move(*result)); });
        --calls_in_progress_;
      });
}

void PlatformIo::Read(const std::string& key, Done<storage::Row> done) {
  Run<storage::Row>(
      table_breaker_, [this, key] { return table_->Read(key); },
      std::move(done));
}

void PlatformIo::Scan(const std::string& prefix,
                      const std::string& after,
                      int limit,
                      Done<std::vector<storage::Row>> done) {
  Run<std::vector<storage::Row>>(
      table_breaker_, [=] { return table_->Scan(prefix, after, limit); },
      std::move(done));
}

void PlatformIo::Commit(storage::Transaction transaction,
                        Done<base::Unit> done) {
  Run<base::Unit>(
      table_breaker_,
      [this, transaction = std::move(transaction)] {
        return table_->Commit(transaction);
      },
      std::move(done));
}

void PlatformIo::Get(const std::string& name, Done<std::string> done) {
  Run<std::string>(
      objects_breaker_, [this, name] { return objects_->Get(name); },
      std::move(done));
}

void PlatformIo::Put(const std::string& name,
                     std::string content,
                     Done<base::Unit> done) {
  Run<base::Unit>(
      objects_breaker_,
      [this, name, content = std::move(content)] {
        return objects_->Put(name, content);
      },
      std::move(done));
}

void PlatformIo::List(Done<std::vector<storage::ListedInstance>> done) {
  Run<std::vector<storage::ListedInstance>>(
      instances_breaker_, [this] { return instances_->List(); },
      std::move(done));
}

}  // namespace dandelionmill::control
