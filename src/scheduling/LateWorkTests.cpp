#include "base/ResultCode.h"
#include "scheduling/StatementTimes.h"
#include "scheduling/WorkQueueFixture.h"

using namespace parsleypaddle;

// Guards against slots spent on answers of little value while work that could be in time waits behind them and becomes late too.
TEST_CASE("late work of any urgency starts behind all work that can meet its objective", "[scheduling]")
{
    QueueFixture fixture(1);
    const WorkId late = fixture.offer(fixture.workWithObjective(Urgency::Critical, Milliseconds(30), Milliseconds(1000)));
    fixture.now = fixture.now + Milliseconds(40);
    const WorkId inTime = fixture.offer(fixture.workWithObjective(Urgency::Deferrable, Milliseconds(500), Milliseconds(1000)));
    for (const WorkId it : { inTime, late }) {
        REQUIRE(fixture.queue->startNext(fixture.now) == it);
        fixture.now = fixture.now + Milliseconds(1);
        fixture.queue->finish(it, fixture.now);
    }
    CHECK(fixture.queue->counts().startedLate == 1);
    CHECK(fixture.queue->counts().shed == 0);
}

// Guards against callers that are held for most of their time-out and then refused: they would have had time for a retry elsewhere.
TEST_CASE("late work whose expected wait exceeds the time that it has left is refused at once", "[scheduling]")
{
    QueueFixture fixture(1);
    fixture.recordRuns(shortStatement, Milliseconds(10), 20);
    fixture.now = fixture.now + Milliseconds(5000);
    size_t admitted = 0;
    for (int n = 0; n < 200; ++n) {
        fixture.offer(fixture.workWithObjective(Urgency::Normal, Milliseconds(200), Milliseconds(600)));
        admitted += fixture.admission.status.ok() ? 1 : 0;
    }
    // 200 ms of work is in time. It counts as load that continues, so only a part of the 400 ms behind it is promised to late work.
    CHECK(admitted >= 30);
    CHECK(admitted <= 50);
    CHECK(resultCodeOf(fixture.admission.status) == ResultCode::Overloaded);
    CHECK(fixture.queue->collectShed(fixture.now).empty());

    SECTION("late work that waits is refused when more work that is in time arrives than it can wait for")
    {
        for (int n = 0; n < 40; ++n) {
            fixture.offer(fixture.workWithObjective(Urgency::Critical, Milliseconds(1000), Milliseconds(1500), "other"));
            REQUIRE(fixture.admission.status.ok());
        }
        fixture.now = fixture.now + Milliseconds(10);
        CHECK(fixture.queue->collectShed(fixture.now).size() >= 10);
    }
}

TEST_CASE("work that becomes late while it waits is kept until its deadline and then shed", "[scheduling]")
{
    QueueFixture fixture(1);
    const WorkId id = fixture.offer(fixture.workWithObjective(Urgency::Normal, Milliseconds(30), Milliseconds(300)));
    fixture.now = fixture.now + Milliseconds(100);
    CHECK(fixture.queue->collectShed(fixture.now).empty());
    CHECK(fixture.queue->waitingCount() == 1);
    fixture.now = fixture.now + Milliseconds(200);
    CHECK(fixture.queue->collectShed(fixture.now) == std::vector<WorkId> { id });
}

// A queue full of late work must not refuse work that can be in time.
TEST_CASE("a full queue sheds late work of the highest urgency for work of the lowest that is in time", "[scheduling]")
{
    QueueFixture fixture(1, 1);
    const WorkId late = fixture.offer(fixture.workWithObjective(Urgency::Critical, Milliseconds(30), Milliseconds(1000)));
    fixture.now = fixture.now + Milliseconds(40);
    fixture.offer(fixture.work(Urgency::Deferrable));
    CHECK(fixture.admission.status.ok());
    CHECK(fixture.queue->collectShed(fixture.now) == std::vector<WorkId> { late });
}

// Guards against statements that start so late that their time-out ends them while they run.
TEST_CASE("a statement of a group without homes has no value after its objective, and one of a group with homes until its time-out", "[scheduling]")
{
    const StatementTimes refused = statementTimes(start, Milliseconds(200), Milliseconds(1000), LateStatements::Refuse);
    CHECK(refused.deadline == start + Milliseconds(200));
    const StatementTimes served = statementTimes(start, Milliseconds(200), Milliseconds(1000), LateStatements::Serve);
    CHECK(served.objective == start + Milliseconds(200));
    CHECK(served.deadline == start + Milliseconds(900));
    // The third class of the second deployment: objective 400 ms, time-out 1500 ms.
    CHECK(statementTimes(start, Milliseconds(400), Milliseconds(1500), LateStatements::Serve).deadline == start + Milliseconds(1400));
    // An objective beyond the time-out is kept.
    const StatementTimes longObjective = statementTimes(start, Milliseconds(1500), Milliseconds(1000), LateStatements::Serve);
    CHECK(longObjective.deadline == longObjective.objective);
}
