#include "base/ResultCode.h"
#include "scheduling/RetryBudget.h"
#include "scheduling/RunTimeEstimator.h"
#include "scheduling/WorkQueue.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace parsleypaddle;

namespace {

constexpr Instant start { 1'000'000.0 };
constexpr uint64_t shortStatement = 1;
constexpr uint64_t longStatement = 2;

struct QueueBench {
    explicit QueueBench(uint32_t slots, uint32_t capacity = 1000)
    {
        WorkQueueSettings settings;
        settings.slots = slots;
        settings.capacity = capacity;
        queue = WorkQueue::create(settings);
    }

    Work work(Urgency urgency, const std::string& shop = "s", uint64_t statement = shortStatement, Milliseconds patience = Milliseconds(5000))
    {
        Work it;
        it.id = WorkId(++last);
        it.shop = ShopId(shop);
        it.workload = ClassName(urgency == Urgency::Urgent ? "urgent" : "other");
        it.urgency = urgency;
        it.statement = statement;
        it.arrived = now;
        it.deadline = now + patience;
        return it;
    }

    WorkId offer(const Work& it)
    {
        admission = queue->offer(it, now);
        return it.id;
    }

    /// Runs a statement alone `times` times, so that the queue knows what it takes.
    void teach(uint64_t statement, Milliseconds took, int times = 5)
    {
        for (int n = 0; n < times; ++n) {
            const WorkId id = offer(work(Urgency::Normal, "teacher", statement));
            REQUIRE(queue->start(now) == id);
            now = now + took;
            queue->finish(id, now);
        }
    }

    uint64_t last { 0 };
    Instant now { start };
    Admission admission;
    std::unique_ptr<WorkQueue> queue;
};

}

TEST_CASE("urgent work starts before other work that came earlier", "[scheduling]")
{
    QueueBench bench(1);
    const WorkId deferrable = bench.offer(bench.work(Urgency::Deferrable));
    const WorkId normal = bench.offer(bench.work(Urgency::Normal));
    const WorkId urgent = bench.offer(bench.work(Urgency::Urgent));
    for (const WorkId it : { urgent, normal, deferrable }) {
        CHECK(bench.queue->start(bench.now) == it);
        CHECK_FALSE(bench.queue->start(bench.now).has_value());
        bench.queue->finish(it, bench.now);
    }
}

TEST_CASE("lower urgencies keep a small share until urgent work is pressed", "[scheduling]")
{
    QueueBench bench(1);
    bench.teach(shortStatement, Milliseconds(2));
    const auto patience = GENERATE(Milliseconds(5000), Milliseconds(20));
    std::set<WorkId> lower;
    for (int n = 0; n < 50; ++n)
        lower.insert(bench.offer(bench.work(Urgency::Deferrable, "s", shortStatement, Milliseconds(5000))));
    int lowerStarts = 0;
    for (int n = 0; n < 400; ++n) {
        bench.offer(bench.work(Urgency::Urgent, "s", shortStatement, patience));
        // Waits of more than half the short patience: the urgent class is pressed at every start.
        if (patience < Milliseconds(100))
            bench.now = bench.now + Milliseconds(12);
        const auto id = bench.queue->start(bench.now);
        REQUIRE(id.has_value());
        lowerStarts += lower.count(*id) > 0 ? 1 : 0;
        bench.now = bench.now + Milliseconds(2);
        bench.queue->finish(*id, bench.now);
    }
    if (patience > Milliseconds(100)) {
        CHECK(lowerStarts >= 10);
        CHECK(lowerStarts <= 30);
    } else {
        CHECK(lowerStarts == 0);
    }
}

TEST_CASE("shops of a class share by weight, however much one of them asks", "[scheduling]")
{
    QueueBench bench(1);
    std::map<WorkId, std::string> shops;
    for (int n = 0; n < 300; ++n) {
        shops[bench.offer(bench.work(Urgency::Normal, "greedy"))] = "greedy";
        if (n % 5 != 0)
            continue;
        Work modest = bench.work(Urgency::Normal, "modest");
        modest.shopWeight = 2;
        shops[bench.offer(modest)] = "modest";
    }
    std::map<std::string, int> started;
    for (int n = 0; n < 60; ++n) {
        const auto id = bench.queue->start(bench.now);
        ++started[shops.at(id.value())];
        bench.now = bench.now + Milliseconds(1);
        bench.queue->finish(*id, bench.now);
    }
    CHECK(started["modest"] >= 38);
    CHECK(started["greedy"] >= 18);
}

