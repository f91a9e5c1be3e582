#include "telemetry/Metrics.h"

#include "telemetry/LabelLimit.h"

#include <algorithm>
#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <unordered_map>

namespace parsleypaddle {

namespace {

    struct MetricInfo {
        const char* name;
        const char* help;
    };

    // In the order of the enumerators of MetricCounter and MetricGauge.
    constexpr std::array<MetricInfo, 31> counterInfos { {
        { "parsleypaddle_promotions_total", "Changes of primary that this daemon completed" },
        { "parsleypaddle_retries_total", "Further attempts of requests" },
        { "parsleypaddle_silent_connections_total", "Connections to targets given up because no answer came" },
        { "parsleypaddle_keys_refused_total", "Requests of operators or daemons with a missing or wrong key" },
        { "parsleypaddle_configuration_changes_total", "Versions of the configuration that came into force here" },
        { "parsleypaddle_platform_errors_total", "Requests to the platform that failed or went unanswered" },
        { "parsleypaddle_reads_at_replica_total", "Reads served by a replica" },
        { "parsleypaddle_reads_at_primary_total", "Reads served by a primary" },
        { "parsleypaddle_platform_reads_total", "Reads of a table sent to the platform" },
        { "parsleypaddle_platform_watches_total", "Requests for the changes of a table sent to the platform" },
        { "parsleypaddle_platform_transactions_total", "Transactions sent to the platform" },
        { "parsleypaddle_connections_reused_total", "Statements and transactions that got a connection to a target that was open" },
        { "parsleypaddle_connections_opened_total", "Statements and transactions that got a new connection to a target" },
        { "parsleypaddle_connections_evicted_total", "Connections to targets closed to make room for one of another organisation" },
        { "parsleypaddle_connection_waits_total", "Statements and transactions for which no connection was idle and none could be opened at once" },
        { "parsleypaddle_target_slow_starts_total", "Times that a target at home here began with one statement at a time" },
        { "parsleypaddle_target_shares_reached_total", "Slow starts of targets at home here that reached this daemon's share" },
        { "parsleypaddle_target_limit_latency_total", "Times that latency began to shrink the limit of a target at home here" },
        { "parsleypaddle_target_limit_busy_total", "Times that refusals began to shrink the limit of a target at home here" },
        { "parsleypaddle_target_limit_failures_total", "Times that failures shrank the limit of a target at home here" },
        { "parsleypaddle_session_commits_not_required_total", "Reads of sessions sent without the session's last commit as a requirement" },
        { "parsleypaddle_entries_skipped_total", "Rows and entries of the platform's tables that could not be decoded" },
        { "parsleypaddle_unexpected_messages_total", "Messages of callers, targets and daemons that are not allowed where they stand" },
        { "parsleypaddle_unasked_answers_total", "Times that a target or daemon sent something while no statement was pending" },
        { "parsleypaddle_repeated_answers_total", "Answers with the signature of an earlier answer on the same connection" },
        { "parsleypaddle_answers_out_of_step_total", "Answers that cannot be answers to the statements in whose place they stand" },
        { "parsleypaddle_exchanges_ended_by_peer_total", "Connections that a target or daemon ended while a statement was pending" },
        { "parsleypaddle_exchanges_unanswered_total", "Connections given up because a pending statement got no answer in time" },
        { "parsleypaddle_session_setups_refused_total", "Times that a target refused a variable or prepared statement of a caller's session" },
        { "parsleypaddle_prepared_statements_lost_total", "Times that a target did not know a prepared statement that it had confirmed" },
        { "parsleypaddle_prepared_statements_dropped_total", "Prepared statements dropped on a connection to make room for others" },
    } };

    constexpr std::array<MetricInfo, 12> gaugeInfos { {
        { "parsleypaddle_configuration_version", "Version of the configuration in force here" },
        { "parsleypaddle_requests_in_flight", "Requests of callers without an answer yet" },
        { "parsleypaddle_target_connections", "Open connections to targets" },
        { "parsleypaddle_instances_listed", "Daemons on the platform's list" },
        { "parsleypaddle_is_draining", "1 while this daemon is leaving" },
        { "parsleypaddle_is_holder", "1 while this daemon holds a row of the lease table" },
        { "parsleypaddle_subscribers", "Daemons that receive the platform's tables from this one" },
        { "parsleypaddle_platform_era", "How often the platform's tables have returned from a copy, as the platform counts it" },
        { "parsleypaddle_configuration_confirmation_age_milliseconds", "Time since the platform answered a request for the configuration of this daemon or its source" },
        { "parsleypaddle_changes_awaiting_logs", "Changes of primary carried out here that wait for logs, without which no target may be promoted" },
        { "parsleypaddle_unlisted_log_holders", "Targets that the platform does not list, and whose logs a change of primary may need" },
        { "parsleypaddle_log_lines_lost", "Lines of the log that were dropped because standard output could not be written to" },
    } };

