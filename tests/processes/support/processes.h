#ifndef TESTS_PROCESSES_SUPPORT_PROCESSES_H_
#define TESTS_PROCESSES_SUPPORT_PROCESSES_H_

// Stand-ins for the tests that run gateways as processes: the platform's store,
// clients, and the start of the gateways. They share no code with the gateway.
// Blocking sockets, one thread for each connection, loopback addresses only.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace standin {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void SleepUntil(double seconds) {
  const double left = seconds - Seconds();
  if (left > 0)
    SleepMs(left * 1000);
}

inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// What was sent, answered and run, with seconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof(at), "%9.3f ", Seconds());
    out_ << at << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// Where the record of a test is written.
inline std::string RecordPath(const std::string& test) {
  std::filesystem::create_directories(BINARY_DIR "/processes");
  return BINARY_DIR "/processes/" + test + ".txt";
}

inline std::string Lower(std::string text) {
  for (char& c : text)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

inline int RandomInt(int low, int high) {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  return std::uniform_int_distribution<int>(low, high)(random);
}

inline double RandomShare() {
  return RandomInt(0, 999999) / 1e6;
}

inline std::string RandomId() {
  char text[24];
  std::snprintf(text, sizeof(text), "%08x%08x", RandomInt(0, 0x7fffffff),
                RandomInt(0, 0x7fffffff));
  return text;
}

struct Message {
  std::string first;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(Lower(name));
    return found == fields.end() ? "" : found->second;
  }
  int Status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
  std::string Target() const {
    const auto begin = first.find(' ');
    return first.substr(begin + 1, first.rfind(' ') - begin - 1);
  }
};

// A TCP connection with a read buffer.
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Conn() { Close(); }
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;

  static std::shared_ptr<Conn> Connect(const std::string& ip, int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_shared<Conn>(fd);
  }

  void Close() {
    const int fd = fd_.exchange(-1);
    if (fd >= 0)
      ::close(fd);
  }
  void Reset() {
    const linger now{1, 0};
    const int fd = fd_.load();
    if (fd >= 0)
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  // Wakes a thread that reads.
  void Shutdown() {
    if (fd_ >= 0)
      ::shutdown(fd_, SHUT_RDWR);
  }
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads more bytes. False at the end of the connection or at `deadline`.
  bool Fill(Clock::time_point deadline) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    pollfd item{fd_, POLLIN, 0};
    if (left.count() < 0 ||
        ::poll(&item, 1, static_cast<int>(left.count()) + 1) <= 0) {
      timed_out = true;
      return false;
    }
    char bytes[16384];
    const ssize_t n = ::recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      was_reset = n < 0;
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  // Whether the peer has closed, without reading.
  bool PeerLeft() {
    char byte = 0;
    const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  bool ReadLine(std::string& line, Clock::time_point deadline) {
    for (;;) {
      const auto end = buffer.find('\n');
      if (end != std::string::npos) {
        line = buffer.substr(0, end);
        if (!line.empty() && line.back() == '\r')
          line.pop_back();
        buffer.erase(0, end + 1);
        return true;
      }
      if (!Fill(deadline))
        return false;
    }
  }
  bool ReadHead(Message& message, Clock::time_point deadline) {
    message = Message();
    if (!ReadLine(message.first, deadline))
      return false;
    std::string line;
    for (;;) {
      if (!ReadLine(line, deadline))
        return false;
      if (line.empty())
        return true;
      const auto colon = line.find(':');
      if (colon == std::string::npos)
        return false;
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields[Lower(line.substr(0, colon))] = value;
    }
  }
  bool ReadBytes(std::size_t count,
                 std::string& out,
                 Clock::time_point deadline) {
    while (buffer.size() < count) {
      if (!Fill(deadline))
        return false;
    }
    out += buffer.substr(0, count);
    buffer.erase(0, count);
    return true;
  }
  // Reads a body. `on_bytes` is called as bytes arrive.
  bool ReadBody(Message& message,
                Clock::time_point deadline,
                const std::function<void(const Message&)>& on_bytes = nullptr) {
    if (message.Field("Transfer-Encoding") == "chunked") {
      for (;;) {
        std::string size;
        if (!ReadLine(size, deadline))
          return false;
        const std::size_t count = std::strtoul(size.c_str(), nullptr, 16);
        std::string end;
        if (count == 0)
          return ReadLine(end, deadline);
        if (!ReadBytes(count, message.body, deadline) ||
            !ReadLine(end, deadline))
          return false;
        if (on_bytes)
          on_bytes(message);
      }
    }
    const std::string length = message.Field("Content-Length");
    return length.empty() ||
           ReadBytes(std::strtoul(length.c_str(), nullptr, 10), message.body,
                     deadline);
  }
  bool Read(Message& message, Clock::time_point deadline) {
    return ReadHead(message, deadline) && ReadBody(message, deadline);
  }

  std::string buffer;
  bool timed_out = false;
  bool was_reset = false;

 private:
  std::atomic<int> fd_;
};

using ConnPtr = std::shared_ptr<Conn>;

// Accepts connections and runs a thread for each.
class Server {
 public:
  using Handler = std::function<void(ConnPtr)>;
  Server(std::string ip, int port, Handler handler)
      : ip_(std::move(ip)), port_(port), handler_(std::move(handler)) {
    Open();
  }
  ~Server() { CloseAll(); }

  // Opens the listening socket.
  void Open() {
    const std::lock_guard<std::mutex> lock(mutex_);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port_));
    ::inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
            0 ||
        ::listen(fd_, 512) != 0) {
      std::fprintf(stderr, "cannot bind %s:%d\n", ip_.c_str(), port_);
      std::_Exit(2);
    }
    socklen_t size = sizeof(address);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this, fd = fd_] { Accept(fd); });
  }
  // Closes the listening socket and all connections.
  void CloseAll() {
    std::thread thread;
    std::vector<ConnPtr> open;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (fd_ >= 0)
        ::shutdown(fd_, SHUT_RDWR);
      thread = std::move(thread_);
      for (const auto& weak : connections_) {
        if (auto connection = weak.lock())
          open.push_back(connection);
      }
      connections_.clear();
    }
    for (const ConnPtr& connection : open)
      connection->Shutdown();
    if (thread.joinable())
      thread.join();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (fd_ >= 0)
      ::close(std::exchange(fd_, -1));
  }
  int port() const { return port_; }
  const std::string& ip() const { return ip_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  void Accept(int listening) {
    for (;;) {
      const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      auto connection = std::make_shared<Conn>(fd);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        connections_.erase(
            std::remove_if(connections_.begin(), connections_.end(),
                           [](const auto& weak) { return weak.expired(); }),
            connections_.end());
        connections_.push_back(connection);
      }
      std::thread([this, connection] { handler_(connection); }).detach();
    }
  }

  const std::string ip_;
  int port_;
  const Handler handler_;
  std::mutex mutex_;
  int fd_ = -1;
  std::thread thread_;
  std::vector<std::weak_ptr<Conn>> connections_;
};