TEST_CASE("long work holds only its share of the slots", "[scheduling]")
{
    QueueBench bench(4);
    bench.teach(shortStatement, Milliseconds(2));
    bench.teach(longStatement, Milliseconds(200));
    std::array<WorkId, 4> longWork;
    for (auto& it : longWork)
        it = bench.offer(bench.work(Urgency::Urgent, "s", longStatement));
    CHECK(bench.queue->start(bench.now) == longWork[0]);
    CHECK(bench.queue->start(bench.now) == longWork[1]);
    CHECK_FALSE(bench.queue->start(bench.now).has_value());
    const WorkId brief = bench.offer(bench.work(Urgency::Deferrable));
    CHECK(bench.queue->start(bench.now) == brief);
    bench.queue->finish(longWork[0], bench.now);
    CHECK(bench.queue->start(bench.now) == longWork[2]);
}

TEST_CASE("work that overruns counts as long while it runs", "[scheduling]")
{
    QueueBench bench(4);
    bench.teach(shortStatement, Milliseconds(2));
    bench.teach(longStatement, Milliseconds(200));
    for (int n = 0; n < 2; ++n) {
        bench.offer(bench.work(Urgency::Normal));
        REQUIRE(bench.queue->start(bench.now).has_value());
    }
    bench.now = bench.now + Milliseconds(100);
    bench.offer(bench.work(Urgency::Normal, "s", longStatement));
    CHECK_FALSE(bench.queue->start(bench.now).has_value());
    CHECK(bench.queue->counts().overran >= 2);
}

TEST_CASE("work that could not end in time is refused at once with a hint", "[scheduling]")
{
    QueueBench bench(1);
    bench.teach(shortStatement, Milliseconds(10), 20);
    size_t admitted = 0;
    for (int n = 0; n < 100; ++n) {
        bench.offer(bench.work(Urgency::Normal, "s", shortStatement, Milliseconds(200)));
        admitted += bench.admission.status.ok() ? 1 : 0;
    }
    CHECK(admitted >= 15);
    CHECK(admitted <= 25);
    CHECK(resultCodeOf(bench.admission.status) == ResultCode::Overloaded);
    CHECK(bench.admission.retryAfter > Milliseconds(0));

    SECTION("urgent work is still taken in")
    {
        bench.offer(bench.work(Urgency::Urgent, "s", shortStatement, Milliseconds(200)));
        CHECK(bench.admission.status.ok());
    }
    SECTION("a shop that asked for little is still taken in")
    {
        bench.offer(bench.work(Urgency::Normal, "modest", shortStatement, Milliseconds(200)));
        CHECK(bench.admission.status.ok());
    }
}

TEST_CASE("a full queue sheds the lowest urgency for a higher one and refuses equals", "[scheduling]")
{
    QueueBench bench(1, 3);
    bench.offer(bench.work(Urgency::Normal));
    bench.offer(bench.work(Urgency::Deferrable));
    const WorkId newest = bench.offer(bench.work(Urgency::Deferrable));
    bench.offer(bench.work(Urgency::Deferrable));
    CHECK(resultCodeOf(bench.admission.status) == ResultCode::Overloaded);
    bench.offer(bench.work(Urgency::Urgent));
    CHECK(bench.admission.status.ok());
    CHECK(bench.queue->takeShed(bench.now) == std::vector<WorkId> { newest });
    CHECK(bench.queue->waiting() == 3);
}

TEST_CASE("overdue and cancelled work never starts", "[scheduling]")
{
    QueueBench bench(1);
    const WorkId overdue = bench.offer(bench.work(Urgency::Normal, "s", shortStatement, Milliseconds(50)));
    const WorkId cancelled = bench.offer(bench.work(Urgency::Normal));
    bench.queue->cancel(cancelled);
    bench.now = bench.now + Milliseconds(60);
    CHECK_FALSE(bench.queue->start(bench.now).has_value());
    CHECK(bench.queue->takeShed(bench.now) == std::vector<WorkId> { overdue });
}

