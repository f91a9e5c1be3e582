#include "base/ResultCode.h"
#include "scheduling/RetryBudget.h"
#include "scheduling/RunTimeEstimator.h"
#include "scheduling/WorkQueueFixture.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace parsleypaddle;

TEST_CASE("urgent work starts before less urgent work that arrived earlier", "[scheduling]")
{
    QueueFixture fixture(1);
    const WorkId deferrable = fixture.offer(fixture.work(Urgency::Deferrable));
    const WorkId normal = fixture.offer(fixture.work(Urgency::Normal));
    const WorkId urgent = fixture.offer(fixture.work(Urgency::Urgent));
    const WorkId critical = fixture.offer(fixture.work(Urgency::Critical));
    for (const WorkId it : { critical, urgent, normal, deferrable }) {
        CHECK(fixture.queue->startNext(fixture.now) == it);
        CHECK_FALSE(fixture.queue->startNext(fixture.now).has_value());
        fixture.queue->finish(it, fixture.now);
    }
}

TEST_CASE("less urgent work receives a small share of the starts unless urgent work is close to its deadline", "[scheduling]")
{
    QueueFixture fixture(1);
    fixture.recordRuns(shortStatement, Milliseconds(2));
    const auto timeToDeadline = GENERATE(Milliseconds(5000), Milliseconds(20));
    std::set<WorkId> lower;
    for (int n = 0; n < 50; ++n)
        lower.insert(fixture.offer(fixture.work(Urgency::Deferrable, "s", shortStatement, Milliseconds(5000))));
    int lowerStarts = 0;
    for (int n = 0; n < 400; ++n) {
        fixture.offer(fixture.work(Urgency::Urgent, "s", shortStatement, timeToDeadline));
        // 12 ms is more than half of the 20 ms to the deadline, so urgent work is under deadline pressure at every start.
        if (timeToDeadline < Milliseconds(100))
            fixture.now = fixture.now + Milliseconds(12);
        const auto id = fixture.queue->startNext(fixture.now);
        REQUIRE(id.has_value());
        lowerStarts += lower.count(*id) > 0 ? 1 : 0;
        fixture.now = fixture.now + Milliseconds(2);
        fixture.queue->finish(*id, fixture.now);
    }
    if (timeToDeadline > Milliseconds(100)) {
        CHECK(lowerStarts >= 10);
        CHECK(lowerStarts <= 30);
    } else {
        CHECK(lowerStarts == 0);
    }
}

TEST_CASE("organisations of a class share the starts by weight even when one of them floods the queue", "[scheduling]")
{
    QueueFixture fixture(1);
    std::map<WorkId, std::string> organisations;
    for (int n = 0; n < 300; ++n) {
        organisations[fixture.offer(fixture.work(Urgency::Normal, "greedy"))] = "greedy";
        if (n % 5 != 0)
            continue;
        WorkItem modest = fixture.work(Urgency::Normal, "modest");
        modest.organisationWeight = 2;
        organisations[fixture.offer(modest)] = "modest";
    }
    std::map<std::string, int> started;
    for (int n = 0; n < 60; ++n) {
        const auto id = fixture.queue->startNext(fixture.now);
        ++started[organisations.at(id.value())];
        fixture.now = fixture.now + Milliseconds(1);
        fixture.queue->finish(*id, fixture.now);
    }
    CHECK(started["modest"] >= 38);
    CHECK(started["greedy"] >= 18);
}

TEST_CASE("long work occupies at most its share of the slots", "[scheduling]")
{
    QueueFixture fixture(4);
    fixture.recordRuns(shortStatement, Milliseconds(2));
    fixture.recordRuns(longStatement, Milliseconds(200));
    std::array<WorkId, 4> longWork;
    for (auto& it : longWork)
        it = fixture.offer(fixture.work(Urgency::Urgent, "s", longStatement));
    CHECK(fixture.queue->startNext(fixture.now) == longWork[0]);
    CHECK(fixture.queue->startNext(fixture.now) == longWork[1]);
    CHECK_FALSE(fixture.queue->startNext(fixture.now).has_value());
    const WorkId shortWork = fixture.offer(fixture.work(Urgency::Deferrable));
    CHECK(fixture.queue->startNext(fixture.now) == shortWork);
    fixture.queue->finish(longWork[0], fixture.now);
    CHECK(fixture.queue->startNext(fixture.now) == longWork[2]);
}

