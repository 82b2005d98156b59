#include "dandelionmill/control/internal/budget_backend_inspector.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace dandelionmill::control {
namespace {

using LookupResult = BackendInspector::LookupResult;
using Lookup = BackendInspector::Lookup;
using RecordState = BackendInspector::RecordState;

constexpr std::chrono::milliseconds kCallTimeout{1000};
constexpr int kNotFound = 404;
constexpr int kOk = 200;

LookupResult ParseRecord(const base::AttemptId& attempt,
                         const httplib::Result& response) {
  LookupResult result;
  result.attempt = attempt;
  if (response && response->status == kNotFound)
    result.state = RecordState::kNoRecord;
  if (!response || response->status != kOk)
    return result;
  const auto record = nlohmann::json::parse(response->body, nullptr, false);
  if (!record.is_object())
    return result;
  result.prompt_tokens = record.value("prompt_tokens", base::Tokens{0});
  result.completion_tokens = record.value("completion_tokens", base::Tokens{0});
  result.state = record.value("state", "") == "completed"
                     ? RecordState::kCompleted
                     : RecordState::kCancelled;
  return result;
}

bool IsRunning(const httplib::Result& response) {
  if (!response || response->status != kOk)
    return false;
  const auto record = nlohmann::json::parse(response->body, nullptr, false);
  return record.is_object() && record.value("state", "") == "running";
}

LookupResult LookUpOnBackend(const base::AttemptId& attempt,
                             const net::Address& backend) {
  httplib::Client client(backend.host, backend.port);
  client.set_connection_timeout(kCallTimeout);
  client.set_read_timeout(kCallTimeout);
  client.set_write_timeout(kCallTimeout);
  const std::string path = "/v1/attempts/" + attempt.value();
  const httplib::Result found = client.Get(path);
  if (!IsRunning(found))
    return ParseRecord(attempt, found);
  const httplib::Result cancelled = client.Delete(path);
  if (!IsRunning(cancelled))
    return ParseRecord(attempt, cancelled);
  LookupResult undetermined;
  undetermined.attempt = attempt;
  return undetermined;
}

// One final record is sufficient; kNoRecord requires a reply from all servers.
LookupResult LookUpOnAll(const Lookup& lookup) {
  LookupResult result;
  result.attempt = lookup.attempt;
  bool no_records = !lookup.backends.empty();
  for (const net::Address& backend : lookup.backends) {
    result = LookUpOnBackend(lookup.attempt, backend);
    if (result.state == RecordState::kCompleted ||
        result.state == RecordState::kCancelled)
      return result;
    no_records = no_records && result.state == RecordState::kNoRecord;
  }
  result.state =
      no_records ? RecordState::kNoRecord : RecordState::kUndetermined;
  return result;
}

}  // namespace

BackendInspector::BackendInspector() : workers_(1) {}

void BackendInspector::StartLookup(Lookup lookup) {
  workers_.Add([this, lookup = std::move(lookup)] {
    LookupResult result = LookUpOnAll(lookup);
    std::lock_guard<std::mutex> lock(mutex_);
    results_.push_back(std::move(result));
  });
}

std::vector<LookupResult> BackendInspector::TakeResults() {
  std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(results_, {});
}

}  // namespace dandelionmill::control