TEST_CASE("a few stragglers do not make a short statement long", "[scheduling]")
{
    RunTimeModel model;
    for (int n = 0; n < 100; ++n)
        model.learn(shortStatement, Milliseconds(n % 20 == 19 ? 400 : 2), start);
    CHECK(model.estimate(shortStatement, start).typical < Milliseconds(10));
    CHECK(model.estimate(shortStatement, start).mean > Milliseconds(10));
    for (uint64_t n = 0; n < 10'000; ++n)
        model.learn(n, Milliseconds(1), start);
    CHECK(model.statements() <= 4096);
}

TEST_CASE("retries stay a share of first attempts, and a quiet daemon keeps a small reserve", "[scheduling]")
{
    const bool isBounded = rc::check("never more retries than earned", [] {
        const auto isFirst = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        RetryBudget budget;
        size_t firsts = 0;
        size_t retries = 0;
        for (const bool it : isFirst) {
            if (it) {
                budget.firstAttempt();
                ++firsts;
            } else {
                retries += budget.takeRetry(start) ? 1 : 0;
            }
            RC_ASSERT(retries <= 5 + firsts / 10);
        }
    });
    CHECK(isBounded);
    RetryBudget quiet;
    while (quiet.takeRetry(start)) { }
    CHECK_FALSE(quiet.takeRetry(start + Milliseconds(500)));
    CHECK(quiet.takeRetry(start + Milliseconds(2000)));
}

namespace {

/// The naive version: three FIFO lists in strict order, but that a lower one is owed a start for every 20 it waited for.
struct NaiveQueue {
    static constexpr double cost = 0.01;
    std::deque<WorkId> levels[3];
    double owed[3] = { 0, 0, 0 };
    std::set<WorkId> running;

    std::optional<size_t> next() const
    {
        std::optional<size_t> highest;
        for (size_t n = 0; n < 3; ++n) {
            if (!levels[n].empty() && (!highest || owed[n] >= cost)) {
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
        owed[level] = std::max(0.0, owed[level] - cost);
        for (size_t n = level + 1; n < 3; ++n)
            owed[n] = levels[n].empty() ? 0 : owed[n] + 0.05 * cost;
        running.insert(id);
        return id;
    }
};

}

// One shop, one class an urgency, ample deadlines and short work of equal cost: what the naive version lacks rests.
TEST_CASE("without pressure a queue starts work as three plain lists do", "[scheduling][differential]")
{
    const bool isSame = rc::check("same starts", [] {
        const auto slots = *rc::gen::inRange<uint32_t>(1, 5);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        QueueBench bench(slots);
        bench.teach(shortStatement, Milliseconds(0));
        NaiveQueue naive;
        for (const int step : steps) {
            if (step < 3) {
                naive.levels[step].push_back(bench.offer(bench.work(static_cast<Urgency>(step))));
                RC_ASSERT(bench.admission.status.ok());
            } else if (!naive.running.empty()) {
                const WorkId id = *naive.running.begin();
                bench.queue->finish(id, bench.now);
                naive.running.erase(id);
            }
            while (const auto started = bench.queue->start(bench.now)) {
                RC_ASSERT(naive.running.size() < slots);
                RC_ASSERT(naive.next().has_value());
                RC_ASSERT(naive.startNext().value() == started->value());
            }
            RC_ASSERT(naive.running.size() == slots || !naive.next());
        }
    });
    CHECK(isSame);
}

TEST_CASE("whatever happens, every admitted work ends exactly once and no limit is passed", "[scheduling][differential]")
{
    const bool holds = rc::check("conservation", [] {
        const auto slots = *rc::gen::inRange<uint32_t>(1, 5);
        const auto steps = *rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange<uint32_t>(0, 1000));
        QueueBench bench(slots, 10);
        std::set<WorkId> waiting;
        std::map<WorkId, Instant> deadlines;
        std::set<WorkId> running;
        for (const uint32_t step : steps) {
            bench.now = bench.now + Milliseconds(step % 7);
            const Work work = bench.work(static_cast<Urgency>(step % 3), std::to_string(step % 5), step % 4, Milliseconds(1 + step % 90));
            bench.offer(work);
            if (bench.admission.status.ok()) {
                waiting.insert(work.id);
                deadlines[work.id] = work.deadline;
            }
            if (step % 2 == 0 && !running.empty()) {
                bench.queue->finish(*running.begin(), bench.now);
                running.erase(running.begin());
            }
            while (const auto started = bench.queue->start(bench.now)) {
                RC_ASSERT(waiting.erase(*started) == 1U);
                RC_ASSERT(bench.now <= deadlines[*started]);
                running.insert(*started);
            }
            for (const WorkId it : bench.queue->takeShed(bench.now))
                RC_ASSERT(waiting.erase(it) == 1U);
            RC_ASSERT(running.size() <= slots);
            RC_ASSERT(bench.queue->waiting() == waiting.size());
            RC_ASSERT(waiting.size() <= 10U);
        }
    });
    CHECK(holds);
}
