#pragma once

#include "scheduling/WorkQueue.h"

#include <catch2/catch.hpp>

namespace parsleypaddle {

inline constexpr Instant start { 1'000'000.0 };
inline constexpr uint64_t shortStatement = 1;
inline constexpr uint64_t longStatement = 2;

/// A work queue with the ids and times of the work that a test offers it.
struct QueueFixture {
    explicit QueueFixture(uint32_t slots, uint32_t capacity = 1000)
    {
        WorkQueueSettings settings;
        settings.slots = slots;
        settings.capacity = capacity;
        queue = WorkQueue::create(settings);
    }

    WorkItem work(Urgency urgency, const std::string& organisation = "s", uint64_t statement = shortStatement, Milliseconds timeToDeadline = Milliseconds(5000))
    {
        WorkItem it;
        it.id = WorkId(++lastId);
        it.organisation = OrganisationId(organisation);
        it.workload = ClassName(urgency == Urgency::Urgent ? "urgent" : "other");
        it.urgency = urgency;
        it.statement = statement;
        it.arrived = now;
        it.deadline = now + timeToDeadline;
        return it;
    }

    /// Work that still has some value after its objective.
    WorkItem workWithObjective(Urgency urgency, Milliseconds objective, Milliseconds timeToDeadline, const std::string& organisation = "s")
    {
        WorkItem it = work(urgency, organisation, shortStatement, timeToDeadline);
        it.objective = now + objective;
        return it;
    }

    WorkId offer(const WorkItem& it)
    {
        admission = queue->offer(it, now);
        return it.id;
    }

    /// Runs a statement alone `times` times, so that the queue has an estimate of its run time.
    void recordRuns(uint64_t statement, Milliseconds duration, int times = 5)
    {
        for (int n = 0; n < times; ++n) {
            const WorkId id = offer(work(Urgency::Normal, "warmup", statement));
            REQUIRE(queue->startNext(now) == id);
            now = now + duration;
            queue->finish(id, now);
        }
    }

    uint64_t lastId { 0 };
    Instant now { start };
    Admission admission;
    std::unique_ptr<WorkQueue> queue;
};

}
