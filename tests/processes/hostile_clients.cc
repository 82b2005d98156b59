// Clients that nobody controls make a gateway hold input, unfinished bodies or
// responses without bound, until the process is ended for want of memory or
// accepts no connections. One case for each argument. A case checks only that
// the process is alive, that its resident memory and its open descriptors stay
// under the limits of its machine, and that one ordinary request is answered
// afterwards.
#include <sys/resource.h>

#include "tests/processes/support/model_engine.h"
#include "tests/processes/support/raw_clients.h"

using namespace standin;  // NOLINT(google-build-using-namespace)

namespace {

// Limits of the machine, and the configuration's limit of a body.
constexpr long kMemoryMb = 64;
#ifdef SANITIZED
// A sanitizer's own memory is some 100 MB and several times what is freed, so
// that a sanitized process shows the accesses only.
constexpr long kMemoryBoundMb = 1024;
#else
constexpr long kMemoryBoundMb = kMemoryMb;
#endif
constexpr long kDescriptors = 1000;
constexpr std::size_t kMaxBodyBytes = 1000000;

// The crowd. In sum, each case sends well over the memory of the machine.
constexpr int kFramingClients = 4;
constexpr std::size_t kFramingBytes = 24 << 20;
constexpr int kBodyClients = 100;
constexpr std::size_t kShortBy = 2000;
constexpr int kOverLimitClients = 20;
constexpr std::size_t kOverLimitBytes = 8 << 20;
constexpr int kSlowReaders = 100;
constexpr std::size_t kLargeResponseBytes = 8 << 20;

// Connections over the descriptors of a smaller machine.
constexpr long kFewDescriptors = 320;
constexpr int kIdleClients = 400;

// Connections to the port for other instances and to that of the status pages.
constexpr int kOtherClients = 400;
constexpr int kMetricsPort = 9464;

// Descriptors of a process that has run out of them, and the log lines about
// it that are few.
constexpr rlim_t kExhaustedDescriptors = 64;
constexpr int kMaxAcceptFailedLines = 20;

constexpr std::size_t kLargestBodyBytes = 4 << 20;

// How long a backend server works on a request to /busy/.
constexpr double kBusyMs = 4000;

// Bounds on the duration of a case, which is not asserted.
constexpr milliseconds kSendLimit{20000};
constexpr milliseconds kHold{1500};
// The ordinary request is repeated where it was refused as not run.
constexpr int kOrdinaryTries = 100;
constexpr double kOrdinaryPauseMs = 250;

// Answers every request, those to /large/ with a large body, those to /busy/
// late.
class Backend {
 public:
  explicit Backend(const std::string& ip)
      : server_(ip, 0, [](const ConnPtr& connection) { Serve(connection); }) {}
  std::string address() const { return server_.address(); }

 private:
  static void Serve(const ConnPtr& connection) {
    static const std::string large(kLargeResponseBytes, 'r');
    Message request;
    while (connection->Read(request, Clock::now() + std::chrono::seconds(60))) {
      if (request.Target().rfind("/busy/", 0) == 0)
        SleepMs(kBusyMs);
      const bool is_large = request.Target().rfind("/large/", 0) == 0;
      const std::string body =
          is_large ? "" : "got " + std::to_string(request.body.size());
      const std::size_t length = is_large ? large.size() : body.size();
      if (!connection->Send(
              "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Field("Attempt-Id") +
              "\r\nServer-Signature: s.i-1\r\nContent-Length: " +
              std::to_string(length) + "\r\n\r\n") ||
          !connection->Send(is_large ? large : body))
        return;
    }
  }

