#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "configuration/Configuration.h"

#include <absl/status/status.h>
#include <memory>
#include <optional>
#include <vector>

namespace parsleypaddle {

/// Names one piece of work within its queue.
using WorkId = Ordinal<struct WorkTag>;

/// A statement that waits for a slot of a target.
struct Work {
    WorkId id;
    ShopId shop;
    ClassName workload;
    Urgency urgency { Urgency::Normal };
    double classWeight { 1 };
    double shopWeight { 1 };
    /// Hash of the statement's text, by which run times are learned.
    uint64_t statement { 0 };
    Instant arrived;
    Instant deadline;
    /// A later step of an open transaction: it holds a connection, so it is never refused and goes first in its urgency.
    bool isContinuation { false };
};

/// Whether work was taken in; a refused one carries a hint when to come again.
struct Admission {
    absl::Status status;
    Milliseconds retryAfter;
};

/// Settings of a queue.
struct WorkQueueSettings {
    uint32_t slots { 1 };
    double longWorkShare { 0.5 };
    Milliseconds longWork { 50 };
    /// Work that may wait at most, over all classes.
    uint32_t capacity { 1000 };
};

/// What a queue did with its work so far.
struct WorkQueueCounts {
    uint64_t started { 0 };
    uint64_t refused { 0 };
    /// Dropped while waiting: for more urgent work, or because the deadline could not be met any more.
    uint64_t shed { 0 };
    /// Taken for short work, and ran longer than short work may.
    uint64_t overran { 0 };
};

/// Decides which waiting work gets a target's next free slot. Pure: it is told of every event and its time.
class WorkQueue {
public:
    virtual ~WorkQueue() = default;

    /// Takes work in, or refuses it with Overloaded when it could not end by its deadline.
    /// Taking urgent work in may shed waiting work of a lower class: takeShed() gives it.
    virtual Admission offer(const Work&, Instant now) = 0;

    /// Waiting work that was shed or whose deadline passed; it never ran.
    virtual std::vector<WorkId> takeShed(Instant now) = 0;

    /// The work that starts now, if a slot is free for any.
    virtual std::optional<WorkId> start(Instant now) = 0;

    /// A started work ended.
    virtual void finish(WorkId, Instant now) = 0;

    /// The caller of waiting work left. Started work is unaffected.
    virtual void cancel(WorkId) = 0;

    virtual void setSettings(const WorkQueueSettings&) = 0;

    virtual size_t waiting() const = 0;
    virtual size_t running() const = 0;
    virtual WorkQueueCounts counts() const = 0;

    static std::unique_ptr<WorkQueue> create(const WorkQueueSettings&);
};

}
