#ifndef TESTS_SOAK_RECORDS_H_
#define TESTS_SOAK_RECORDS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace soak {

// Monotonic time that all processes of the machine share.
using Time = std::chrono::steady_clock::time_point;

enum class Kind {
  // May run more than once.
  kIdempotent,
  kUnsafe,
  kResumableStream,
  kSingleStream,
};

inline bool MayRunAgain(Kind kind) {
  return kind == Kind::kIdempotent || kind == Kind::kResumableStream;
}

// What a caller asked.
struct Ask {
  std::string id;
  Kind kind = Kind::kIdempotent;
  std::string account;
  int gateway = 0;
  // Which process of that gateway answered, counted from its first.
  int boot = 0;
  Time sent{};
  std::chrono::milliseconds time_limit{0};
  std::int64_t prompt_tokens = 0;
  // Of the key, where the configuration changes it; else 0.
  std::uint64_t key_version = 0;
};

// What the caller got.
struct Outcome {
  Time ended{};
  // 0 when the connection ended without an answer.
  int status = 0;
  bool is_complete = false;
  bool has_receipt = false;
  // Whether a success holds exactly the answer to this request.
  bool is_own_answer = false;
  std::int64_t events = 0;
};

struct Exchanged {
  Ask ask;
  Outcome outcome;
};

// What a backend server began to run.
struct Run {
  std::string id;
  std::string account;
  std::string backend;
  Time at{};
  // It broke its answer off, as the soak asked of it.
  bool broke_off = false;
};

// Something that the soak did, while it lasted.
struct Disturbance {
  enum class On { kGateway, kCallerLink, kStore, kBackend };
  // Planned work is no excuse for a cut answer.
  enum class Sort { kPlanned, kUnplanned };
  On on = On::kGateway;
  Sort sort = Sort::kUnplanned;
  // Number of the gateway; -1 for all.
  int target = -1;
  std::string what;
  Time from{};
  Time until{};
};

// A backend server that leaves gets nothing new after some time.
struct Leaving {
  std::string backend;
  Time announced{};
};

// A configuration in force from `stored` on.
struct Version {
  std::uint64_t number = 0;
  Time stored{};
};

struct Records {
  std::vector<Exchanged> exchanges;
  std::vector<Run> runs;
  std::vector<Disturbance> disturbances;
  std::vector<Leaving> leavings;
  std::vector<Version> versions;
  // Prepaid tokens of each account, as last set.
  std::vector<std::pair<std::string, std::int64_t>> prepaid;
};

// A promise that was broken.
struct Breach {
  std::string promise;
  std::string detail;
};

}  // namespace soak

#endif  // TESTS_SOAK_RECORDS_H_