  Server server_;
};

json Route(const std::string& name) {
  return {{"name", name},     {"host", "case.example"}, {"prefix", "/" + name},
          {"kind", "unsafe"}, {"service", "rounds"},    {"attempts", 1},
          {"priority", 2},    {"targetLatencyMs", 300}, {"timeoutMs", 30000}};
}

std::string Head(const std::string& path, const std::string& framing) {
  const std::string id = RandomId();
  return "POST /" + path + "/" + id +
         " HTTP/1.1\r\nHost: case.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Milliseconds: 30000\r\nAuthorization: Bearer key-a\r\n" +
         framing + "\r\n\r\n";
}

std::string ChunkedHead() {
  return Head("small", "Transfer-Encoding: chunked");
}

std::string Hex(std::size_t number) {
  char text[24];
  std::snprintf(text, sizeof(text), "%zx", number);
  return text;
}

std::string OrdinaryRequest() {
  return Head("small", "Content-Length: 5") + "hello";
}

// One chunk of the largest size, without its last bytes.
RawScript LargeChunk(const std::string& before) {
  return {before + ChunkedHead() + Hex(kMaxBodyBytes) + "\r\n",
          std::string(8192, 'b'), kMaxBodyBytes - kShortBy};
}

// Chunks of 8 bytes, less than the largest body.
RawScript SmallChunks(const std::string& before) {
  const std::string chunk = "8\r\nabcdefgh\r\n";
  return {before + ChunkedHead(), chunk,
          (kMaxBodyBytes - kShortBy) / 8 * chunk.size()};
}

RawScript Trailers(const std::string& before) {
  return {before + ChunkedHead() + "5\r\nhello\r\n0\r\n",
          "X-Trailer: " + std::string(1000, 't') + "\r\n", kFramingBytes};
}

class Case {
 public:
  Case(long descriptors, std::size_t max_body_bytes)
      : folder_(TemporaryFolder()),
        descriptors_(descriptors),
        store_(Ip(200)),
        backend_(Ip(101)) {
    store_.Put("servers", "i-1",
               EngineEntry("rounds", backend_.address(), 200, 1780000000001));
    json state = ModelState(
        11, json::array({Route("small"), Route("large"), Route("busy")}),
        json::array({{{"name", "tenant-a"}, {"apiKeys", {"key-a"}}}}), "model",
        8);
    state["limits"]["maxBodyBytes"] = max_body_bytes;
    state["services"].push_back({{"name", "rounds"},
                                 {"healthPath", "/health"},
                                 {"connectionLimit", 2000}});
    store_.Put("op", "config", state);
    gateway_ = std::move(MakeGateways(1, store_.address(), folder_).front());
    gateway_->Set("limits.memoryMb", std::to_string(kMemoryMb));
    gateway_->Set("limits.fileDescriptors", std::to_string(descriptors));
    gateway_->Start();
    if (!gateway_->WaitReady(15)) {
      std::fprintf(stderr, "the gateway is not ready\n");
      std::_Exit(2);
    }
    // The ordinary request must be possible before the crowd comes.
    if (!Ask(OrdinaryRequest())) {
      std::fprintf(stderr, "the gateway serves no request\n");
      std::_Exit(2);
    }
  }

  void Add(int count, const std::function<RawScript()>& script) {
    AddAt(gateway_->port(), count, script);
  }
  void AddAt(int port, int count, const std::function<RawScript()>& script) {
    for (int i = 0; i < count; ++i)
      crowd_.Add(gateway_->ip(), port, script());
  }
  void Drive() {
    crowd_.Drive(kSendLimit, kHold, [this] { Observe(); });
  }
  // Gives each client a further script on its open connection.
  void Continue(const std::function<RawScript(std::size_t)>& script) {
    crowd_.Continue(script);
  }
  void CloseCrowd() { crowd_.Close(); }

  // Sends a request until it is served. Returns whether it was.
  bool Ask(const std::string& request) {
    for (int i = 0; i < kOrdinaryTries; ++i) {
      Message answer;
      const auto connection = Conn::Connect(gateway_->ip(), gateway_->port());
      // A refusal may come before the request is sent in full.
      if (connection) {
        connection->Send(request);
        if (connection->Read(answer, Clock::now() + std::chrono::seconds(31)) &&
            answer.Status() == 200)
          return true;
      }
      SleepMs(kOrdinaryPauseMs);
    }
    return false;
  }

  // Checks the bounds after one ordinary request. Returns the exit status.
  int Finish(const std::string& name, bool is_each_served = true) {
    const bool is_served = Ask(OrdinaryRequest()) && is_each_served;
    Observe();
    const bool is_alive = !gateway_->Wait(milliseconds(0));
    const long lines = CountLogLines("accept_failed");
    std::printf(
        "%s: alive=%d served=%d memory_kb=%ld bound=%ld descriptors=%ld "
        "bound=%ld accept_failed_lines=%ld bound=%d sent_bytes=%zu\n",
        name.c_str(), is_alive ? 1 : 0, is_served ? 1 : 0, memory_kb_,
        kMemoryBoundMb * 1024, most_descriptors_, descriptors_, lines,
        kMaxAcceptFailedLines, crowd_.sent_bytes());
    const bool is_kept = is_alive && is_served && memory_kb_ > 0 &&
                         memory_kb_ <= kMemoryBoundMb * 1024 &&
                         most_descriptors_ <= descriptors_ &&
                         lines <= kMaxAcceptFailedLines;
    crowd_.Close();
    gateway_.reset();
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(folder_);
    else
      std::printf("%s\n", folder_.c_str());
    std::fflush(stdout);
    return is_kept ? 0 : 1;
  }

  Gateway& gateway() { return *gateway_; }

 private:
  void Observe() {
    memory_kb_ =
        std::max(memory_kb_, ProcessStatusKb(gateway_->pid(), "VmHWM"));
    most_descriptors_ =
        std::max(most_descriptors_, ProcessDescriptors(gateway_->pid()));
  }
  long CountLogLines(const std::string& event) const {
    std::ifstream in(gateway_->LogPath());
    long count = 0;
    for (std::string line; std::getline(in, line);)
      count += line.find(event) != std::string::npos ? 1 : 0;
    return count;
  }

