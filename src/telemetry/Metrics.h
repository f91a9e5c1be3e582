#pragma once

#include "base/Ids.h"
#include "base/ResultCode.h"
#include "base/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleypaddle {

/// What became of one caller's request.
struct RequestMeasure {
    ShopId shop;
    ClassName workload;
    ResultCode code { ResultCode::Done };
    /// From arrival to answer.
    Milliseconds total;
    /// Whether a replica served it.
    bool wasReplicaRead { false };
    bool wasRead { false };
};

/// One piece of work at a target of which this daemon is the home; it may come from another daemon.
struct WorkMeasure {
    ShopId shop;
    ClassName workload;
    /// Waiting for a slot.
    Milliseconds wait;
    /// Running at the target.
    Milliseconds run;
};

/// What is counted besides requests.
enum class MetricCounter : uint8_t {
    Promotions,
    Retries,
    SilentConnections,
    KeysRefused,
    ConfigurationChanges,
    PlatformErrors,
    ReadsAtReplica,
    ReadsAtPrimary,
};

/// What has a present value.
enum class MetricGauge : uint8_t {
    ConfigurationVersion,
    RequestsInFlight,
    TargetConnections,
    InstancesListed,
    IsDraining,
};

/// Numbers of label values that are told apart.
struct MetricsLimits {
    size_t shops { 100 };
    size_t classes { 32 };
};

/// This daemon's metrics for Prometheus. docs/METRICS.md lists them with what to do when each moves.
class Metrics {
public:
    explicit Metrics(const MetricsLimits&);
    ~Metrics();

    void noteRequest(const RequestMeasure&);
    void noteWork(const WorkMeasure&);
    void count(MetricCounter);
    /// Raises a counter to a total that is counted elsewhere.
    void raiseTo(MetricCounter, double total);
    void set(MetricGauge, double value);

    /// The present values in Prometheus' text form.
    std::string text() const;

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
