#include "standins/GroupModel.h"

#include "base/ResultCode.h"
#include "base/VirtualLoop.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

const TargetId first("db-a");
const TargetId second("db-b");
const TargetId third("db-c");

TargetBatch writeBatch(const std::string& request, Term term)
{
    TargetBatch batch;
    batch.operation = TargetOperation::Write;
    batch.term = term;
    batch.ledgerKey = { OrganisationId("shop"), RequestId(request), 7 };
    batch.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { "key", request } };
    return batch;
}

TargetBatch termBatch(TargetOperation operation, Term term)
{
    TargetBatch batch;
    batch.operation = operation;
    batch.term = term;
    return batch;
}

}

TEST_CASE("the model's replica holds a write after its delay and applies it after its lag", "[standins]")
{
    VirtualLoop loop;
    GroupModel model(loop, DatabaseId("db"), { first, second, third });
    model.setReplication(second, Milliseconds(2), Milliseconds(10));
    ModelTransaction connection;
    REQUIRE(model.execute(first, writeBatch("r1", Term(1)), connection).ok());

    loop.advance(Milliseconds(2));
    CHECK(model.statusOf(second).position == LogPosition(1));
    CHECK(model.statusOf(second).applied == LogPosition(0));
    loop.advance(Milliseconds(10));
    CHECK(model.statusOf(second).applied == LogPosition(1));
}

TEST_CASE("the model runs a write once and refuses a settled one for good", "[standins]")
{
    VirtualLoop loop;
    GroupModel model(loop, DatabaseId("db"), { first, second, third });
    ModelTransaction connection;
    REQUIRE(model.execute(first, writeBatch("r1", Term(1)), connection).ok());
    CHECK(model.execute(first, writeBatch("r1", Term(1)), connection)->ranBefore);

    auto settle = writeBatch("r2", Term(1));
    settle.operation = TargetOperation::Settle;
    CHECK_FALSE(model.execute(first, settle, connection)->ranBefore);
    CHECK(resultCodeOf(model.execute(first, writeBatch("r2", Term(1)), connection).status()) == ResultCode::RequestSettled);
    CHECK(model.survivingLog().size() == 2);
}

TEST_CASE("a fenced target's old log does not serve a read of a later term, and is cut back when it follows", "[standins]")
{
    VirtualLoop loop;
    GroupModel model(loop, DatabaseId("db"), { first, second, third });
    ModelTransaction connection;
    model.setIsolated(first, true);
    for (const char* it : { "r1", "r2", "r3" })
        REQUIRE(model.execute(first, writeBatch(it, Term(1)), connection).ok());
    REQUIRE(model.execute(second, termBatch(TargetOperation::Fence, Term(2)), connection).ok());
    REQUIRE(model.execute(second, termBatch(TargetOperation::Promote, Term(2)), connection).ok());
    REQUIRE(model.execute(second, writeBatch("r4", Term(2)), connection).ok());
    REQUIRE(model.execute(first, termBatch(TargetOperation::Fence, Term(3)), connection).ok());
    CHECK(model.statusOf(first).logTerm == Term(1));
    CHECK(model.statusOf(second).logTerm == Term(2));

    auto read = termBatch(TargetOperation::Read, Term(2));
    read.minimumPosition = LogPosition(1);
    read.statement = { "SELECT value FROM records WHERE key = $1", { "key" } };
    CHECK(resultCodeOf(model.execute(first, read, connection).status()) == ResultCode::TermChanged);
    CHECK(model.execute(second, read, connection).ok());

    REQUIRE(model.execute(second, termBatch(TargetOperation::Fence, Term(3)), connection).ok());
    REQUIRE(model.execute(second, termBatch(TargetOperation::Promote, Term(3)), connection).ok());
    model.setIsolated(first, false);
    loop.advance(Milliseconds(10));
    CHECK(model.statusOf(first).position == LogPosition(1));
    CHECK(model.execute(first, read, connection)->rows.values[0][0] == "r4");
}

TEST_CASE("a fenced target grants a term once and refuses its old primary's log", "[standins]")
{
    VirtualLoop loop;
    GroupModel model(loop, DatabaseId("db"), { first, second, third });
    ModelTransaction connection;
    REQUIRE(model.execute(second, termBatch(TargetOperation::Fence, Term(2)), connection).ok());
    CHECK_FALSE(model.execute(second, termBatch(TargetOperation::Fence, Term(2)), connection).ok());

    REQUIRE(model.execute(first, writeBatch("r1", Term(1)), connection).ok());
    loop.advance(Milliseconds(100));
    CHECK(model.statusOf(second).position == LogPosition(0));
    CHECK(model.statusOf(third).position == LogPosition(1));

    REQUIRE(model.execute(second, termBatch(TargetOperation::Promote, Term(2)), connection).ok());
    loop.advance(Milliseconds(100));
    CHECK(model.statusOf(first).role == TargetRole::Replica);
    CHECK(model.statusOf(first).position == LogPosition(0));
    CHECK(resultCodeOf(model.execute(first, writeBatch("r2", Term(1)), connection).status()) == ResultCode::NoPrimary);
}

TEST_CASE("a fenced target serves no read of the new term until it follows its primary", "[standins]")
{
    VirtualLoop loop;
    GroupModel model(loop, DatabaseId("db"), { first, second, third });
    ModelTransaction connection;
    model.setIsolated(second, true);
    REQUIRE(model.execute(first, writeBatch("r1", Term(1)), connection).ok());
    loop.advance(Milliseconds(100));

    // The second target wins term 2 without r1; the third holds r1 and is fenced, but cut off from the winner.
    REQUIRE(model.execute(second, termBatch(TargetOperation::Fence, Term(2)), connection).ok());
    REQUIRE(model.execute(second, termBatch(TargetOperation::Promote, Term(2)), connection).ok());
    REQUIRE(model.execute(second, writeBatch("r2", Term(2)), connection).ok());
    REQUIRE(model.execute(third, termBatch(TargetOperation::Fence, Term(2)), connection).ok());

    TargetBatch read = termBatch(TargetOperation::Read, Term(2));
    read.minimumPosition = LogPosition(1);
    read.statement = { "SELECT value FROM records WHERE key = $1", { "key" } };
    CHECK(resultCodeOf(model.execute(third, read, connection).status()) == ResultCode::TermChanged);
    model.setIsolated(second, false);
    loop.advance(Milliseconds(100));
    const auto reply = model.execute(third, read, connection);
    REQUIRE(reply.ok());
    CHECK(reply->rows.values[0][0] == "r2");
}
