#ifndef SRC_DANDELIONMILL_IDEMPOTENCY_ATTEMPT_TABLE_H_
#define SRC_DANDELIONMILL_IDEMPOTENCY_ATTEMPT_TABLE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "dandelionmill/base/ids.h"
#include "dandelionmill/base/result.h"
#include "dandelionmill/base/units.h"

namespace dandelionmill::idempotency {

// How long a backend server is assumed to keep the answer of an ended attempt;
// slightly less than model engines guarantee.
inline constexpr std::chrono::milliseconds kAnswerRetention{50000};
// How long an ended attempt stays in the table.
inline constexpr std::chrono::milliseconds kAttemptRetention{600000};
// How long an attempt continues after its caller disconnected, so that a retry
// can attach to it.
inline constexpr std::chrono::milliseconds kCallerReconnectTimeout{5000};

// Identifies a request. Keys are unique within a client account.
struct RequestIdentity {
  base::AccountId account;
  base::RequestKey key;

  friend bool operator<(const RequestIdentity& a, const RequestIdentity& b) {
    return std::tie(a.account, a.key) < std::tie(b.account, b.key);
  }
  friend bool operator==(const RequestIdentity& a, const RequestIdentity& b) {
    return a.account == b.account && a.key == b.key;
  }
};

enum class AttemptState { kGranted, kDispatched, kEnded };

// One execution of a request, as recorded by the control that granted it.
struct Attempt {
  base::AttemptId id;
  RequestIdentity name;
  std::string budget;
  std::string body_sha256;
  bool idempotent = true;
  // Whether the caller chose the key; only then can a retry use the same key.
  bool key_from_caller = false;
  base::RouterId router;
  // The holder whose lease covers the tokens.
  base::HolderId holder;
  std::string service;
  std::string model;
  // Tokens reserved by the original grant, and tokens reserved now.
  base::Tokens granted = 0;
  base::Tokens reserved = 0;
  // A second router that reads the answer. It replaces `router` with its first
  // message about the attempt; until then both have a reservation.
  base::RouterId joining;
  base::Tokens joining_tokens = 0;
  // Set once the attempt was dispatched.
  base::BackendId backend;
  AttemptState state = AttemptState::kGranted;
  // Whether the answer was complete; valid only in state kEnded.
  bool completed = false;
  base::MonoTime granted_at;
  base::MonoTime deadline;
  base::MonoTime ended_at;
  std::optional<base::MonoTime> caller_disconnected_at;
};

// The outcomes of `AttemptTable::Admit`.

// A new attempt is to be started.
struct NewAttempt {
  // An attempt that was granted but not dispatched, and that the new attempt
  // replaces.
  std::optional<base::AttemptId> superseded;
};
// The same router repeated its request because the reply was lost.
struct RepeatGrant {
  base::AttemptId attempt;
};
// The router is to read the answer of the running or completed attempt.
struct AttachTo {
  base::AttemptId attempt;
};
// The request is refused. `ran` states whether it was executed before.
struct Rejected {
  base::Error error;
  base::Ran ran = base::Ran::kNo;
  std::chrono::milliseconds retry_after{0};
};
using Admission = std::variant<NewAttempt, RepeatGrant, AttachTo, Rejected>;

// A router's request to start an attempt.
struct AdmissionRequest {
  RequestIdentity name;
  std::string body_sha256;
  bool idempotent = true;
  base::RouterId router;
  // Whether the router repeats the request because a reply was lost.
  bool resent = false;
};

// Records the attempts of one holder. Does no I/O; not thread-safe.
class AttemptTable {
 public:
  // Queries.
  // Decides on a request by the newest attempt with the same key.
  Admission Admit(const AdmissionRequest& request, base::MonoTime now) const;
  // Returns nullptr when the attempt is not in the table.
  const Attempt* Find(const base::AttemptId& id) const;
  // Returns the attempt that was added last for a request, or nullptr.
  const Attempt* FindNewest(const RequestIdentity& name) const;
  // Calls `visit` for every attempt that has not ended.
  void ForEachRunning(const std::function<void(const Attempt&)>& visit) const;
  std::size_t running() const { return running_; }
  std::size_t size() const { return attempts_.size(); }

  // Commands.
  // Does nothing when an attempt with the same id is in the table.
  void Add(Attempt attempt);
  // Returns nullptr when the attempt is not in the table.
  Attempt* FindMutable(const base::AttemptId& id);
  // Marks an attempt as ended. Returns false when it is not in the table or had
  // already ended.
  bool End(const base::AttemptId& id, bool completed, base::MonoTime now);
  // Removes an attempt that never reached a backend server.
  void Remove(const base::AttemptId& id);
  // Removes attempts that ended more than kAttemptRetention ago.
  void Expire(base::MonoTime now);
  // Removes the attempts that have not ended.
  void RemoveRunning();

 private:
  std::map<base::AttemptId, Attempt> attempts_;
  std::map<RequestIdentity, base::AttemptId> newest_;
  // Ended attempts, ordered by their end time.
  std::multimap<base::MonoTime, base::AttemptId> ended_;
  std::size_t running_ = 0;
};

}  // namespace dandelionmill::idempotency

#endif  // SRC_DANDELIONMILL_IDEMPOTENCY_ATTEMPT_TABLE_H_