TEST_CASE("running work that exceeds the limit of short work counts as long", "[scheduling]")
{
    QueueFixture fixture(4);
    fixture.recordRuns(shortStatement, Milliseconds(2));
    fixture.recordRuns(longStatement, Milliseconds(200));
    for (int n = 0; n < 2; ++n) {
        fixture.offer(fixture.work(Urgency::Normal));
        REQUIRE(fixture.queue->startNext(fixture.now).has_value());
    }
    fixture.now = fixture.now + Milliseconds(100);
    fixture.offer(fixture.work(Urgency::Normal, "s", longStatement));
    CHECK_FALSE(fixture.queue->startNext(fixture.now).has_value());
    CHECK(fixture.queue->counts().overruns >= 2);
}

TEST_CASE("work that cannot finish by its deadline is rejected at once with a retry delay", "[scheduling]")
{
    QueueFixture fixture(1);
    fixture.recordRuns(shortStatement, Milliseconds(10), 20);
    size_t admitted = 0;
    for (int n = 0; n < 100; ++n) {
        fixture.offer(fixture.work(Urgency::Normal, "s", shortStatement, Milliseconds(200)));
        admitted += fixture.admission.status.ok() ? 1 : 0;
    }
    CHECK(admitted >= 15);
    CHECK(admitted <= 25);
    CHECK(resultCodeOf(fixture.admission.status) == ResultCode::Overloaded);
    CHECK(fixture.admission.retryAfter > Milliseconds(0));

    SECTION("urgent work is still admitted")
    {
        fixture.offer(fixture.work(Urgency::Urgent, "s", shortStatement, Milliseconds(200)));
        CHECK(fixture.admission.status.ok());
    }
    SECTION("work of an organisation without waiting work is still admitted")
    {
        fixture.offer(fixture.work(Urgency::Normal, "modest", shortStatement, Milliseconds(200)));
        CHECK(fixture.admission.status.ok());
    }
}

TEST_CASE("a full queue sheds the least urgent work for more urgent work and rejects work of equal urgency", "[scheduling]")
{
    QueueFixture fixture(1, 3);
    fixture.offer(fixture.work(Urgency::Normal));
    fixture.offer(fixture.work(Urgency::Deferrable));
    const WorkId newest = fixture.offer(fixture.work(Urgency::Deferrable));
    fixture.offer(fixture.work(Urgency::Deferrable));
    CHECK(resultCodeOf(fixture.admission.status) == ResultCode::Overloaded);
    fixture.offer(fixture.work(Urgency::Urgent));
    CHECK(fixture.admission.status.ok());
    CHECK(fixture.queue->collectShed(fixture.now) == std::vector<WorkId> { newest });
    CHECK(fixture.queue->waitingCount() == 3);
}

TEST_CASE("overdue and cancelled work never starts", "[scheduling]")
{
    QueueFixture fixture(1);
    const WorkId overdue = fixture.offer(fixture.work(Urgency::Normal, "s", shortStatement, Milliseconds(50)));
    const WorkId cancelled = fixture.offer(fixture.work(Urgency::Normal));
    fixture.queue->cancel(cancelled);
    fixture.now = fixture.now + Milliseconds(60);
    CHECK_FALSE(fixture.queue->startNext(fixture.now).has_value());
    CHECK(fixture.queue->collectShed(fixture.now) == std::vector<WorkId> { overdue });
}