    const prometheus::Histogram::BucketBoundaries& bucketBoundaries()
    {
        static const prometheus::Histogram::BucketBoundaries milliseconds { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10'000 };
        return milliseconds;
    }

    // A family of histograms with one histogram for each value of a label.
    class LabelledHistograms {
    public:
        LabelledHistograms(prometheus::Registry& registry, const std::string& label, const std::string& part, const std::string& help, LabelLimit& limit)
            : m_label(label)
            , m_limit(limit)
            , m_family(prometheus::BuildHistogram().Name("parsleypaddle_" + label + "_" + part + "_milliseconds").Help(help + ", by " + label).Register(registry))
        {
        }

        void observe(const std::string& value, Milliseconds duration)
        {
            const std::string& label = m_limit.labelOf(value);
            auto& histogram = m_histograms[label];
            if (!histogram)
                histogram = &m_family.Add({ { m_label, label } }, bucketBoundaries());
            histogram->Observe(duration.count());
        }

    private:
        std::string m_label;
        LabelLimit& m_limit;
        prometheus::Family<prometheus::Histogram>& m_family;
        std::unordered_map<std::string, prometheus::Histogram*> m_histograms;
    };

    // Histograms of the wait and run time of work items and of the total time of requests, for one label.
    struct DurationHistograms {
        DurationHistograms(prometheus::Registry& registry, const std::string& label, size_t maxLabelValues)
            : limit(maxLabelValues)
            , wait(registry, label, "wait", "Time that work waited for a slot of a target at home here", limit)
            , run(registry, label, "run", "Time that work ran at a target at home here", limit)
            , total(registry, label, "total", "Time from a caller's request to its answer", limit)
        {
        }

        LabelLimit limit;
        LabelledHistograms wait;
        LabelledHistograms run;
        LabelledHistograms total;
    };

}

class Metrics::Internals {
public:
    explicit Internals(const MetricsLimits& limits)
        : byOrganisation(registry, "shop", limits.organisations)
        , byClass(registry, "class", limits.classes)
        , answers(prometheus::BuildCounter().Name("parsleypaddle_answers_total").Help("Answers to callers, by result code").Register(registry))
    {
        for (size_t n = 0; n < counterInfos.size(); ++n)
            counters[n] = &prometheus::BuildCounter().Name(counterInfos[n].name).Help(counterInfos[n].help).Register(registry).Add({});
        for (size_t n = 0; n < gaugeInfos.size(); ++n)
            gauges[n] = &prometheus::BuildGauge().Name(gaugeInfos[n].name).Help(gaugeInfos[n].help).Register(registry).Add({});
    }

    prometheus::Registry registry;
    DurationHistograms byOrganisation;
    DurationHistograms byClass;
    prometheus::Family<prometheus::Counter>& answers;
    std::array<prometheus::Counter*, counterInfos.size()> counters {};
    std::array<prometheus::Gauge*, gaugeInfos.size()> gauges {};
    std::unordered_map<uint16_t, prometheus::Counter*> byCode;
};

Metrics::Metrics(const MetricsLimits& limits)
    : m_internals(std::make_unique<Internals>(limits))
{
}

Metrics::~Metrics() = default;

void Metrics::recordRequest(const RequestMeasure& measure)
{
    m_internals->byOrganisation.total.observe(measure.organisation.value(), measure.total);
    m_internals->byClass.total.observe(measure.workload.value(), measure.total);
    auto& counter = m_internals->byCode[static_cast<uint16_t>(measure.code)];
    if (!counter)
        counter = &m_internals->answers.Add({ { "code", std::string(nameOf(measure.code)) }, { "outcome", std::string(nameOf(outcomeOf(measure.code))) } });
    counter->Increment();
    if (measure.wasRead && outcomeOf(measure.code) == Outcome::Done)
        count(measure.wasReplicaRead ? MetricCounter::ReadsAtReplica : MetricCounter::ReadsAtPrimary);
}

void Metrics::recordWork(const WorkMeasure& measure)
{
    m_internals->byOrganisation.wait.observe(measure.organisation.value(), measure.wait);
    m_internals->byOrganisation.run.observe(measure.organisation.value(), measure.run);
    m_internals->byClass.wait.observe(measure.workload.value(), measure.wait);
    m_internals->byClass.run.observe(measure.workload.value(), measure.run);
}

void Metrics::count(MetricCounter counter)
{
    m_internals->counters[static_cast<size_t>(counter)]->Increment();
}

void Metrics::raiseTo(MetricCounter counter, double total)
{
    auto& present = *m_internals->counters[static_cast<size_t>(counter)];
    present.Increment(std::max(0.0, total - present.Value()));
}

void Metrics::set(MetricGauge gauge, double value)
{
    m_internals->gauges[static_cast<size_t>(gauge)]->Set(value);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_internals->registry.Collect());
}

}
