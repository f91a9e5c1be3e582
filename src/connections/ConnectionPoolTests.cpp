#include "base/ResultCode.h"
#include "base/VirtualLoop.h"
#include "connections/ConnectionPool.h"
#include "standins/FakeTargets.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace parsleypaddle;

namespace {

/// Counts the attempts that reach a connector.
class CountingConnector final : public TargetConnector {
public:
    explicit CountingConnector(std::unique_ptr<TargetConnector> inner)
        : m_inner(std::move(inner))
    {
    }

    void connect(const TargetConfiguration& target, Milliseconds timeout, Done done) override
    {
        ++attempts;
        m_inner->connect(target, timeout, std::move(done));
    }

    uint32_t attempts { 0 };

private:
    std::unique_ptr<TargetConnector> m_inner;
};

struct PoolBench {
    explicit PoolBench(uint32_t limit, uint32_t targetLimit = 35)
    {
        GroupConfiguration group;
        group.database = DatabaseId("db");
        group.targets = { target };
        FakeTargetSettings fake;
        fake.connections = targetLimit;
        fakes.addGroup(group, fake);
        connector = std::make_unique<CountingConnector>(fakes.connectorIn(FailureDomainId("a")));
        ConnectionPoolSettings settings;
        settings.limit = limit;
        settings.connectTimeout = Milliseconds(100);
        settings.idleLimit = Milliseconds(1000);
        pool = ConnectionPool::create(loop, *connector, target, settings);
    }

    ~PoolBench() { pool.reset(); }

    void giveAllBack()
    {
        for (auto& it : held)
            it.reset();
    }

    void acquire(Milliseconds patience = Milliseconds(500))
    {
        const size_t index = codes.size();
        codes.push_back(ResultCode::OutcomeUnknown);
        held.push_back(nullptr);
        pool->acquire(loop.now() + patience, [this, index](auto connection) {
            codes[index] = resultCodeOf(connection.status());
            if (connection.ok())
                held[index] = *std::move(connection);
            order.push_back(index);
        });
    }

    ResultCode run(size_t index, Milliseconds timeout = Milliseconds(50))
    {
        std::optional<ResultCode> code;
        held[index]->run({}, timeout, [&code](auto reply) { code = resultCodeOf(reply.status()); });
        loop.runUntil([&code] { return code.has_value(); }, Milliseconds(1000));
        return code.value();
    }

    uint32_t opened() const { return fakes.openConnections(target.id); }

    TargetConfiguration target { TargetId("t"), { "127.0.0.1", 1 }, FailureDomainId("a") };
    VirtualLoop loop;
    FakeTargets fakes { loop };
    std::unique_ptr<CountingConnector> connector;
    std::unique_ptr<ConnectionPool> pool;
    std::vector<ResultCode> codes;
    std::vector<std::unique_ptr<PooledConnection>> held;
    std::vector<size_t> order;
};

}

TEST_CASE("a pool opens as many connections as are wanted, up to its limit, and serves in order", "[connections]")
{
    PoolBench bench(3);
    for (int n = 0; n < 5; ++n)
        bench.acquire();
    bench.loop.advance(Milliseconds(50));
    CHECK(bench.opened() == 3);
    CHECK(bench.order == std::vector<size_t> { 0, 1, 2 });

    SECTION("a connection that comes back goes to the first that waits")
    {
        bench.held[1].reset();
        CHECK(bench.order.back() == 3);
        CHECK(bench.opened() == 3);
    }
    SECTION("one that waits too long is told so")
    {
        bench.loop.advance(Milliseconds(500));
        CHECK(bench.codes[3] == ResultCode::DeadlinePassed);
        CHECK(bench.codes[4] == ResultCode::DeadlinePassed);
    }
    SECTION("a smaller limit closes surplus connections as they come back")
    {
        bench.pool->setLimit(1);
        bench.giveAllBack();
        CHECK(bench.opened() <= 1);
    }
    SECTION("idle connections are closed after their limit")
    {
        bench.loop.advance(Milliseconds(500));
        bench.giveAllBack();
        bench.loop.advance(Milliseconds(2000));
        CHECK(bench.opened() == 0);
        CHECK(bench.pool->openConnections() == 0);
    }
    SECTION("a pool that goes away answers its waiters and leaves no connection behind")
    {
        bench.pool.reset();
        CHECK(bench.codes[4] == ResultCode::DeadlinePassed);
        bench.giveAllBack();
        CHECK(bench.opened() == 0);
    }
}