inline const char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string EncodeBase64(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j <= text.size() ? kBase64[bits >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}

inline std::string DecodeBase64(const std::string& text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char* at = c == '=' ? nullptr : std::strchr(kBase64, c);
    if (at == nullptr)
      break;
    bits = bits << 6 | static_cast<std::uint32_t>(at - kBase64);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255);
    }
  }
  return out;
}

// The platform's store: rows, transactions, feeds and Store-Era. An answer
// takes `answer_ms`. It can be away and come back from a copy, as in a drill.
class Store {
 public:
  explicit Store(const std::string& ip)
      : server_(ip, 0, [this](ConnPtr connection) { Serve(connection); }) {}
  ~Store() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      is_stopping_ = true;
    }
    changed_.notify_all();
    server_.CloseAll();
    for (const auto& door : doors_)
      door->server->CloseAll();
    SleepMs(100);
  }
  std::string address() const { return server_.address(); }
  double answer_ms = 4;

  // Opens another address of the store, for one machine. Returns its number.
  std::size_t AddDoor(const std::string& ip) {
    doors_.push_back(std::make_unique<Door>());
    Door& door = *doors_.back();
    door.server =
        std::make_unique<Server>(ip, 0, [this, &door](ConnPtr connection) {
          Serve(connection, &door.turns_away);
        });
    return doors_.size() - 1;
  }
  std::string DoorAddress(std::size_t door) const {
    return doors_[door]->server->address();
  }
  // The store answers 503 to the machine at that door, and serves the others.
  void TurnAway(std::size_t door, bool turns_away) {
    doors_[door]->turns_away = turns_away;
    if (turns_away) {
      doors_[door]->server->CloseAll();
      doors_[door]->server->Open();
    }
  }

  // What the operator and the engines write.
  void Put(const std::string& table,
           const std::string& key,
           const json& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++now_.version;
    Set({table, "", key}, value.dump(), false);
    changed_.notify_all();
  }
  void Delete(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++now_.version;
    Set({table, "", key}, "", true);
    changed_.notify_all();
  }
  void TakeCopy() {
    const std::lock_guard<std::mutex> lock(mutex_);
    copy_ = now_;
  }
  // The store is away: nothing listens, open connections end.
  void GoAway() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      is_away_ = true;
    }
    changed_.notify_all();
    server_.CloseAll();
  }
  // Comes back from the copy; the era rises by one. What the operator and the
  // engines had written since is written again.
  void ComeBackFromCopy() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const Content lost = std::exchange(now_, copy_);
      ++era_;
      for (const auto& [key, row] : lost.rows) {
        const auto& table = std::get<0>(key);
        if ((table == "op" || table == "servers") &&
            row.version > copy_.version) {
          ++now_.version;
          Set(key, row.value, row.deleted);
        }
      }
      is_away_ = false;
    }
    server_.Open();
  }
  // The value of a row, or null.
  json Value(const std::string& table,
             const std::string& part,
             const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = now_.rows.find({table, part, key});
    return found == now_.rows.end() || found->second.deleted
               ? json()
               : json::parse(found->second.value, nullptr, false);
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  struct Content {
    std::map<Key, Row> rows;
    std::uint64_t version = 0;
  };

  void Set(const Key& key, const std::string& value, bool deleted) {
    now_.rows[key] = {value, now_.version, deleted};
  }
  static json ToJson(const Key& key, const Row& row) {
    json item = {{"table", std::get<0>(key)},
                 {"part", std::get<1>(key)},
                 {"key", std::get<2>(key)},
                 {"rowVersion", row.version}};
    if (row.deleted)
      item["tombstone"] = true;
    else
      item["value"] = EncodeBase64(row.value);
    return item;
  }
  static std::string Unescape(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  json Envelope() const {
    const auto now =
        std::chrono::duration_cast<milliseconds>(Clock::now() - kStart);
    return {{"rows", json::array()},
            {"rowVersion", now_.version},
            {"nowMs", now.count() + 1000000},
            {"morePages", false}};
  }

  struct Door {
    std::unique_ptr<Server> server;
    std::atomic<bool> turns_away{false};
  };

  void Serve(const ConnPtr& connection,
             const std::atomic<bool>* turns_away = nullptr) {
    Message request;
    while (connection->Read(request, Clock::now() + std::chrono::minutes(5))) {
      SleepMs(answer_ms);
      if (turns_away != nullptr && *turns_away) {
        if (!connection->Send(
                "HTTP/1.1 503 X\r\nStore-Era: " + std::to_string(Era()) +
                "\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      int status = 200;
      std::uint64_t era = 0;
      json answer;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        if (is_away_ || is_stopping_)
          return;
        era = era_;
        status = Handle(request, answer, lock);
        if (is_away_ || is_stopping_ || era != era_)
          return;
      }
      const std::string body = answer.is_null() ? "{}" : answer.dump();
      if (!connection->Send("HTTP/1.1 " + std::to_string(status) +
                            " X\r\nStore-Era: " + std::to_string(era) +
                            "\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  std::uint64_t Era() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return era_;
  }

  int Handle(const Message& request,
             json& answer,
             std::unique_lock<std::mutex>& lock) {
    const std::string target = request.Target();
    const auto mark = target.find('?');
    const std::string path = target.substr(0, mark);
    std::map<std::string, std::string> query;
    if (mark != std::string::npos) {
      std::istringstream parts(target.substr(mark + 1));
      std::string part;
      while (std::getline(parts, part, '&'))
        query[part.substr(0, part.find('='))] =
            Unescape(part.substr(part.find('=') + 1));
    }
    if (path == "/api/rows-tx")
      return Commit(request.body, answer);
    if (path == "/api/rows-get") {
      answer = Envelope();
      const std::size_t limit =
          query.count("limit") != 0 ? std::stoul(query["limit"]) : 500;
      for (const auto& [key, row] : now_.rows) {
        if (std::get<0>(key) != query["table"] ||
            std::get<1>(key) != query["part"] ||
            std::get<2>(key) < query["from"] || row.deleted)
          continue;
        if (answer["rows"].size() >= limit) {
          answer["morePages"] = true;
          break;
        }
        answer["rows"].push_back(ToJson(key, row));
      }
      return 200;
    }
    if (path == "/api/rows-feed") {
      const std::uint64_t after = std::stoull(query["afterRevision"]);
      const std::uint64_t era = era_;
      const auto changed = [&] {
        std::vector<std::pair<Key, Row>> rows;
        for (const auto& [key, row] : now_.rows) {
          if (std::get<0>(key) == query["table"] && row.version > after)
            rows.emplace_back(key, row);
        }
        std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
          return a.second.version < b.second.version;
        });
        return rows;
      };
      if (after > now_.version)
        return 410;
      changed_.wait_for(lock, milliseconds(std::stoll(query["waitMs"])), [&] {
        return is_away_ || is_stopping_ || era != era_ || !changed().empty();
      });
      answer = Envelope();
      for (const auto& [key, row] : changed())
        answer["rows"].push_back(ToJson(key, row));
      return 200;
    }
    return 404;
  }

  int Commit(const std::string& text, json& answer) {
    const json body = json::parse(text);
    const auto key_of = [](const json& item) {
      return Key{item.at("table"), item.at("part"), item.at("key")};
    };
    answer = Envelope();
    bool conflict = false;
    for (const json& item : body.at("expectedRevision")) {
      const auto found = now_.rows.find(key_of(item));
      const bool exists = found != now_.rows.end() && !found->second.deleted;
      conflict |= item.at("rowVersion") != (exists ? found->second.version : 0);
      if (exists)
        answer["rows"].push_back(ToJson(found->first, found->second));
    }
    if (conflict)
      return 412;
    ++now_.version;
    for (const json& item : body.at("put"))
      Set(key_of(item), DecodeBase64(item.at("value")), false);
    for (const json& item : body.at("remove"))
      Set(key_of(item), "", true);
    changed_.notify_all();
    answer = Envelope();
    answer.erase("rows");
    return 200;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  Content now_;
  Content copy_;
  std::uint64_t era_ = 1;
  bool is_away_ = false;
  bool is_stopping_ = false;
  Server server_;
  std::vector<std::unique_ptr<Door>> doors_;
};

// A gateway of the project, started as the deploy file says.
class Gateway {
 public:
  Gateway(std::string name,
          std::string ip,
          int port,
          int ready_port,
          int peer_port,
          const std::string& store,
          std::string folder)
      : name_(std::move(name)),
        ip_(std::move(ip)),
        port_(port),
        ready_port_(ready_port),
        peer_port_(peer_port),
        folder_(std::move(folder)) {
    settings_ = folder_ + "/" + name_ + ".conf";
    std::ofstream(settings_)
        << "nodeName=" << name_ << "\nrole=gateway\nmachineClass=front\n"
        << "serves=front\nipAddress=" << ip_
        << "\nzone=ub-a\nregion=ulaanbaatar\nzones.ub-a=ulaanbaatar\n"
        << "listen.frontend=" << ip_ << ":" << port_ << "\nlisten.ready=" << ip_
        << ":" << ready_port_ << "\ninternalPortRange=" << peer_port << ","
        << peer_port + 15 << "\nseeds=\nbootstrap=true\n"
        << "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
        << "limits.fileDescriptors=4100\nlimits.linkMbps=1000.0\n"
        << "limits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\n"
        << "heartbeatIntervalMs=1200\nbounds.drainMs=2500\nbounds.graceS=8\n"
        << "bounds.stableWindowMs=3000\nbounds.retryBudgetRatio=0.2\n"
        << "bounds.budgetWindowS=10\nbounds.retryBudgetSlack=56\n"
        << "bounds.lossSlackMs=200\nbounds.configPropagationMs=2500\n"
        << "platform.address=" << store << "\nplatform.form=table\n";
  }
  ~Gateway() {
    Signal(SIGKILL);
    Wait(milliseconds(5000));
  }

  // Replaces a value in the settings file. Call before Start.
  void Set(const std::string& key, const std::string& value) {
    std::ifstream in(settings_);
    std::string text;
    for (std::string line; std::getline(in, line);)
      text += (line.rfind(key + "=", 0) == 0 ? key + "=" + value : line) + "\n";
    in.close();
    std::ofstream(settings_) << text;
  }
  std::string LogPath() const {
    return folder_ + "/" + name_ + "." + std::to_string(boot_) + ".log";
  }
  void Start() {
    ++boot_;
    const std::string log = LogPath();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    std::vector<std::string> env;
    for (const char* keep : {"PATH", "HOME", "LANG"}) {
      if (const char* value = std::getenv(keep))
        env.push_back(std::string(keep) + "=" + value);
    }
    env.push_back("DANDELIONMILL_NODE_FILE=" + settings_);
    std::vector<char*> environment;
    for (std::string& item : env)
      environment.push_back(item.data());
    environment.push_back(nullptr);
    std::vector<std::string> words = {BINARY_DIR "/dandelion-gateway",
                                      "--settings",
                                      SOURCE_DIR "/deploy/gateway.json"};
    std::vector<char*> arguments;
    for (std::string& word : words)
      arguments.push_back(word.data());
    arguments.push_back(nullptr);
    if (posix_spawn(&pid_, words[0].c_str(), &files, nullptr, arguments.data(),
                    environment.data()) != 0) {
      std::fprintf(stderr, "cannot start %s\n", words[0].c_str());
      std::_Exit(2);
    }
    posix_spawn_file_actions_destroy(&files);
  }
  void Signal(int number) {
    if (pid_ > 0)
      ::kill(pid_, number);
  }
  // Waits for the end of the process. Returns whether it has ended.
  bool Wait(milliseconds limit) {
    const auto deadline = Clock::now() + limit;
    while (pid_ > 0) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        last_status = status;
        break;
      }
      if (Clock::now() >= deadline)
        return false;
      SleepMs(5);
    }
    return true;
  }
  bool IsReady() const {
    const auto connection = Conn::Connect(ip_, ready_port_);
    Message answer;
    return connection &&
           connection->Send(
               "GET /api/readiness HTTP/1.1\r\nHost: x\r\n"
               "Connection: close\r\n\r\n") &&
           connection->Read(answer, Clock::now() + milliseconds(500)) &&
           answer.Status() == 200;
  }
  bool WaitReady(double seconds) const {
    for (const double end = Seconds() + seconds; Seconds() < end; SleepMs(50)) {
      if (IsReady())
        return true;
    }
    return false;
  }
  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  int port() const { return port_; }
  // Where it serves other instances.
  int peer_port() const { return peer_port_; }
  // -1 once the end of the process was noticed.
  pid_t pid() const { return pid_; }
  int last_status = 0;

 private:
  const std::string name_;
  const std::string ip_;
  const int port_;
  const int ready_port_;
  const int peer_port_;
  const std::string folder_;
  std::string settings_;
  pid_t pid_ = -1;
  int boot_ = 0;
};

// A loopback network of its own: 127.x.y.n.
inline std::string Ip(int n) {
  static const int x = RandomInt(16, 250);
  static const int y = RandomInt(1, 250);
  return "127." + std::to_string(x) + "." + std::to_string(y) + "." +
         std::to_string(n);
}

// A port that is free on the addresses Ip(1) to Ip(count), with the next one.
inline int FreePort(int count) {
  for (int i = 0; i < 1000; ++i) {
    const int port = RandomInt(20000, 31000);
    bool is_free = true;
    for (int n = 1; n <= count && is_free; ++n) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(port));
      ::inet_pton(AF_INET, Ip(n).c_str(), &address.sin_addr);
      is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address),
                       sizeof(address)) == 0;
      ::close(fd);
    }
    if (is_free)
      return port;
  }
  std::_Exit(2);
}

inline std::vector<std::unique_ptr<Gateway>> MakeGateways(
    int count,
    const std::string& store,
    const std::string& folder,
    const std::vector<std::string>& doors = {}) {
  const int port = FreePort(count);
  int ready = FreePort(count);
  while (ready == port)
    ready = FreePort(count);
  const int peer = RandomInt(32000, 32600);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= count; ++i)
    gateways.push_back(std::make_unique<Gateway>(
        "front-ub-a-" + std::to_string(i), Ip(i), port, ready, peer,
        doors.empty() ? store : doors[static_cast<std::size_t>(i - 1)],
        folder));
  return gateways;
}

inline std::string TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "processes-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr)
    std::_Exit(2);
  return pattern;
}

inline json EngineEntry(const std::string& service,
                        const std::string& address,
                        int slots,
                        std::int64_t born,
                        const std::string& version = "1",
                        const std::string& state = "ready") {
  return {{"service", service},   {"address", address}, {"zone", "ub-a"},
          {"version", version},   {"slots", slots},     {"state", state},
          {"coldRemainingMs", 0}, {"sequence", 1},      {"born", born}};
}

}  // namespace standin

#endif  // TESTS_PROCESSES_SUPPORT_PROCESSES_H_
