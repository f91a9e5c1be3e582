#include "base/ResultCode.h"
#include "base/VirtualLoop.h"
#include "connections/ConnectionPool.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

constexpr Milliseconds openTime { 12 };

/// A target that records for which organisation each connection was opened, with faults that tests switch.
class NamedTarget final : public TargetConnector {
public:
    explicit NamedTarget(EventLoop& loop)
        : m_loop(loop)
    {
    }

    void connect(const TargetConfiguration&, const OrganisationId& organisation, Milliseconds, Done done) override
    {
        ++attempts;
        attemptedFor = organisation;
        m_loop.after(openTime, [this, organisation, done = std::move(done)] {
            if (isDown)
                return done(makeError(ResultCode::TargetUnreachable, "down"));
            if (open >= limit)
                return done(makeError(ResultCode::Overloaded, "full"));
            done(std::make_unique<Connection>(*this, organisation));
        });
    }

    uint32_t attempts { 0 };
    OrganisationId attemptedFor;
    uint32_t open { 0 };
    uint32_t peakOpen { 0 };
    uint32_t limit { 100 };
    bool isDown { false };
    /// Outcome of the next batches.
    ResultCode outcome { ResultCode::Done };
    /// The organisation of the connection on which the last batch ran.
    OrganisationId lastRun;

private:
    class Connection final : public TargetConnection {
    public:
        Connection(NamedTarget& target, OrganisationId organisation)
            : m_target(target)
            , m_organisation(std::move(organisation))
            , m_isOpen(!target.isDown)
        {
            target.peakOpen = std::max(target.peakOpen, ++target.open);
        }
        ~Connection() override { --m_target.open; }

        void run(const TargetBatch&, Milliseconds, Done done) override
        {
            m_target.lastRun = m_organisation;
            if (m_target.isDown || m_target.outcome != ResultCode::Done)
                return done(makeError(m_target.isDown ? ResultCode::ConnectionLost : m_target.outcome, "fault"));
            done(TargetReply {});
        }
        bool isOpen() const override { return m_isOpen; }

    private:
        NamedTarget& m_target;
        OrganisationId m_organisation;
        bool m_isOpen;
    };

    EventLoop& m_loop;
};

struct Request {
    OrganisationId organisation;
    std::optional<ResultCode> code;
    std::unique_ptr<PooledConnection> connection;
};

struct OrganisationPool {
    explicit OrganisationPool(uint32_t limit, bool isPeer = false)
    {
        TargetConfiguration configuration { TargetId("t"), { "127.0.0.1", 1 }, FailureDomainId("a"), GroupId("g"), isPeer };
        ConnectionPoolSettings settings;
        settings.maxConnections = limit;
        settings.connectTimeout = Milliseconds(100);
        settings.idleTimeout = Milliseconds(3000);
        settings.onEvent = [this](PoolEvent event) { ++events[event]; };
        pool = ConnectionPool::create(loop, target, configuration, settings);
    }
    ~OrganisationPool()
    {
        pool.reset();
        requests.clear();
        loop.advance(Milliseconds(1000));
    }

    std::shared_ptr<Request> acquire(const std::string& organisation, Milliseconds timeToDeadline = Milliseconds(500))
    {
        auto request = std::make_shared<Request>();
        request->organisation = OrganisationId(organisation);
        requests.push_back(request);
        pool->acquire(loop.now() + timeToDeadline, request->organisation, [request](auto connection) {
            request->code = resultCodeOf(connection.status());
            if (connection.ok())
                request->connection = *std::move(connection);
        });
        return request;
    }

    /// Runs a batch on the connection and returns the organisation that the connection was opened for.
    OrganisationId run(Request& request)
    {
        request.connection->run({}, Milliseconds(50), [](const auto&) {});
        return target.lastRun;
    }

    /// Returns the connections that are held now and counts them by organisation. A request that gets one meanwhile keeps it.
    void returnHeld(std::map<std::string, uint32_t>& served)
    {
        std::vector<std::shared_ptr<Request>> holders;
        std::copy_if(requests.begin(), requests.end(), std::back_inserter(holders), [](const auto& it) { return it->connection != nullptr; });
        for (const auto& it : holders) {
            ++served[it->organisation.value()];
            it->connection.reset();
        }
        requests.erase(std::remove_if(requests.begin(), requests.end(), [](const auto& it) { return it->code && !it->connection; }), requests.end());
    }

