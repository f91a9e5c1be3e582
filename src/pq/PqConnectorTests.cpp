#include "pq/PqConnector.h"

#include "base/ResultCode.h"
#include "net/PollLoop.h"
#include "standin_program/GroupStandin.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Milliseconds batchTimeout { 5000 };
constexpr Milliseconds shortTimeout { 20 };
constexpr Term firstTerm { 1 };

using Connection = std::unique_ptr<TargetConnection>;

/// A group of three targets and a connector on one loop.
class WireFixture {
public:
    WireFixture()
        : m_loop(std::move(*PollLoop::create()))
    {
        StandinGroup settings;
        settings.database = DatabaseId("db");
        settings.service.connections = 2;
        settings.service.connectTime = Milliseconds(0);
        settings.service.serviceTime = Milliseconds(0);
        for (const char* it : { "db-a", "db-b", "db-c" })
            settings.targets.push_back({ TargetId(it), 0, Milliseconds(0), Milliseconds(0) });
        group = std::move(*GroupStandin::create(*m_loop, settings));
        m_connector = PqConnector::create(*m_loop, { "tester", "db", "plateau/entry-1" });
    }

    absl::StatusOr<Connection> tryConnect(const std::string& target, Milliseconds timeout = batchTimeout)
    {
        absl::StatusOr<Connection> result;
        m_connector->connect(configurationOf(target), OrganisationId(), timeout, [&](auto connection) {
            result = std::move(connection);
            m_loop->stop();
        });
        runLoop();
        return result;
    }

    Connection connect(const std::string& target)
    {
        auto connection = tryConnect(target);
        REQUIRE(connection.ok());
        return std::move(*connection);
    }

    absl::StatusOr<TargetReply> run(TargetConnection& connection, const TargetBatch& batch, Milliseconds timeout = batchTimeout)
    {
        absl::StatusOr<TargetReply> result;
        connection.run(batch, timeout, [&](auto reply) {
            result = std::move(reply);
            m_loop->stop();
        });
        runLoop();
        return result;
    }

    ResultCode codeOf(TargetConnection& connection, const TargetBatch& batch, Milliseconds timeout = batchTimeout)
    {
        return resultCodeOf(run(connection, batch, timeout).status());
    }

    TargetServer& target(const std::string& id) { return *group->find(id); }
    TargetConnector& connector() { return *m_connector; }
    PollLoop& loop() { return *m_loop; }

    TargetConfiguration configurationOf(const std::string& id)
    {
        return { TargetId(id), { "127.0.0.1", target(id).port() }, FailureDomainId("plateau") };
    }

    /// Runs until the next stop().
    void runLoop() { m_loop->run(); }

private:
    std::unique_ptr<PollLoop> m_loop;

public:
    std::unique_ptr<GroupStandin> group;

private:
    std::unique_ptr<TargetConnector> m_connector;
};

TargetBatch wireBatch(TargetOperation operation, Term term = firstTerm)
{
    TargetBatch batch;
    batch.operation = operation;
    batch.term = term;
    return batch;
}

TargetBatch wireWrite(const std::string& request, TargetOperation operation = TargetOperation::Write)
{
    TargetBatch batch = wireBatch(operation);
    batch.ledgerKey = { OrganisationId("shop"), RequestId(request), 7 };
    batch.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { "key", request } };
    return batch;
}

TargetBatch wireRead(const std::string& key)
{
    TargetBatch batch = wireBatch(TargetOperation::Read);
    batch.statement = { "SELECT value FROM records WHERE key = $1", { key } };
    return batch;
}

}

