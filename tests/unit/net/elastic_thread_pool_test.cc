#include "dandelionmill/net/internal/elastic_thread_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using dandelionmill::net::internal::ElasticThreadPool;

TEST_CASE("The thread pool grows with the number of concurrent jobs", "[net]") {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::atomic<int> started{0};
  std::atomic<int> finished{0};
  const auto job = [&] {
    ++started;
    released.wait();
    ++finished;
  };
  ElasticThreadPool pool(3);

  SECTION("no thread exists before the first job") {
    CHECK(pool.threads() == 0);
    release.set_value();
  }
  SECTION("jobs run concurrently up to the limit and the others are queued") {
    for (int i = 0; i < 5; ++i)
      pool.enqueue(job);
    while (started < 3)
      std::this_thread::yield();
    CHECK(pool.threads() == 3);
    CHECK(started == 3);
    release.set_value();
    pool.shutdown();
    CHECK(finished == 5);
    CHECK(pool.threads() == 0);
  }
  SECTION("a burst starts another thread even if one is idle") {
    pool.enqueue([] {});
    pool.enqueue(job);
    pool.enqueue(job);
    while (started < 2)
      std::this_thread::yield();
    CHECK(finished == 0);
    release.set_value();
  }
  pool.shutdown();
}

TEST_CASE("A thread that stays idle ends, and a later job starts a new one",
          "[net]") {
  ElasticThreadPool pool(3, std::chrono::milliseconds(1));
  pool.enqueue([] {});
  while (pool.threads() > 0)
    std::this_thread::yield();
  std::atomic<bool> ran{false};
  pool.enqueue([&] { ran = true; });
  pool.shutdown();
  CHECK(ran);
}
