#pragma once

#include "base/Ids.h"
#include "base/ResultCode.h"
#include "base/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleypaddle {

/// The result and duration of a caller's request.
struct RequestMeasure {
    OrganisationId organisation;
    ClassName workload;
    ResultCode code { ResultCode::Done };
    /// From arrival to answer.
    Milliseconds total;
    /// Whether a replica served it.
    bool wasReplicaRead { false };
    bool wasRead { false };
};

/// The durations of one work item on a target whose connections this daemon owns (its home). Another daemon may have sent
/// the item.
struct WorkMeasure {
    OrganisationId organisation;
    ClassName workload;
    /// Time spent waiting for a free execution slot.
    Milliseconds wait;
    /// Time spent running on the target.
    Milliseconds run;
};

/// The counters without labels.
enum class MetricCounter : uint8_t {
    Promotions,
    Retries,
    SilentConnections,
    KeysRefused,
    ConfigurationChanges,
    PlatformErrors,
    ReadsAtReplica,
    ReadsAtPrimary,
    PlatformReads,
    PlatformWatches,
    PlatformTransactions,
    ConnectionsReused,
    ConnectionsOpened,
    ConnectionsEvicted,
    ConnectionWaits,
    SlowStarts,
    SharesReached,
    LimitsShrunkByLatency,
    LimitsShrunkByBusy,
    LimitsShrunkByFailures,
    SessionCommitsNotRequired,
    EntriesSkipped,
    UnexpectedMessages,
    UnaskedAnswers,
    RepeatedAnswers,
    AnswersOutOfStep,
    ExchangesEndedByPeer,
    ExchangesUnanswered,
    SessionSetupsRefused,
    PreparedStatementsLost,
    PreparedStatementsDropped,
};

/// The gauges.
enum class MetricGauge : uint8_t {
    ConfigurationVersion,
    RequestsInFlight,
    TargetConnections,
    InstancesListed,
    IsDraining,
    IsHolder,
    Subscribers,
    PlatformEra,
    ConfigurationConfirmationAge,
    ChangesAwaitingLogs,
    UnlistedLogHolders,
    LogLinesLost,
};

/// The maximum numbers of distinct label values; further values are reported as "other".
struct MetricsLimits {
    size_t organisations { 100 };
    size_t classes { 32 };
};

/// This daemon's metrics for Prometheus. docs/METRICS.md describes each metric and how to respond to its changes.
class Metrics {
public:
    explicit Metrics(const MetricsLimits&);
    ~Metrics();

    void recordRequest(const RequestMeasure&);
    void recordWork(const WorkMeasure&);
    void count(MetricCounter);
    /// Increases a counter to a total that is counted elsewhere; a total below the present value changes nothing.
    void raiseTo(MetricCounter, double total);
    void set(MetricGauge, double value);

    /// The current values in the Prometheus text format.
    std::string text() const;

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