TEST_CASE("a connection in doubt is never reused", "[connections]")
{
    PoolBench bench(1);
    bench.acquire();
    bench.loop.advance(Milliseconds(20));
    REQUIRE(bench.held[0]);
    SECTION("given back while its batch runs")
    {
        bool isAnswered = false;
        bench.held[0]->run({}, Milliseconds(50), [&isAnswered](auto) { isAnswered = true; });
        bench.held[0].reset();
        bench.loop.advance(Milliseconds(100));
        CHECK_FALSE(isAnswered);
    }
    SECTION("silent")
    {
        bench.fakes.silenceConnections(bench.target.id);
        CHECK(bench.run(0) == ResultCode::TargetSilent);
        bench.held[0].reset();
    }
    SECTION("lost")
    {
        bench.fakes.loseNextAnswer(bench.target.id, TargetOperation::Status);
        CHECK(bench.run(0) == ResultCode::ConnectionLost);
        bench.held[0].reset();
    }
    SECTION("discarded")
    {
        bench.held[0]->discard();
        bench.held[0].reset();
    }
    CHECK(bench.pool->openConnections() == 0);
    CHECK_FALSE(bench.pool->isTargetSuspect());
    bench.acquire();
    bench.loop.advance(Milliseconds(20));
    CHECK(bench.run(1) == ResultCode::Done);
}

TEST_CASE("one silent connection takes the idle ones with it, and the target stays trusted", "[connections]")
{
    PoolBench bench(4);
    for (int n = 0; n < 4; ++n)
        bench.acquire();
    bench.loop.advance(Milliseconds(50));
    bench.giveAllBack();
    bench.fakes.silenceConnections(bench.target.id);
    bench.loop.advance(Milliseconds(1));
    bench.acquire();
    CHECK(bench.run(4) == ResultCode::TargetSilent);
    CHECK(bench.pool->openConnections() == 1);
    bench.acquire();
    bench.loop.advance(Milliseconds(20));
    CHECK(bench.run(5) == ResultCode::Done);
    CHECK_FALSE(bench.pool->isTargetSuspect());
}

TEST_CASE("a target that is down is suspect, refused fast and not flooded", "[connections]")
{
    PoolBench bench(10);
    bench.fakes.setDown(bench.target.id, true);
    for (int n = 0; n < 200; ++n) {
        bench.acquire();
        bench.loop.advance(Milliseconds(5));
    }
    CHECK(bench.pool->isTargetSuspect());
    CHECK(bench.codes.front() == ResultCode::TargetUnreachable);
    CHECK(bench.connector->attempts < 20);
    bench.fakes.setDown(bench.target.id, false);
    bench.loop.advance(Milliseconds(1000));
    bench.acquire();
    bench.loop.advance(Milliseconds(50));
    CHECK(bench.codes.back() == ResultCode::Done);
    CHECK_FALSE(bench.pool->isTargetSuspect());
}

TEST_CASE("a full target is not suspect while its open connections answer", "[connections]")
{
    PoolBench bench(4, 1);
    bench.acquire();
    bench.acquire();
    bench.loop.advance(Milliseconds(50));
    REQUIRE(bench.held[0]);
    CHECK(bench.run(0) == ResultCode::Done);
    CHECK_FALSE(bench.pool->isTargetSuspect());
    bench.held[0].reset();
    bench.loop.advance(Milliseconds(50));
    CHECK(bench.codes[1] == ResultCode::Done);
}

// The naive version: a counter of free connections and a list of those who wait, with no time in it.
TEST_CASE("a pool hands out as a plain counter with a queue does", "[connections][differential]")
{
    const bool isSame = rc::check("same order of service, never above the limit", [] {
        const auto limit = *rc::gen::inRange<uint32_t>(1, 6);
        const auto isTake = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        PoolBench bench(limit);
        std::vector<size_t> naiveHeld;
        std::deque<size_t> naiveWaiting;
        size_t asked = 0;
        for (const bool isNext : isTake) {
            if (isNext) {
                bench.acquire(Milliseconds(100'000));
                naiveWaiting.push_back(asked++);
            } else if (!naiveHeld.empty()) {
                bench.held[naiveHeld.front()].reset();
                naiveHeld.erase(naiveHeld.begin());
            }
            while (naiveHeld.size() < limit && !naiveWaiting.empty()) {
                naiveHeld.push_back(naiveWaiting.front());
                naiveWaiting.pop_front();
            }
            bench.loop.advance(Milliseconds(20));
            RC_ASSERT(bench.opened() <= limit);
            for (size_t n = 0; n < asked; ++n) {
                const bool isHeld = std::find(naiveHeld.begin(), naiveHeld.end(), n) != naiveHeld.end();
                RC_ASSERT((bench.held[n] != nullptr) == isHeld);
            }
        }
    });
    CHECK(isSame);
}
