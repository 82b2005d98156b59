#include "dandelionmill/routing/quarantine_wire.h"

#include <algorithm>
#include <chrono>

#include "dandelionmill/wire/membership.pb.h"

namespace dandelionmill::routing {
namespace {

constexpr base::Millis kMaxRemaining = std::chrono::hours(24);

using Runs = google::protobuf::RepeatedPtrField<wire::BodyRun>;

void AddRuns(const std::set<BodyRun>& runs, Runs& messages) {
  for (const BodyRun& run : runs) {
    wire::BodyRun& message = *messages.Add();
    message.set_backend(run.backend.value());
    message.set_run(run.run);
  }
}

std::set<BodyRun> ToRuns(const Runs& messages) {
  std::set<BodyRun> runs;
  for (const wire::BodyRun& message : messages)
    runs.insert({base::BackendId(message.backend()), message.run()});
  return runs;
}

}  // namespace

wire::Quarantine ToMessage(const QuarantineRecord& record, base::MonoTime now) {
  wire::Quarantine message;
  message.set_body_sha256(record.body_sha256);
  message.set_remaining_ms(
      std::chrono::duration_cast<base::Millis>(record.expires_at - now)
          .count());
  AddRuns(record.crashed, *message.mutable_crashed_runs());
  AddRuns(record.in_progress, *message.mutable_begun_runs());
  AddRuns(record.cleared, *message.mutable_cleared_runs());
  return message;
}

QuarantineRecord ToRecord(const wire::Quarantine& message, base::MonoTime now) {
  QuarantineRecord record;
  record.body_sha256 = message.body_sha256();
  const base::Millis remaining(message.remaining_ms());
  record.expires_at =
      now + std::clamp(remaining, base::Millis{0}, kMaxRemaining);
  record.crashed = ToRuns(message.crashed_runs());
  record.in_progress = ToRuns(message.begun_runs());
  record.cleared = ToRuns(message.cleared_runs());
  return record;
}

}  // namespace dandelionmill::routing