TEST_CASE("a write and its read travel over the wire with rows and status", "[pq]")
{
    WireFixture wire;
    const auto connection = wire.connect("db-a");
    const auto written = wire.run(*connection, wireWrite("r1"));
    REQUIRE(written.ok());
    CHECK(written->rows.affectedRows == 1);
    CHECK_FALSE(written->ranBefore);
    CHECK(written->status.role == TargetRole::Primary);
    CHECK(written->status.term == firstTerm);
    CHECK(written->status.position == LogPosition(1));

    const auto seen = wire.run(*connection, wireRead("key"));
    REQUIRE(seen.ok());
    CHECK(seen->rows.columns == std::vector<std::string> { "value" });
    REQUIRE(seen->rows.values.size() == 1);
    CHECK(seen->rows.values[0][0] == "r1");
    CHECK(wire.run(*connection, wireRead("other"))->rows.values.empty());
    CHECK(wire.run(*connection, wireBatch(TargetOperation::Status))->status.applied == LogPosition(1));
}

TEST_CASE("a write that ran before is told so and the connection stays usable", "[pq]")
{
    WireFixture wire;
    const auto connection = wire.connect("db-a");
    REQUIRE(wire.run(*connection, wireWrite("r1")).ok());
    const auto again = wire.run(*connection, wireWrite("r1"));
    REQUIRE(again.ok());
    CHECK(again->ranBefore);
    CHECK(again->status.position == LogPosition(1));
    CHECK_FALSE(wire.run(*connection, wireWrite("r2"))->ranBefore);
    CHECK(wire.group->model().survivingLog().size() == 2);
}

TEST_CASE("refusals of the target keep their result code and the connection", "[pq]")
{
    WireFixture wire;
    const auto connection = wire.connect("db-a");
    REQUIRE(wire.run(*connection, wireWrite("used")).ok());
    REQUIRE(wire.run(*connection, wireWrite("settled", TargetOperation::Settle)).ok());

    auto batch = wireWrite("r1");
    auto expected = ResultCode::Done;
    SECTION("another term")
    {
        batch.term = Term(2);
        expected = ResultCode::TermChanged;
    }
    SECTION("a settled request")
    {
        batch = wireWrite("settled");
        expected = ResultCode::RequestSettled;
    }
    SECTION("a request id of another statement")
    {
        batch = wireWrite("used");
        batch.ledgerKey.fingerprint = 8;
        expected = ResultCode::RequestIdReused;
    }
    SECTION("a faulty statement")
    {
        batch.statement.text = "SELEC";
        expected = ResultCode::StatementFailed;
    }
    SECTION("a parameter with a zero byte")
    {
        batch.statement.parameters[1] = std::string("a\0b", 3);
        expected = ResultCode::StatementFailed;
    }
    SECTION("a read of a position that is not there")
    {
        batch = wireRead("key");
        batch.minimumPosition = LogPosition(9);
        expected = ResultCode::TargetBehind;
    }
    SECTION("a read that changes data")
    {
        batch.operation = TargetOperation::Read;
        expected = ResultCode::StatementFailed;
    }
    SECTION("a fence at a term already reached")
    {
        batch = wireBatch(TargetOperation::Fence, firstTerm);
        expected = ResultCode::TermChanged;
    }
    SECTION("a step of no transaction")
    {
        batch.operation = TargetOperation::Continue;
        expected = ResultCode::TransactionUnknown;
    }
    CHECK(wire.codeOf(*connection, batch) == expected);
    CHECK(wire.run(*connection, wireWrite("after")).ok());
    CHECK(wire.group->model().survivingRecords()["key"] == "after");
}

