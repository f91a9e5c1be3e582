#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "configuration/Configuration.h"

#include <absl/status/status.h>
#include <memory>
#include <optional>
#include <vector>

namespace parsleypaddle {

/// Identifies work within its queue.
using WorkId = Ordinal<struct WorkTag>;

/// Work to be run in a slot of a target, as its caller submits it.
struct WorkItem {
    WorkId id;
    /// Whose share of the slots the work uses.
    OrganisationId organisation;
    ClassName workload;
    Urgency urgency { Urgency::Normal };
    double classWeight { 1 };
    double organisationWeight { 1 };
    /// Key of the run-time estimate, which all work with the same key shares: a hash of the statement's text or, in the relay,
    /// of the database, whether the work opens a transaction and whether it is a write.
    uint64_t statement { 0 };
    Instant arrived;
    /// An answer by this time has its full value. Work that cannot meet it is late: it runs after all work that is in time.
    /// Unset if work has no value after its objective; it is then the same as `deadline`.
    std::optional<Instant> objective;
    /// Work that cannot meet this time is refused or shed.
    Instant deadline;
    /// Whether work beyond the organisation's share of an overloaded target runs behind that of others, of any urgency.
    bool isLimitedToShare { false };
    /// A later step of an open transaction. It already holds a connection, so load is no reason to reject or shed it: it is
    /// rejected only after its deadline, and shed only when its latest start has passed. It starts before other work of its
    /// urgency.
    bool isTransactionStep { false };
    /// Whether the work must not run twice. The queue does not use it.
    bool hasEffects { false };
};

/// Whether the queue admitted the work. When it was rejected, a retry is probably useful after `retryAfter`.
struct Admission {
    absl::Status status;
    Milliseconds retryAfter;
};

/// Slot and queue limits of a target's work queue.
struct WorkQueueSettings {
    /// Statements that may run at the same time.
    uint32_t slots { 1 };
    /// Share of the slots that long work may occupy, between 0 and 1; at least one slot.
    double longWorkShare { 0.5 };
    /// Work with an estimated or actual run time above this counts as long. For steps of open transactions, only the actual
    /// run time matters.
    Milliseconds longWorkThreshold { 50 };
    /// Maximum number of waiting statements, over all classes. Steps of open transactions are admitted beyond it.
    uint32_t capacity { 1000 };
};

/// Counters of a queue since it was created.
struct WorkQueueCounts {
    uint64_t started { 0 };
    uint64_t rejected { 0 };
    /// Removed while waiting, to admit more urgent work or because the deadline would probably be missed.
    uint64_t shed { 0 };
    /// Started as short work, but ran for longer than the limit of short work.
    uint64_t overruns { 0 };
    /// Started although it could no longer meet its objective. Also counted in `started`.
    uint64_t startedLate { 0 };
};

/// Decides which waiting work gets a target's next free slot. Reads no clock and runs nothing itself: the caller reports
/// every event with its time.
class WorkQueue {
public:
    virtual ~WorkQueue() = default;

    /// Admits work, or rejects it with Overloaded when it has missed or would probably miss its deadline, or when the queue
    /// is full. Work that would probably miss only its objective is admitted as late work. A full queue sheds one waiting
    /// statement that is late or of a lower urgency to admit the new one, if there is any besides steps of open transactions;
    /// collectShed() then returns it.
    virtual Admission offer(const WorkItem&, Instant now) = 0;

    /// Sheds waiting work whose latest start has passed, and late work whose estimated wait exceeds the time that it has left.
    /// Returns all work that was shed since the last call. None of it has run.
    virtual std::vector<WorkId> collectShed(Instant now) = 0;

    /// Selects the work to run next and occupies a slot for it; nullopt when no slot is free, no work waits, or only long
    /// work waits while long work occupies its share of the slots.
    virtual std::optional<WorkId> startNext(Instant now) = 0;

    /// Frees the slot of finished work and records its run time.
    virtual void finish(WorkId, Instant now) = 0;

    /// Removes waiting work whose caller has gone away. Work that has started is unaffected.
    virtual void cancel(WorkId) = 0;

    virtual void setSettings(const WorkQueueSettings&) = 0;

    virtual size_t waitingCount() const = 0;
    virtual size_t runningCount() const = 0;
    virtual WorkQueueCounts counts() const = 0;

    static std::unique_ptr<WorkQueue> create(const WorkQueueSettings&);
};

}
