#include "tests/soak/child_process.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>

using soak::ChildProcess;

TEST_CASE("A child process holds no connection of the soak open", "[soak]") {
  std::array<int, 2> ends{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
  ChildProcess child({"/bin/sleep", "20"}, {}, "/dev/null");
  ::close(ends[0]);
  const timeval timeout{1, 0};
  ::setsockopt(ends[1], SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  char byte = 0;
  CHECK(::recv(ends[1], &byte, 1, 0) == 0);
  ::close(ends[1]);
}