    void returnAll()
    {
        for (auto& it : requests)
            it->connection.reset();
    }

    VirtualLoop loop;
    NamedTarget target { loop };
    std::map<PoolEvent, uint32_t> events;
    std::unique_ptr<ConnectionPool> pool;
    std::vector<std::shared_ptr<Request>> requests;
};

}

TEST_CASE("a connection is reused only by the organisation that it was opened for", "[connections]")
{
    OrganisationPool fixture(4);
    fixture.acquire("a");
    fixture.loop.advance(Milliseconds(20));
    fixture.returnAll();
    SECTION("the same organisation reuses it at once")
    {
        const auto again = fixture.acquire("a");
        REQUIRE(again->connection);
        CHECK(fixture.target.attempts == 1);
        CHECK(fixture.events[PoolEvent::Reused] == 1);
    }
    SECTION("another organisation gets a new one while the limit allows it")
    {
        const auto other = fixture.acquire("b");
        CHECK_FALSE(other->connection);
        fixture.loop.advance(Milliseconds(20));
        REQUIRE(other->connection);
        CHECK(fixture.run(*other) == OrganisationId("b"));
        CHECK(fixture.target.open == 2);
        CHECK(fixture.events[PoolEvent::Opened] == 2);
        CHECK(fixture.events[PoolEvent::Evicted] == 0);
        CHECK(fixture.events[PoolEvent::Waited] == 0);
    }
    SECTION("no organisation is one of its own")
    {
        const auto other = fixture.acquire("");
        fixture.loop.advance(Milliseconds(20));
        REQUIRE(other->connection);
        CHECK(fixture.run(*other) == OrganisationId());
    }
}

TEST_CASE("at the limit the least recently used idle connection of another organisation is closed for a new one", "[connections]")
{
    OrganisationPool fixture(2);
    const auto a = fixture.acquire("a");
    const auto b = fixture.acquire("b");
    fixture.loop.advance(Milliseconds(20));
    b->connection.reset();
    fixture.loop.advance(Milliseconds(5));
    a->connection.reset();
    const auto c = fixture.acquire("c");
    fixture.loop.advance(Milliseconds(20));
    REQUIRE(c->connection);
    CHECK(fixture.target.peakOpen == 2);
    CHECK(fixture.events[PoolEvent::Evicted] == 1);
    CHECK(fixture.acquire("a")->connection);
    CHECK(fixture.events[PoolEvent::Reused] == 1);
}

TEST_CASE("a returned connection without a waiting request of its organisation makes room for the one that waits", "[connections]")
{
    OrganisationPool fixture(1);
    const auto a = fixture.acquire("a");
    fixture.loop.advance(Milliseconds(20));
    const auto b = fixture.acquire("b");
    CHECK(fixture.events[PoolEvent::Waited] == 1);
    a->connection.reset();
    fixture.loop.advance(Milliseconds(20));
    REQUIRE(b->connection);
    CHECK(fixture.run(*b) == OrganisationId("b"));
    CHECK(fixture.target.peakOpen == 1);
}

TEST_CASE("connections to a peer daemon serve all organisations", "[connections]")
{
    OrganisationPool fixture(1, true);
    fixture.acquire("a");
    fixture.loop.advance(Milliseconds(20));
    fixture.returnAll();
    CHECK(fixture.acquire("b")->connection);
    CHECK(fixture.target.attempts == 1);
    CHECK(fixture.target.attemptedFor == OrganisationId());
}

// Guards against one organisation at several times its usual load that keeps every connection of a home, because its own requests always
// wait when one of its connections is returned.
TEST_CASE("an organisation with many waiting requests does not keep others from a pool's connections", "[connections]")
{
    constexpr uint32_t limit = 4;
    OrganisationPool fixture(limit);
    constexpr Milliseconds step { 5 };
    constexpr int steps = 2000;
    const std::vector<std::string> others { "b", "c", "d" };
    std::map<std::string, uint32_t> served;
    for (int n = 0; n < steps; ++n) {
        for (int crowd = 0; n % 2 == 0 && crowd < 16; ++crowd)
            fixture.acquire("a");
        if (n % 20 == 0) {
            for (const auto& it : others)
                fixture.acquire(it);
        }
        fixture.loop.advance(step);
        // Each request holds its connection for one step.
        fixture.returnHeld(served);
    }
    for (const auto& it : others) {
        INFO(it << " was served " << served[it] << " times of " << steps / 20);
        CHECK(served[it] >= steps * 0.98 / 20);
    }
    // Changing the organisation of a connection costs time, so most connections stay with the organisation that uses them.
    CHECK(served["a"] > 5 * served["b"]);
    CHECK(fixture.target.peakOpen <= limit);
}

