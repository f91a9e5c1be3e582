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

/// Counts the connection attempts and forwards them to another connector.
class CountingConnector final : public TargetConnector {
public:
    explicit CountingConnector(std::unique_ptr<TargetConnector> inner)
        : m_inner(std::move(inner))
    {
    }

    void connect(const TargetConfiguration& target, const OrganisationId& organisation, Milliseconds timeout, Done done) override
    {
        ++attempts;
        m_inner->connect(target, organisation, timeout, std::move(done));
    }

    uint32_t attempts { 0 };

private:
    std::unique_ptr<TargetConnector> m_inner;
};

struct PoolFixture {
    explicit PoolFixture(uint32_t limit, uint32_t targetLimit = 35)
    {
        GroupConfiguration group;
        group.database = DatabaseId("db");
        group.targets = { target };
        FakeTargetSettings fake;
        fake.connections = targetLimit;
        fakes.addGroup(group, fake);
        connector = std::make_unique<CountingConnector>(fakes.connectorIn(FailureDomainId("a")));
        ConnectionPoolSettings settings;
        settings.maxConnections = limit;
        settings.connectTimeout = Milliseconds(100);
        settings.idleTimeout = Milliseconds(1000);
        pool = ConnectionPool::create(loop, *connector, target, settings);
    }

    ~PoolFixture() { pool.reset(); }

    void returnAll()
    {
        for (auto& it : held)
            it.reset();
    }

