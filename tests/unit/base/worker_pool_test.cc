#include "dandelionmill/base/worker_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

using dandelionmill::base::WorkerPool;

TEST_CASE("A worker pool runs its jobs", "[base]") {
  SECTION("one thread runs jobs in FIFO order") {
    std::vector<int> order;
    std::promise<void> done;
    WorkerPool pool(1);
    for (int i = 0; i < 10; ++i)
      pool.Add([&order, i] { order.push_back(i); });
    pool.Add([&] { done.set_value(); });
    done.get_future().wait();
    CHECK(order == std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
  }
  SECTION("two threads run two jobs concurrently") {
    std::promise<void> first_started;
    std::promise<void> second_started;
    std::atomic<int> finished{0};
    {
      WorkerPool pool(2);
      std::promise<void> both;
      pool.Add([&] {
        first_started.set_value();
        second_started.get_future().wait();
        ++finished;
      });
      pool.Add([&] {
        second_started.set_value();
        first_started.get_future().wait();
        ++finished;
        both.set_value();
      });
      both.get_future().wait();
    }
    CHECK(finished == 2);
  }
  SECTION("the destructor discards queued jobs") {
    std::atomic<int> ran{0};
    {
      std::promise<void> started;
      std::promise<void> release;
      std::thread releaser;
      {
        WorkerPool pool(1);
        pool.Add([&] {
          started.set_value();
          release.get_future().wait();
        });
        pool.Add([&] { ++ran; });
        started.get_future().wait();
        releaser = std::thread([&] {
          std::this_thread::sleep_for(std::chrono::milliseconds(20));
          release.set_value();
        });
      }
      releaser.join();
    }
    CHECK(ran == 0);
  }
}
