#pragma once

#include "base/Ids.h"
#include "base/ResultCode.h"
#include "base/Time.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleypaddle {

/// What became of one request, and how long its parts took.
struct RequestMeasure {
    ShopId shop;
    ClassName workload;
    ResultCode code { ResultCode::Done };
    /// Waiting for a slot.
    Milliseconds wait;
    /// Running at a target.
    Milliseconds run;
    /// From arrival to answer.
    Milliseconds total;
    /// Whether a replica served it.
    bool wasReplicaRead { false };
    bool wasRead { false };
};

/// What is counted besides requests.
enum class MetricCounter : uint8_t {
    Promotions,
    Retries,
    SilentConnections,
    Forwarded,
    Shed,
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
    PeersInReach,
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
    void count(MetricCounter, double amount = 1);
    void set(MetricGauge, double value);

    /// The present values in Prometheus' text form.
    std::string text() const;

private:
    class Internals;
    std::unique_ptr<Internals> m_internals;
};

}
