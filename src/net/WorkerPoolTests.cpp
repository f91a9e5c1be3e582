#include "net/WorkerPool.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace parsleypaddle;

TEST_CASE("a task runs on a worker thread and its completion on the loop's thread", "[net]")
{
    const auto loop = PollLoop::create();
    REQUIRE(loop.ok());
    const auto pool = WorkerPool::create(**loop, 2, 4);
    REQUIRE(pool.ok());
    const auto loopThread = std::this_thread::get_id();
    std::thread::id worker;
    std::thread::id completion;
    REQUIRE((*pool)->submit([&] {
        worker = std::this_thread::get_id();
        return [&] {
            completion = std::this_thread::get_id();
            (*loop)->stop();
        };
    }));
    (*loop)->run();
    CHECK(worker != loopThread);
    CHECK(completion == loopThread);
}

TEST_CASE("submit() rejects tasks beyond the queue limit, and all queued tasks run", "[net]")
{
    const auto loop = PollLoop::create();
    REQUIRE(loop.ok());
    CHECK_FALSE(WorkerPool::create(**loop, 0, 1).ok());
    CHECK_FALSE(WorkerPool::create(**loop, 1, 0).ok());
    const auto pool = WorkerPool::create(**loop, 1, 2);
    REQUIRE(pool.ok());

    std::promise<void> started;
    std::promise<void> release;
    int finished = 0;
    const auto finish = [&] {
        if (++finished == 3)
            (*loop)->stop();
    };
    REQUIRE((*pool)->submit([&] {
        started.set_value();
        release.get_future().wait();
        return finish;
    }));
    started.get_future().wait();
    CHECK((*pool)->submit([&] { return finish; }));
    CHECK((*pool)->submit([&] { return finish; }));
    CHECK_FALSE((*pool)->submit([&] { return finish; }));
    release.set_value();
    (*loop)->run();
    CHECK(finished == 3);
}