  const std::string folder_;
  const long descriptors_;
  Store store_;
  Backend backend_;
  std::unique_ptr<Gateway> gateway_;
  RawCrowd crowd_;
  long memory_kb_ = 0;
  long most_descriptors_ = 0;
};

// A request with the largest body, whatever the sizes of its chunks.
std::string LargestRequest(std::size_t chunk_bytes, const std::string& end) {
  std::string request = ChunkedHead();
  for (std::size_t sent = 0; sent < kLargestBodyBytes; sent += chunk_bytes)
    request +=
        Hex(chunk_bytes) + "\r\n" + std::string(chunk_bytes, 'l') + "\r\n";
  return request + end;
}

int Run(const std::string& name) {
  if (name == "largest_request") {
    Case test(kDescriptors, kLargestBodyBytes);
    const bool is_served =
        test.Ask(Head("small",
                      "Content-Length: " + std::to_string(kLargestBodyBytes)) +
                 std::string(kLargestBodyBytes, 'l')) &&
        test.Ask(
            LargestRequest(kLargestBodyBytes, "0;a=b\r\nX-Sum: 1\r\n\r\n")) &&
        test.Ask(LargestRequest(1, "0\r\n\r\n"));
    return test.Finish(name, is_served);
  }
  if (name == "idle_connections") {
    Case test(kFewDescriptors, kMaxBodyBytes);
    test.Add(kIdleClients, [] { return RawScript{}; });
    test.Add(kIdleClients, [] { return RawScript{"POST /small/"}; });
    test.Drive();
    return test.Finish(name);
  }
  if (name == "descriptors_exhausted") {
    Case test(kDescriptors, kMaxBodyBytes);
    const rlimit limit{kExhaustedDescriptors, kExhaustedDescriptors};
    if (::prlimit(test.gateway().pid(), RLIMIT_NOFILE, &limit, nullptr) != 0)
      return 2;
    test.Add(kOtherClients, [] { return RawScript{}; });
    test.Drive();
    test.CloseCrowd();
    return test.Finish(name);
  }
  if (name == "relay_connections") {
    Case test(kFewDescriptors, kMaxBodyBytes);
    test.AddAt(test.gateway().peer_port(), kOtherClients,
               [] { return RawScript{"POST /"}; });
    test.Drive();
    return test.Finish(name);
  }
  if (name == "status_connections") {
    Case test(kFewDescriptors, kMaxBodyBytes);
    test.AddAt(kMetricsPort, kOtherClients, [] { return RawScript{}; });
    test.AddAt(kMetricsPort, kFramingClients, [] { return Trailers(""); });
    test.Drive();
    return test.Finish(name);
  }
  const std::map<std::string, std::pair<int, std::function<RawScript()>>>
      crowds = {
          {"trailers", {kFramingClients, [] { return Trailers(""); }}},
          {"chunk_extensions",
           {kFramingClients,
            [] {
              return RawScript{ChunkedHead() + "5;a=", std::string(1000, 'e'),
                               kFramingBytes};
            }}},
          {"large_chunks", {kBodyClients, [] { return LargeChunk(""); }}},
          {"small_chunks", {kBodyClients, [] { return SmallChunks(""); }}},
          {"announced_over_limit",
           {kOverLimitClients,
            [] {
              return RawScript{Head("small", "Content-Length: 1000000000"),
                               std::string(8192, 'o'), kOverLimitBytes};
            }}},
          {"sent_over_limit",
           {kOverLimitClients,
            [] {
              return RawScript{
                  ChunkedHead() + Hex(kOverLimitBytes * 2) + "\r\n",
                  std::string(8192, 'o'), kOverLimitBytes};
            }}},
          {"pipelined_connections",
           {kBodyClients,
            [] {
              const std::string before = OrdinaryRequest() + OrdinaryRequest();
              return RandomInt(0, 1) == 0 ? LargeChunk(before)
                                          : SmallChunks(before);
            }}},
          {"complete_bodies",
           {kBodyClients,
            [] {
              RawScript script = {
                  Head("busy",
                       "Content-Length: " + std::to_string(kMaxBodyBytes)),
                  std::string(8192, 'c'), kMaxBodyBytes};
              return script;
            }}},
          {"slow_readers",
           {kSlowReaders,
            [] {
              RawScript script{Head("large", "Content-Length: 5") + "hello"};
              script.reads = false;
              return script;
            }}},
      };
  if (name == "kept_connections") {
    // The first requests are answered before the crowd goes on.
    Case test(kDescriptors, kMaxBodyBytes);
    test.Add(kBodyClients, [] { return RawScript{OrdinaryRequest()}; });
    test.Drive();
    test.Continue([](std::size_t i) {
      return i < kFramingClients ? Trailers("")
             : i % 2 == 0        ? LargeChunk("")
                                 : SmallChunks("");
    });
    test.Drive();
    return test.Finish(name);
  }
  const auto found = crowds.find(name);
  if (found == crowds.end()) {
    std::fprintf(stderr, "unknown case %s\n", name.c_str());
    return 2;
  }
  Case test(kDescriptors, kMaxBodyBytes);
  test.Add(found->second.first, found->second.second);
  test.Drive();
  return test.Finish(name);
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  // Skips the end of the stand-ins' threads.
  std::_Exit(argc == 2 ? Run(argv[1]) : 2);
}
