// The store turns one machine away just before engines of a newer version
// start. A stream that began there, at another machine, breaks and is taken up
// at the one whose list of versions is older than the stream: it goes on at the
// old version.
#include "tests/processes/support/model_engine.h"

using namespace standin;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kEngines = 3;
constexpr long kPrompt = 1200;
constexpr long kOutput = 200;
constexpr int kStreams = 60;
constexpr double kEventMs = 40;
// Longer than the time for which machines remember the versions that they have
// seen.
constexpr double kCalmSeconds = 33;

// An engine that writes its version into its events, and can break its streams.
class VersionedEngine {
 public:
  VersionedEngine(int n,
                  const std::string& ip,
                  std::string version,
                  Record& record)
      : id_("i-" + std::to_string(n)),
        version_(std::move(version)),
        born_(1780000000000 + n),
        record_(record),
        server_(ip, 0, [this](ConnPtr connection) { Serve(connection); }) {}

  json Entry() const {
    return EngineEntry("model", server_.address(), 64, born_, version_);
  }
  const std::string& id() const { return id_; }
  // Ends every stream in progress within an event.
  void Break() { boot_.fetch_add(1); }

 private:
  void Serve(const ConnPtr& connection) {
    Message request;
    while (connection->Read(request, Clock::now() + std::chrono::seconds(60))) {
      const std::string id = request.Field("Attempt-Id");
      if (request.first.rfind("GET /api/report", 0) == 0) {
        const std::string report = json{{"born", born_}}.dump();
        connection->Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(report.size()) + "\r\n\r\n" + report);
        continue;
      }
      if (request.Field("Expected-Instance") != id_) {
        connection->Send("HTTP/1.1 421 X\r\nAttempt-Id: " + id +
                         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!Stream(connection, request, id))
        return;
    }
  }
  bool Stream(const ConnPtr& connection,
              const Message& request,
              const std::string& id) {
    const int boot = boot_;
    const long events = kOutput / kTokensPerEvent;
    const long after = std::atol(request.Field("Last-Event-Id").c_str());
    record_.Line("ran id=" + id + " engine=" + id_ + " version=" + version_ +
                 " after=" + std::to_string(after));
    bool is_sent = connection->Send(
        "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: s." +
        id_ +
        "\r\nServer-Load: 1,0,64\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    for (long i = after + 1; i <= events && is_sent && boot == boot_; ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: " + version_ + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      is_sent =
          !connection->PeerLeft() && connection->Send(size + event + "\r\n");
      SleepMs(kEventMs);
    }
    if (is_sent && boot == boot_)
      return connection->Send("0\r\n\r\n");
    connection->Close();
    return false;
  }

  const std::string id_;
  const std::string version_;
  const std::int64_t born_;
  Record& record_;
  std::atomic<int> boot_{0};
  Server server_;
};

struct Seen {
  std::string first_attempt;
  std::set<std::string> versions;
  long events = 0;
  bool is_complete = false;
  int status = 0;
};