TEST_CASE("a few slow runs barely change the geometric mean, and the number of statements with statistics is limited", "[scheduling]")
{
    RunTimeEstimator estimator;
    for (int n = 0; n < 100; ++n)
        estimator.recordRun(shortStatement, Milliseconds(n % 20 == 19 ? 400 : 2), start);
    CHECK(estimator.estimate(shortStatement, start).geometricMean < Milliseconds(10));
    CHECK(estimator.estimate(shortStatement, start).mean > Milliseconds(10));
    for (uint64_t n = 0; n < 10'000; ++n)
        estimator.recordRun(n, Milliseconds(1), start);
    CHECK(estimator.statementCount() <= 4096);
}

TEST_CASE("retries are limited to a share of the first attempts, and tokens are also added over time without requests", "[scheduling]")
{
    const bool isBounded = rc::check("no more retries than the initial tokens and the first attempts allow", [] {
        const auto isFirst = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        RetryBudget budget;
        size_t firsts = 0;
        size_t retries = 0;
        for (const bool it : isFirst) {
            if (it) {
                budget.recordFirstAttempt();
                ++firsts;
            } else {
                retries += budget.tryConsumeRetry(start) ? 1 : 0;
            }
            RC_ASSERT(retries <= 5 + firsts / 10);
        }
    });
    CHECK(isBounded);
    RetryBudget idleBudget;
    while (idleBudget.tryConsumeRetry(start)) { }
    CHECK_FALSE(idleBudget.tryConsumeRetry(start + Milliseconds(500)));
    CHECK(idleBudget.tryConsumeRetry(start + Milliseconds(2000)));
}

namespace {

/// Reference model: one FIFO list per urgency. The most urgent list that is not empty is served first, except that a less
/// urgent list gets one start for every 20 starts from more urgent ones while it is not empty.
struct ReferenceQueue {
    static constexpr double cost = 0.01;
    std::deque<WorkId> levels[4];
    double credit[4] = { 0, 0, 0, 0 };
    std::set<WorkId> running;

    std::optional<size_t> next() const
    {
        std::optional<size_t> highest;
        for (size_t n = 0; n < 4; ++n) {
            if (!levels[n].empty() && (!highest || credit[n] >= cost)) {
                if (highest)
                    return n;
                highest = n;
            }
        }
        return highest;
    }

    WorkId startNext()
    {
        const size_t level = *next();
        const WorkId id = levels[level].front();
        levels[level].pop_front();
        credit[level] = std::max(0.0, credit[level] - cost);
        for (size_t n = level + 1; n < 4; ++n)
            credit[n] = levels[n].empty() ? 0 : credit[n] + 0.05 * cost;
        running.insert(id);
        return id;
    }
};

}

// The reference model has no organisations, deadlines or long work, so the test uses one organisation, one class per urgency, distant
// deadlines and short work of equal cost.
TEST_CASE("without deadline pressure the queue starts work in the same order as a reference model", "[scheduling][differential]")
{
    const bool isSame = rc::check("same order of starts", [] {
        const auto slots = *rc::gen::inRange<uint32_t>(1, 5);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        QueueFixture fixture(slots);
        fixture.recordRuns(shortStatement, Milliseconds(0));
        ReferenceQueue reference;
        for (const int step : steps) {
            if (step < 4) {
                reference.levels[step].push_back(fixture.offer(fixture.work(static_cast<Urgency>(step))));
                RC_ASSERT(fixture.admission.status.ok());
            } else if (!reference.running.empty()) {
                const WorkId id = *reference.running.begin();
                fixture.queue->finish(id, fixture.now);
                reference.running.erase(id);
            }
            while (const auto started = fixture.queue->startNext(fixture.now)) {
                RC_ASSERT(reference.running.size() < slots);
                RC_ASSERT(reference.next().has_value());
                RC_ASSERT(reference.startNext().value() == started->value());
            }
            RC_ASSERT(reference.running.size() == slots || !reference.next());
        }
    });
    CHECK(isSame);
}

TEST_CASE("admitted work waits until it is started or shed exactly once, and slots and capacity are never exceeded", "[scheduling][differential]")
{
    const bool holds = rc::check("no work is lost or started twice", [] {
        const auto slots = *rc::gen::inRange<uint32_t>(1, 5);
        const auto steps = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 1000));
        QueueFixture fixture(slots, 10);
        std::set<WorkId> waiting;
        std::map<WorkId, Instant> deadlines;
        std::set<WorkId> running;
        for (const uint32_t step : steps) {
            fixture.now = fixture.now + Milliseconds(step % 7);
            const WorkItem work = fixture.work(static_cast<Urgency>(step % 4), std::to_string(step % 5), step % 4, Milliseconds(1 + step % 90));
            fixture.offer(work);
            if (fixture.admission.status.ok()) {
                waiting.insert(work.id);
                deadlines[work.id] = work.deadline;
            }
            if (step % 2 == 0 && !running.empty()) {
                fixture.queue->finish(*running.begin(), fixture.now);
                running.erase(running.begin());
            }
            while (const auto started = fixture.queue->startNext(fixture.now)) {
                RC_ASSERT(waiting.erase(*started) == 1U);
                RC_ASSERT(fixture.now <= deadlines[*started]);
                running.insert(*started);
            }
            for (const WorkId it : fixture.queue->collectShed(fixture.now))
                RC_ASSERT(waiting.erase(it) == 1U);
            RC_ASSERT(running.size() <= slots);
            RC_ASSERT(fixture.queue->waitingCount() == waiting.size());
            RC_ASSERT(waiting.size() <= 10U);
        }
    });
    CHECK(holds);
}