TEST_CASE("a replica refuses a write and a read that wants fresher data", "[pq]")
{
    WireFixture wire;
    wire.group->model().setReplication(TargetId("db-b"), Milliseconds(100'000), Milliseconds(0));
    const auto replica = wire.connect("db-b");
    CHECK(wire.codeOf(*replica, wireWrite("r1")) == ResultCode::NoPrimary);
    auto batch = wireRead("key");
    batch.greatestAge = Milliseconds(0);
    CHECK(wire.codeOf(*replica, batch) == ResultCode::TargetBehind);
    batch.greatestAge = Milliseconds(1'000'000'000);
    CHECK(wire.run(*replica, batch).ok());
}

TEST_CASE("a transaction is open over several batches and commits or rolls back whole", "[pq]")
{
    WireFixture wire;
    const auto connection = wire.connect("db-a");
    REQUIRE(wire.run(*connection, wireWrite("r1", TargetOperation::Begin)).ok());
    REQUIRE(wire.run(*connection, wireWrite("r2", TargetOperation::Continue)).ok());
    CHECK(wire.group->model().survivingLog().empty());
    SECTION("committed")
    {
        const auto reply = wire.run(*connection, wireWrite("r3", TargetOperation::Commit));
        REQUIRE(reply.ok());
        CHECK(reply->status.position == LogPosition(1));
        CHECK(wire.group->model().survivingRecords()["key"] == "r2");
    }
    SECTION("rolled back")
    {
        REQUIRE(wire.run(*connection, wireBatch(TargetOperation::Rollback)).ok());
        CHECK(wire.group->model().survivingLog().empty());
    }
    SECTION("ended by a failed statement")
    {
        auto batch = wireWrite("r3", TargetOperation::Continue);
        batch.statement.text = "SELEC";
        CHECK(wire.codeOf(*connection, batch) == ResultCode::StatementFailed);
        CHECK(wire.codeOf(*connection, wireWrite("r4", TargetOperation::Commit)) == ResultCode::TransactionUnknown);
        CHECK(wire.group->model().survivingLog().empty());
    }
    SECTION("not mixed with another write")
    {
        CHECK(wire.codeOf(*connection, wireWrite("r3")) == ResultCode::StatementFailed);
        CHECK(wire.run(*connection, wireWrite("r4", TargetOperation::Commit)).ok());
    }
    CHECK(wire.run(*connection, wireWrite("after")).ok());
}

TEST_CASE("fence and promote move the primary and the old one is refused", "[pq]")
{
    WireFixture wire;
    const auto old = wire.connect("db-a");
    const auto successor = wire.connect("db-b");
    const auto fenced = wire.run(*successor, wireBatch(TargetOperation::Fence, Term(2)));
    REQUIRE(fenced.ok());
    CHECK(fenced->status.term == Term(2));
    REQUIRE(wire.run(*wire.connect("db-c"), wireBatch(TargetOperation::Fence, Term(2))).ok());
    const auto promoted = wire.run(*successor, wireBatch(TargetOperation::Promote, Term(2)));
    REQUIRE(promoted.ok());
    CHECK(promoted->status.role == TargetRole::Primary);
    CHECK(wire.codeOf(*old, wireWrite("r1")) == ResultCode::NoPrimary);
}

TEST_CASE("an unknown outcome is settled on a new connection", "[pq]")
{
    WireFixture wire;
    auto connection = wire.connect("db-a");
    wire.target("db-a").loseNextAnswer(TargetOperation::Write);
    CHECK(wire.codeOf(*connection, wireWrite("ran")) == ResultCode::ConnectionLost);
    CHECK(wire.codeOf(*connection, wireWrite("ran")) == ResultCode::ConnectionLost);
    connection = wire.connect("db-a");
    CHECK(wire.run(*connection, wireWrite("ran", TargetOperation::Settle))->ranBefore);
    CHECK_FALSE(wire.run(*connection, wireWrite("never", TargetOperation::Settle))->ranBefore);
}

TEST_CASE("a silent connection times out while new ones work", "[pq]")
{
    WireFixture wire;
    auto connection = wire.connect("db-a");
    wire.target("db-a").silenceConnections();
    CHECK(wire.codeOf(*connection, wireWrite("r1"), shortTimeout) == ResultCode::TargetSilent);
    CHECK(wire.codeOf(*connection, wireWrite("r1"), shortTimeout) == ResultCode::ConnectionLost);
    CHECK(wire.run(*wire.connect("db-a"), wireWrite("r1")).ok());
}

TEST_CASE("connections to a target that is full, down, frozen or cut off are not opened", "[pq]")
{
    WireFixture wire;
    const auto first = wire.connect("db-a");
    SECTION("full")
    {
        const auto second = wire.connect("db-a");
        CHECK(resultCodeOf(wire.tryConnect("db-a").status()) == ResultCode::TargetUnreachable);
        CHECK(wire.run(*second, wireWrite("r1")).ok());
    }
    SECTION("down")
    {
        wire.target("db-a").setDown(true);
        CHECK(resultCodeOf(wire.tryConnect("db-a").status()) == ResultCode::TargetUnreachable);
        CHECK(wire.codeOf(*first, wireWrite("r1")) == ResultCode::ConnectionLost);
        wire.target("db-a").setDown(false);
    }
    SECTION("frozen")
    {
        wire.target("db-a").setFrozen(true);
        CHECK(resultCodeOf(wire.tryConnect("db-a", shortTimeout).status()) == ResultCode::TargetUnreachable);
        CHECK(wire.codeOf(*first, wireWrite("late"), shortTimeout) == ResultCode::TargetSilent);
        wire.loop().after(shortTimeout, [&] { wire.loop().stop(); });
        wire.runLoop();
        wire.target("db-a").setFrozen(false);
        CHECK(wire.run(*wire.connect("db-a"), wireWrite("late", TargetOperation::Settle))->ranBefore);
    }
    SECTION("cut off from this failure domain")
    {
        wire.target("db-a").setCut("plateau/", true);
        CHECK(resultCodeOf(wire.tryConnect("db-a", shortTimeout).status()) == ResultCode::TargetUnreachable);
        CHECK(wire.codeOf(*first, wireWrite("r1"), shortTimeout) == ResultCode::TargetSilent);
        wire.target("db-a").setCut("plateau/", false);
    }
    SECTION("cut off from another failure domain only")
    {
        wire.target("db-a").setCut("hann/", true);
        CHECK(wire.run(*first, wireWrite("r1")).ok());
    }
    CHECK(wire.connect("db-a"));
}

TEST_CASE("rows and parameters of several megabytes arrive whole", "[pq]")
{
    constexpr size_t size = 5'000'000;
    WireFixture wire;
    const auto connection = wire.connect("db-a");
    auto batch = wireWrite("big");
    batch.statement.parameters[1] = std::string(size, 'y');
    const auto written = wire.run(*connection, batch);
    INFO(written.status());
    REQUIRE(written.ok());
    CHECK(wire.run(*connection, wireRead("key"))->rows.values[0][0] == std::string(size, 'y'));
    batch = wireRead(std::to_string(size));
    batch.statement.text = "SELECT repeat('x', $1)";
    CHECK(wire.run(*connection, batch)->rows.values[0][0] == std::string(size, 'x'));
}

TEST_CASE("a connection or connector destroyed in the middle answers nothing more", "[pq]")
{
    WireFixture wire;
    auto connection = wire.connect("db-a");
    bool isAnswered = false;
    connection->run(wireWrite("r1"), batchTimeout, [&](auto) { isAnswered = true; });
    connection.reset();
    auto other = PqConnector::create(wire.loop(), {});
    other->connect(wire.configurationOf("db-b"), OrganisationId(), batchTimeout, [&](auto) { isAnswered = true; });
    other.reset();
    CHECK(wire.run(*wire.connect("db-a"), wireWrite("r2")).ok());
    CHECK_FALSE(isAnswered);
}

TEST_CASE("a connection may be destroyed by its own answer", "[pq]")
{
    WireFixture wire;
    auto connection = wire.connect("db-a");
    connection->run(wireWrite("r1"), batchTimeout, [&](auto reply) {
        CHECK(reply.ok());
        connection.reset();
        wire.loop().stop();
    });
    wire.runLoop();
    CHECK_FALSE(connection);
}