// Asks for a stream, or takes up one of which events have arrived.
void Ask(const Gateway& gateway, Record& record, Seen& seen) {
  const std::string id = RandomId();
  const bool is_resume = seen.events > 0;
  if (!is_resume)
    seen.first_attempt = id;
  seen.status = 0;
  const auto connection = Conn::Connect(gateway.ip(), gateway.port());
  if (!connection)
    return;
  const std::string body = "prompt of " + seen.first_attempt;
  record.Line("sent id=" + id + " to=" + gateway.name() +
              " resumes=" + (is_resume ? seen.first_attempt : "") +
              " after=" + std::to_string(seen.events));
  connection->Send(
      "POST /reply/" + seen.first_attempt +
      " HTTP/1.1\r\nHost: case.example\r\nAttempt-Id: " + id +
      "\r\nModel: m\r\nToken-Count: " + std::to_string(kPrompt) + "," +
      std::to_string(kOutput) + "\r\nPrompt-Prefix: " +
      seen.first_attempt.substr(0, 8) + ":" + std::to_string(kPrompt) +
      (is_resume ? "\r\nResumes: " + seen.first_attempt +
                       "\r\nLast-Event-Id: " + std::to_string(seen.events)
                 : "") +
      "\r\nDeadline-Milliseconds: 12000\r\nAuthorization: Bearer key-a\r\n"
      "Connection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  const auto end = Clock::now() + std::chrono::seconds(12);
  Message message;
  if (connection->ReadHead(message, end)) {
    seen.status = message.Status();
    const bool is_whole =
        connection->ReadBody(message, end, [](const Message&) {});
    if (seen.status == 200) {
      seen.is_complete = is_whole;
      std::istringstream lines(message.body);
      for (std::string line; std::getline(lines, line);) {
        if (line.rfind("data: ", 0) == 0) {
          seen.versions.insert(line.substr(6));
          ++seen.events;
        }
      }
    }
  }
  record.Line("answered id=" + id + " status=" + std::to_string(seen.status) +
              " events=" + std::to_string(seen.events) +
              (seen.is_complete ? " complete" : ""));
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  Record record(RecordPath("stream_taken_up_where_versions_are_outdated"));
  const std::string folder = TemporaryFolder();
  Store store(Ip(200));
  std::vector<std::unique_ptr<VersionedEngine>> engines;
  for (int i = 1; i <= 2 * kEngines; ++i) {
    engines.push_back(std::make_unique<VersionedEngine>(
        i, Ip(100 + i), i <= kEngines ? "v1" : "v2", record));
  }
  const auto list = [&](int from, int to) {
    for (int i = from; i < to; ++i) {
      const auto& engine = engines[static_cast<std::size_t>(i)];
      store.Put("servers", engine->id(), engine->Entry());
      record.Line("listed: " + engine->id());
    }
  };
  list(0, kEngines);
  store.Put(
      "op", "config",
      ModelState(11,
                 json::array({StreamRoute("reply", "model", true, 1, 12000)}),
                 json::array({{{"name", "tenant-a"}, {"apiKeys", {"key-a"}}}}),
                 "model", 64));
  std::vector<std::string> doors;
  for (int i = 0; i < 3; ++i)
    doors.push_back(store.DoorAddress(store.AddDoor(Ip(201 + i))));
  auto gateways = MakeGateways(3, store.address(), folder, doors);
  for (auto& gateway : gateways)
    gateway->Start();
  for (auto& gateway : gateways) {
    if (!gateway->WaitReady(15))
      return 2;
  }
  // The registry changes all the time, so that all machines have just read it.
  for (const double end = Seconds() + kCalmSeconds; Seconds() < end;
       SleepMs(100))
    store.Put("servers", engines[0]->id(), engines[0]->Entry());
  if (HasTrouble()) {
    store.TurnAway(0, true);
    record.Line("the store turns " + gateways[0]->name() + " away");
  }
  list(kEngines, 2 * kEngines);
  std::vector<Seen> seen(kStreams);
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      Seen& one = seen[static_cast<std::size_t>(i)];
      // Streams begin at the two machines that the store serves.
      SleepMs(200 + 5 * i);
      Ask(*gateways[static_cast<std::size_t>(1 + i % 2)], record, one);
      // First at the machine that the store turns away, then at the other one.
      for (const int machine : {0, 0, 2 - i % 2}) {
        if (!one.is_complete && one.events > 0)
          Ask(*gateways[static_cast<std::size_t>(machine)], record, one);
      }
    });
  }
  SleepMs(900);
  for (auto& engine : engines)
    engine->Break();
  record.Line("all engines broke their streams");
  for (std::thread& client : clients)
    client.join();
  int taken_up = 0;
  int complete = 0;
  int mixed = 0;
  int began_at_new = 0;
  for (const Seen& one : seen) {
    complete += one.is_complete ? 1 : 0;
    mixed += one.versions.size() > 1 ? 1 : 0;
    taken_up += one.events > 0 && one.status != 0 ? 1 : 0;
    began_at_new += one.versions.count("v2") != 0 ? 1 : 0;
  }
  const std::string result =
      "streams=" + std::to_string(seen.size()) +
      " taken_up=" + std::to_string(taken_up) +
      " began_at_new_version=" + std::to_string(began_at_new) +
      " complete=" + std::to_string(complete) +
      " with_events_of_two_versions=" + std::to_string(mixed);
  record.Line(result);
  std::printf("%s\n", result.c_str());
  gateways.clear();
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(folder);
  else
    std::printf("%s\n", folder.c_str());
  std::fflush(stdout);
  // Without streams that began at the new version, nothing was shown.
  if (began_at_new == 0)
    std::_Exit(2);
  // The machines that the store serves know where the streams go on.
  std::_Exit(mixed > 2 || complete < kStreams / 2 ? 1 : 0);
}