    void acquire(Milliseconds timeToDeadline = Milliseconds(500))
    {
        const size_t index = codes.size();
        codes.push_back(ResultCode::OutcomeUnknown);
        held.push_back(nullptr);
        pool->acquire(loop.now() + timeToDeadline, OrganisationId(), [this, index](auto connection) {
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

TEST_CASE("a pool opens connections on demand up to its limit and serves requests in order", "[connections]")
{
    PoolFixture fixture(3);
    for (int n = 0; n < 5; ++n)
        fixture.acquire();
    fixture.loop.advance(Milliseconds(50));
    CHECK(fixture.opened() == 3);
    CHECK(fixture.order == std::vector<size_t> { 0, 1, 2 });

    SECTION("a returned connection goes to the request that has waited longest")
    {
        fixture.held[1].reset();
        CHECK(fixture.order.back() == 3);
        CHECK(fixture.opened() == 3);
    }
    SECTION("a request that waits past its deadline fails with DeadlinePassed")
    {
        fixture.loop.advance(Milliseconds(500));
        CHECK(fixture.codes[3] == ResultCode::DeadlinePassed);
        CHECK(fixture.codes[4] == ResultCode::DeadlinePassed);
    }
    SECTION("a lower limit closes surplus connections when they are returned")
    {
        fixture.pool->setLimit(1);
        fixture.returnAll();
        CHECK(fixture.opened() <= 1);
    }
    SECTION("idle connections are closed after the idle limit")
    {
        fixture.loop.advance(Milliseconds(500));
        fixture.returnAll();
        fixture.loop.advance(Milliseconds(2000));
        CHECK(fixture.opened() == 0);
        CHECK(fixture.pool->openConnections() == 0);
    }
    SECTION("a destroyed pool fails the waiting requests and closes every connection")
    {
        fixture.pool.reset();
        CHECK(fixture.codes[4] == ResultCode::DeadlinePassed);
        fixture.returnAll();
        CHECK(fixture.opened() == 0);
    }
}

TEST_CASE("a connection in an uncertain state is never reused", "[connections]")
{
    PoolFixture fixture(1);
    fixture.acquire();
    fixture.loop.advance(Milliseconds(20));
    REQUIRE(fixture.held[0]);
    SECTION("the connection was returned while its batch was running")
    {
        bool isAnswered = false;
        fixture.held[0]->run({}, Milliseconds(50), [&isAnswered](auto) { isAnswered = true; });
        fixture.held[0].reset();
        fixture.loop.advance(Milliseconds(100));
        CHECK_FALSE(isAnswered);
    }
    SECTION("the target did not answer in time")
    {
        fixture.fakes.silenceConnections(fixture.target.id);
        CHECK(fixture.run(0) == ResultCode::TargetSilent);
        fixture.held[0].reset();
    }
    SECTION("the connection was lost during a batch")
    {
        fixture.fakes.loseNextAnswer(fixture.target.id, TargetOperation::Status);
        CHECK(fixture.run(0) == ResultCode::ConnectionLost);
        fixture.held[0].reset();
    }
    SECTION("the holder discarded the connection")
    {
        fixture.held[0]->discard();
        fixture.held[0].reset();
    }
    CHECK(fixture.pool->openConnections() == 0);
    CHECK_FALSE(fixture.pool->isTargetSuspect());
    fixture.acquire();
    fixture.loop.advance(Milliseconds(20));
    CHECK(fixture.run(1) == ResultCode::Done);
}

TEST_CASE("a time-out on one connection closes the idle ones and does not make the target suspect", "[connections]")
{
    PoolFixture fixture(4);
    for (int n = 0; n < 4; ++n)
        fixture.acquire();
    fixture.loop.advance(Milliseconds(50));
    fixture.returnAll();
    fixture.fakes.silenceConnections(fixture.target.id);
    fixture.loop.advance(Milliseconds(1));
    fixture.acquire();
    CHECK(fixture.run(4) == ResultCode::TargetSilent);
    CHECK(fixture.pool->openConnections() == 1);
    fixture.acquire();
    fixture.loop.advance(Milliseconds(20));
    CHECK(fixture.run(5) == ResultCode::Done);
    CHECK_FALSE(fixture.pool->isTargetSuspect());
}

TEST_CASE("a target that is down becomes suspect, requests fail at once and connection attempts are limited", "[connections]")
{
    PoolFixture fixture(10);
    fixture.fakes.setDown(fixture.target.id, true);
    for (int n = 0; n < 200; ++n) {
        fixture.acquire();
        fixture.loop.advance(Milliseconds(5));
    }
    CHECK(fixture.pool->isTargetSuspect());
    CHECK(fixture.codes.front() == ResultCode::TargetUnreachable);
    CHECK(fixture.connector->attempts < 20);
    fixture.fakes.setDown(fixture.target.id, false);
    fixture.loop.advance(Milliseconds(1000));
    fixture.acquire();
    fixture.loop.advance(Milliseconds(50));
    CHECK(fixture.codes.back() == ResultCode::Done);
    CHECK_FALSE(fixture.pool->isTargetSuspect());
}

TEST_CASE("a target that refuses a new connection is not suspect after an answer on an open one", "[connections]")
{
    PoolFixture fixture(4, 1);
    fixture.acquire();
    fixture.acquire();
    fixture.loop.advance(Milliseconds(50));
    REQUIRE(fixture.held[0]);
    CHECK(fixture.run(0) == ResultCode::Done);
    CHECK_FALSE(fixture.pool->isTargetSuspect());
    fixture.held[0].reset();
    fixture.loop.advance(Milliseconds(50));
    CHECK(fixture.codes[1] == ResultCode::Done);
}

// Reference model: a list of held connections and a FIFO list of waiting requests, without deadlines or connect times.
TEST_CASE("a pool hands out connections in the same order as a reference model", "[connections][differential]")
{
    const bool isSame = rc::check("same requests served, never more connections than the limit", [] {
        const auto limit = *rc::gen::inRange<uint32_t>(1, 6);
        const auto areAcquires = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        PoolFixture fixture(limit);
        std::vector<size_t> referenceHeld;
        std::deque<size_t> referenceWaiting;
        size_t requested = 0;
        for (const bool isAcquire : areAcquires) {
            if (isAcquire) {
                fixture.acquire(Milliseconds(100'000));
                referenceWaiting.push_back(requested++);
            } else if (!referenceHeld.empty()) {
                fixture.held[referenceHeld.front()].reset();
                referenceHeld.erase(referenceHeld.begin());
            }
            while (referenceHeld.size() < limit && !referenceWaiting.empty()) {
                referenceHeld.push_back(referenceWaiting.front());
                referenceWaiting.pop_front();
            }
            fixture.loop.advance(Milliseconds(20));
            RC_ASSERT(fixture.opened() <= limit);
            for (size_t n = 0; n < requested; ++n) {
                const bool isHeld = std::find(referenceHeld.begin(), referenceHeld.end(), n) != referenceHeld.end();
                RC_ASSERT((fixture.held[n] != nullptr) == isHeld);
            }
        }
    });
    CHECK(isSame);
}