// Guards against a fair share that changes the organisation of a connection for every statement: opening one takes 12 ms of a slot.
TEST_CASE("organisations with waiting requests share a connection in turns that are longer than its opening", "[connections]")
{
    OrganisationPool fixture(1);
    std::map<std::string, uint32_t> served;
    for (int n = 0; n < 1000; ++n) {
        fixture.acquire("a");
        fixture.acquire("b");
        fixture.loop.advance(Milliseconds(5));
        fixture.returnHeld(served);
    }
    INFO("a " << served["a"] << ", b " << served["b"] << ", opened " << fixture.target.attempts);
    CHECK(served["a"] > 300);
    CHECK(served["b"] > 300);
    CHECK(fixture.target.attempts < (served["a"] + served["b"]) / 5);
}

TEST_CASE("while connection attempts fail, requests of other organisations keep the connections that answer", "[connections]")
{
    OrganisationPool fixture(2);
    const auto a = fixture.acquire("a");
    fixture.loop.advance(Milliseconds(20));
    REQUIRE(a->connection);
    fixture.target.limit = 1;
    const auto b = fixture.acquire("b", Milliseconds(5000));
    fixture.loop.advance(Milliseconds(100));
    SECTION("a full target is not suspect, and the request waits for its connection")
    {
        CHECK_FALSE(fixture.pool->isTargetSuspect());
        CHECK_FALSE(b->code);
        a->connection.reset();
        fixture.loop.advance(Milliseconds(2500));
        REQUIRE(b->connection);
        CHECK(fixture.run(*b) == OrganisationId("b"));
        CHECK(fixture.target.peakOpen == 1);
    }
    SECTION("a target that is down is suspect, and the request fails once no connection is in use")
    {
        fixture.target.isDown = true;
        fixture.loop.advance(Milliseconds(2000));
        CHECK(fixture.pool->isTargetSuspect());
        fixture.run(*a);
        a->connection.reset();
        fixture.loop.advance(Milliseconds(2000));
        CHECK(b->code == ResultCode::TargetUnreachable);
    }
}

// Guards against a statement that runs in the name of another organisation, after any sequence of requests, returns, evictions, lost
// connections, refused attempts and changed limits.
TEST_CASE("no request ever gets a connection of another organisation", "[connections][random]")
{
    const auto seed = static_cast<uint64_t>(GENERATE(range(1, 41)));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto below = [&random](uint64_t n) { return random() % n; };
    uint32_t limit = 1 + below(6);
    OrganisationPool fixture(limit);
    uint32_t checked = 0;
    for (int n = 0; n < 2000; ++n) {
        auto& requests = fixture.requests;
        switch (below(16)) {
        case 0:
            fixture.target.isDown = below(4) == 0;
            break;
        case 1:
            fixture.target.limit = 1 + below(6);
            break;
        case 2:
            limit = 1 + below(6);
            fixture.pool->setLimit(limit);
            break;
        case 3:
            fixture.target.outcome = below(3) == 0 ? ResultCode::TargetSilent : ResultCode::Done;
            break;
        default:
            fixture.acquire(std::string(1, static_cast<char>('a' + below(7))), Milliseconds(1 + below(300)));
        }
        fixture.loop.advance(Milliseconds(static_cast<double>(below(30))));
        for (const auto& it : requests) {
            if (!it->connection || below(3) == 0)
                continue;
            if (below(2) == 0) {
                REQUIRE(fixture.run(*it) == it->organisation);
                ++checked;
            }
            if (below(8) == 0)
                it->connection->discard();
            it->connection.reset();
        }
        requests.erase(std::remove_if(requests.begin(), requests.end(), [](const auto& it) { return it->code && !it->connection; }), requests.end());
        REQUIRE(fixture.pool->openConnections() == fixture.target.open);
        REQUIRE(fixture.target.peakOpen <= 6);
    }
    CHECK(checked > 100);
    // Every request is answered by its deadline.
    fixture.loop.advance(Milliseconds(2000));
    for (const auto& it : fixture.requests)
        REQUIRE(it->code);
}
