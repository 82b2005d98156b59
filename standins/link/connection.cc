#include "standins/link/connection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace standins::link {
namespace {

using dandelionmill::base::MonoTime;

constexpr std::size_t kMaxQueuedBytes = 1 << 20;  // in one direction
constexpr std::size_t kReadBufferBytes = 64 << 10;

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

Connection::Connection(int client, int target) {
  to_target_.from = client;
  to_target_.to = target;
  to_client_.from = target;
  to_client_.to = client;
}

Connection::~Connection() {
  close(to_target_.from);
  close(to_client_.from);
}

void Connection::AppendPollEntries(std::vector<pollfd>& polled,
                                   MonoTime now) const {
  polled.push_back(
      {to_target_.from, PollEvents(to_target_, to_client_, now), 0});
  polled.push_back(
      {to_client_.from, PollEvents(to_client_, to_target_, now), 0});
}

bool Connection::Transfer(const pollfd& client,
                          const pollfd& target,
                          std::chrono::milliseconds delay,
                          MonoTime now) {
  constexpr short kReadable = POLLIN | POLLHUP | POLLERR;
  if ((client.revents & kReadable) != 0 && !Receive(to_target_, delay, now))
    return false;
  if ((target.revents & kReadable) != 0 && !Receive(to_client_, delay, now))
    return false;
  if (!Deliver(to_target_, now) || !Deliver(to_client_, now))
    return false;
  return !(to_target_.write_closed && to_client_.write_closed);
}

bool Connection::HasQueuedBytes() const {
  return !to_target_.chunks.empty() || !to_client_.chunks.empty();
}

bool Connection::Receive(Flow& flow,
                         std::chrono::milliseconds delay,
                         MonoTime now) {
  if (flow.read_closed || flow.queued_bytes >= kMaxQueuedBytes)
    return true;
  std::string bytes(kReadBufferBytes, '\0');
  const ssize_t size = recv(flow.from, bytes.data(), bytes.size(), 0);
  if (size < 0)
    return WouldBlock();
  if (size == 0) {
    flow.read_closed = true;
    return true;
  }
  bytes.resize(static_cast<std::size_t>(size));
  flow.queued_bytes += bytes.size();
  flow.chunks.push_back({now + delay, std::move(bytes)});
  return true;
}

bool Connection::Deliver(Flow& flow, MonoTime now) {
  while (!flow.chunks.empty() && flow.chunks.front().send_at <= now) {
    std::string& bytes = flow.chunks.front().bytes;
    const ssize_t size =
        send(flow.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0)
      return WouldBlock();
    flow.queued_bytes -= static_cast<std::size_t>(size);
    bytes.erase(0, static_cast<std::size_t>(size));
    if (!bytes.empty())
      return true;
    flow.chunks.pop_front();
  }
  if (flow.read_closed && flow.chunks.empty() && !flow.write_closed) {
    flow.write_closed = true;
    shutdown(flow.to, SHUT_WR);
  }
  return true;
}

short Connection::PollEvents(const Flow& reads,
                             const Flow& writes,
                             MonoTime now) {
  short events = 0;
  if (!reads.read_closed && reads.queued_bytes < kMaxQueuedBytes)
    events |= POLLIN;
  if (!writes.chunks.empty() && writes.chunks.front().send_at <= now)
    events |= POLLOUT;
  return events;
}

}  // namespace standins::link
