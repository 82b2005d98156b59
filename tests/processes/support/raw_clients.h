#ifndef TESTS_PROCESSES_SUPPORT_RAW_CLIENTS_H_
#define TESTS_PROCESSES_SUPPORT_RAW_CLIENTS_H_

// Clients that send arbitrary bytes and keep their connections open, and the
// memory and descriptors of a process as /proc reports them.

#include "tests/processes/support/processes.h"

namespace standin {

// What one client sends: `begin`, then `part` until `part_bytes` of it are
// sent. The connection stays open afterwards.
struct RawScript {
  std::string begin = {};
  std::string part = {};
  std::size_t part_bytes = 0;
  // Whether responses are read and discarded.
  bool reads = true;
};

// A number of clients that send without waiting for each other, driven by one
// thread.
class RawCrowd {
 public:
  ~RawCrowd() { Close(); }

  // Connects one client. One that cannot connect counts as closed.
  void Add(const std::string& ip, int port, RawScript script) {
    Client client;
    client.script = std::move(script);
    client.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!client.script.reads) {
      // Small, so that unread bytes stay with the sender.
      const int bytes = 4096;
      ::setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(client.fd, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) != 0) {
      ::close(std::exchange(client.fd, -1));
    } else {
      ::fcntl(client.fd, F_SETFL, O_NONBLOCK);
    }
    clients_.push_back(std::move(client));
  }

  // Gives each client another script, which it sends on the same connection.
  void Continue(const std::function<RawScript(std::size_t)>& script) {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      clients_[i].script = script(i);
      clients_[i].begin_sent = clients_[i].part_sent = 0;
    }
  }

  // Sends until every client has sent all or is closed, at most for `limit`,
  // and then keeps the connections open for `hold`. Calls `observe` between.
  void Drive(milliseconds limit,
             milliseconds hold,
             const std::function<void()>& observe) {
    const auto end = Clock::now() + limit;
    while (Clock::now() < end && Step())
      observe();
    const auto hold_end = Clock::now() + hold;
    while (Clock::now() < hold_end) {
      Step();
      observe();
      SleepMs(10);
    }
  }
  void Close() {
    for (Client& client : clients_) {
      if (client.fd >= 0)
        ::close(std::exchange(client.fd, -1));
    }
  }
  std::size_t open_count() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(),
                      [](const Client& client) { return client.fd >= 0; }));
  }
  std::size_t sent_bytes() const { return sent_bytes_; }

 private:
  struct Client {
    int fd = -1;
    RawScript script;
    std::size_t begin_sent = 0;
    std::size_t part_sent = 0;

    bool IsDone() const {
      return fd < 0 || (begin_sent == script.begin.size() &&
                        part_sent >= script.part_bytes);
    }
  };

  // Returns whether a client has more to send.
  bool Step() {
    std::vector<pollfd> items;
    std::vector<Client*> polled;
    bool is_any_unfinished = false;
    for (Client& client : clients_) {
      if (client.fd < 0)
        continue;
      is_any_unfinished |= !client.IsDone();
      short events = client.script.reads ? POLLIN : 0;
      if (!client.IsDone())
        events = static_cast<short>(events | POLLOUT);
      items.push_back({client.fd, events, 0});
      polled.push_back(&client);
    }
    if (!items.empty() && ::poll(items.data(), items.size(), 20) > 0) {
      for (std::size_t i = 0; i < items.size(); ++i)
        Serve(*polled[i], items[i].revents);
    }
    return is_any_unfinished;
  }

  void Serve(Client& client, short events) {
    char bytes[16384];
    if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
      const ssize_t n = ::recv(client.fd, bytes, sizeof(bytes), 0);
      if (n == 0 || (n < 0 && errno != EAGAIN)) {
        ::close(std::exchange(client.fd, -1));
        return;
      }
    }
    if ((events & POLLOUT) == 0 || client.IsDone())
      return;
    std::string next;
    const bool is_begin = client.begin_sent < client.script.begin.size();
    if (is_begin) {
      next = client.script.begin.substr(client.begin_sent, sizeof(bytes));
    } else {
      // Goes on within a part where the last write ended.
      const std::string& part = client.script.part;
      next = part.substr(client.part_sent % part.size());
      while (next.size() < sizeof(bytes))
        next += part;
      next.resize(
          std::min(next.size(), client.script.part_bytes - client.part_sent));
    }
    const ssize_t n = ::send(client.fd, next.data(), next.size(), MSG_NOSIGNAL);
    if (n < 0) {
      if (errno != EAGAIN)
        ::close(std::exchange(client.fd, -1));
      return;
    }
    sent_bytes_ += static_cast<std::size_t>(n);
    (is_begin ? client.begin_sent : client.part_sent) +=
        static_cast<std::size_t>(n);
  }

  std::vector<Client> clients_;
  std::size_t sent_bytes_ = 0;
};

// A figure of /proc/PID/status in KiB, such as VmHWM; 0 if it is unknown.
inline long ProcessStatusKb(pid_t pid, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind(name + ":", 0) == 0)
      return std::atol(line.c_str() + name.size() + 1);
  }
  return 0;
}

inline long ProcessDescriptors(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(pid) + "/fd", error);
  return error ? 0 : std::distance(begin(files), end(files));
}

}  // namespace standin

#endif  // TESTS_PROCESSES_SUPPORT_RAW_CLIENTS_H_
