#include "telemetry/Metrics.h"

#include "telemetry/LabelLimit.h"

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

    // In the order of their enumerations.
    constexpr std::array<MetricInfo, 10> counterInfos { {
        { "parsleypaddle_promotions_total", "Changes of primary that this daemon completed" },
        { "parsleypaddle_retries_total", "Further attempts of requests" },
        { "parsleypaddle_silent_connections_total", "Connections to targets given up because no answer came" },
        { "parsleypaddle_forwarded_total", "Statements sent to the home at another daemon" },
        { "parsleypaddle_shed_total", "Requests refused unrun to protect more urgent ones" },
        { "parsleypaddle_keys_refused_total", "Requests of operators or daemons with a missing or wrong key" },
        { "parsleypaddle_configuration_changes_total", "Versions of the configuration that came into force here" },
        { "parsleypaddle_platform_errors_total", "Requests to the platform that failed or went unanswered" },
        { "parsleypaddle_reads_at_replica_total", "Reads served by a replica" },
        { "parsleypaddle_reads_at_primary_total", "Reads served by a primary" },
    } };

    constexpr std::array<MetricInfo, 5> gaugeInfos { {
        { "parsleypaddle_configuration_version", "Version of the configuration in force here" },
        { "parsleypaddle_requests_in_flight", "Requests of callers without an answer yet" },
        { "parsleypaddle_target_connections", "Open connections to targets" },
        { "parsleypaddle_peers_in_reach", "Other daemons that answer" },
        { "parsleypaddle_is_draining", "1 while this daemon is leaving" },
    } };

    struct HistogramInfo {
        const char* name;
        const char* help;
        Milliseconds RequestMeasure::*part;
    };

    constexpr std::array<HistogramInfo, 3> partInfos { {
        { "wait_milliseconds", "Time that requests waited for a slot of a target", &RequestMeasure::wait },
        { "run_milliseconds", "Time that requests ran at a target", &RequestMeasure::run },
        { "total_milliseconds", "Time from a request's arrival to its answer", &RequestMeasure::total },
    } };

    const prometheus::Histogram::BucketBoundaries& boundaries()
    {
        static const prometheus::Histogram::BucketBoundaries milliseconds { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10'000 };
        return milliseconds;
    }

    using HistogramFamily = prometheus::Family<prometheus::Histogram>;

    // The histograms of all parts of a request, for each value of one label.
    class PartHistograms {
    public:
        PartHistograms(prometheus::Registry& registry, const char* label, size_t limit)
            : m_label(label)
            , m_limit(limit)
        {
            for (size_t n = 0; n < partInfos.size(); ++n)
                m_families[n] = &prometheus::BuildHistogram().Name(std::string("parsleypaddle_") + label + "_" + partInfos[n].name).Help(std::string(partInfos[n].help) + ", by " + label).Register(registry);
        }

        void observe(const std::string& value, const RequestMeasure& measure)
        {
            const auto& histograms = histogramsOf(m_limit.labelOf(value));
            for (size_t n = 0; n < partInfos.size(); ++n)
                histograms[n]->Observe((measure.*partInfos[n].part).count());
        }

    private:
        using Histograms = std::array<prometheus::Histogram*, partInfos.size()>;

        const Histograms& histogramsOf(const std::string& label)
        {
            auto it = m_histograms.find(label);
            if (it != m_histograms.end())
                return it->second;
            Histograms histograms {};
            for (size_t n = 0; n < partInfos.size(); ++n)
                histograms[n] = &m_families[n]->Add({ { m_label, label } }, boundaries());
            return m_histograms.emplace(label, histograms).first->second;
        }

        std::string m_label;
        LabelLimit m_limit;
        std::array<HistogramFamily*, partInfos.size()> m_families {};
        std::unordered_map<std::string, Histograms> m_histograms;
    };

}

class Metrics::Internals {
public:
    explicit Internals(const MetricsLimits& limits)
        : byShop(registry, "shop", limits.shops)
        , byClass(registry, "class", limits.classes)
        , answers(prometheus::BuildCounter().Name("parsleypaddle_answers_total").Help("Answers to callers, by result code").Register(registry))
    {
        for (size_t n = 0; n < counterInfos.size(); ++n)
            counters[n] = &prometheus::BuildCounter().Name(counterInfos[n].name).Help(counterInfos[n].help).Register(registry).Add({});
        for (size_t n = 0; n < gaugeInfos.size(); ++n)
            gauges[n] = &prometheus::BuildGauge().Name(gaugeInfos[n].name).Help(gaugeInfos[n].help).Register(registry).Add({});
    }

    prometheus::Registry registry;
    PartHistograms byShop;
    PartHistograms byClass;
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

void Metrics::noteRequest(const RequestMeasure& measure)
{
    m_internals->byShop.observe(measure.shop.value(), measure);
    m_internals->byClass.observe(measure.workload.value(), measure);
    auto& counter = m_internals->byCode[static_cast<uint16_t>(measure.code)];
    if (!counter)
        counter = &m_internals->answers.Add({ { "code", std::string(nameOf(measure.code)) }, { "outcome", std::string(nameOf(outcomeOf(measure.code))) } });
    counter->Increment();
    if (measure.wasRead && outcomeOf(measure.code) == Outcome::Done)
        count(measure.wasReplicaRead ? MetricCounter::ReadsAtReplica : MetricCounter::ReadsAtPrimary);
}

void Metrics::count(MetricCounter counter, double amount)
{
    m_internals->counters[static_cast<size_t>(counter)]->Increment(amount);
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
