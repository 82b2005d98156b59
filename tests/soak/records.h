#ifndef TESTS_SOAK_RECORDS_H_
#define TESTS_SOAK_RECORDS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace soak {

// Monotonic clock, shared by all processes of the machine.
using Time = std::chrono::steady_clock::time_point;

enum class Kind {
  // May run more than once, like kResumableStream.
  kIdempotent,
  kUnsafe,
  kResumableStream,
  kSingleStream,
};

// Requests per second that a limited backend server accepts.
inline constexpr double kRequestLimit = 4;

// How long a backend server turns requests away when it asks for a pause.
inline constexpr std::chrono::milliseconds kPauseTime{3000};

// Software versions of backend servers, which serve side by side. The last one
// comes with a release, the others are there from the start.
inline const std::array<std::string, 3> kSoftwareVersions = {"v1", "v2", "v3"};
inline constexpr std::size_t kFirstSoftwareVersions = 2;
inline constexpr std::size_t kReleasedSoftwareVersion = 2;

inline bool IsRetryable(Kind kind) {
  return kind == Kind::kIdempotent || kind == Kind::kResumableStream;
}

inline bool IsStream(Kind kind) {
  return kind == Kind::kResumableStream || kind == Kind::kSingleStream;
}

// A request that a caller sent.
struct Request {
  std::string id;
  Kind kind = Kind::kIdempotent;
  std::string account;
  int gateway = 0;
  // Sequence number of the gateway's process, starting at 1.
  int boot = 0;
  Time sent{};
  std::chrono::milliseconds time_limit{0};
  std::int64_t prompt_tokens = 0;
  // Configuration version of the API key if the configuration changes the
  // key, otherwise 0.
  std::uint64_t key_version = 0;
  // The first version with the requested route and the first without it again;
  // both 0 for a route that all versions have.
  std::uint64_t route_from = 0;
  std::uint64_t route_until = 0;
  // A shared prompt part that crashes backend servers; empty for none.
  std::string crashing_part;
  // The request that began the stream which this one takes up after
  // `after_event`; empty for none.
  std::string resumes;
  std::int64_t after_event = 0;
  // The caller closes the connection in the middle of the response.
  bool hangs_up = false;
};

// The response that a caller received.
struct Outcome {
  Time ended{};
  // HTTP status; 0 if the connection ended without a response.
  int status = 0;
  bool is_complete = false;
  bool has_signature = false;
  // Whether a successful response has exactly the body expected for this
  // request.
  bool has_expected_body = false;
  std::int64_t events = 0;
  // Software versions of a stream's events.
  std::set<std::string> versions;
  // False if an event of a stream is missing, repeated or out of order.
  bool is_in_order = true;
};

struct Exchange {
  Request request;
  Outcome outcome;
};

// The execution of a request by a backend server.
struct Run {
  std::string id;
  std::string account;
  std::string backend;
  Time started{};
  // The backend server broke off the response as an injected failure.
  bool was_broken_off = false;
  // The event after which a stream went on; 0 for one that begins.
  std::int64_t after_event = 0;
};

// A fault or maintenance operation of the soak and its duration.
struct Disturbance {
  // kStore keeps gateways from reaching the store. kStoreData affects what a
  // store that can be reached answers.
  enum class Component { kGateway, kCallerLink, kStore, kStoreData, kBackend };
  // Planned maintenance does not justify a truncated response.
  enum class Category { kPlanned, kUnplanned };
  Component component = Component::kGateway;
  Category category = Category::kUnplanned;
  // Number of the gateway; -1 for all gateways.
  int target = -1;
  std::string what;
  Time from{};
  Time until{};
};

// A backend server's announcement that it is draining. It must receive no new
// requests once the drain bound has passed, until it starts again.
struct DrainAnnouncement {
  std::string backend;
  Time announced{};
  Time ended = Time::max();
};

// A time in which a backend server names a request limit, says that it leaves,
// turns requests away and asks for a pause, or is gone and starts again.
struct BackendPeriod {
  std::string backend;
  Time from{};
  Time until{};
};

// A time in which a gateway reached no backend server by itself.
struct GatewayPeriod {
  int gateway = 0;
  Time from{};
  Time until{};
};

// A configuration version and the time at which it was stored.
struct ConfigVersion {
  std::uint64_t number = 0;
  Time stored{};
};

// The build that a gateway runs in an upgrade.
enum class Build { kOld, kNew };

// A process of a gateway: its number and the sequence number of the process.
using GatewayBoot = std::pair<int, int>;

// A violated invariant.
struct Violation {
  std::string invariant;
  std::string detail;
};

struct Records {
  std::vector<Exchange> exchanges;
  std::vector<Run> runs;
  std::vector<Disturbance> disturbances;
  std::vector<DrainAnnouncement> drain_announcements;
  std::vector<ConfigVersion> versions;
  // Requests that a backend server turned away while it asked for a pause.
  std::vector<Run> turned_away;
  std::vector<BackendPeriod> limited_periods;
  std::vector<BackendPeriod> leaving_periods;
  std::vector<BackendPeriod> paused_periods;
  std::vector<BackendPeriod> absences;
  std::vector<GatewayPeriod> partitions;
  // Seen while faults were injected.
  std::vector<Violation> violations;
  // Empty unless the run has an upgrade.
  std::map<GatewayBoot, Build> builds;
  // Account name and prepaid tokens as last configured.
  std::vector<std::pair<std::string, std::int64_t>> prepaid;
};

// Returns the build of a gateway's process in parentheses, or an empty string
// if the run has no upgrade.
inline std::string DescribeBuild(const std::map<GatewayBoot, Build>& builds,
                                 GatewayBoot boot) {
  const auto found = builds.find(boot);
  if (found == builds.end())
    return "";
  return found->second == Build::kOld ? " (old build)" : " (new build)";
}

}  // namespace soak

#endif  // TESTS_SOAK_RECORDS_H_
