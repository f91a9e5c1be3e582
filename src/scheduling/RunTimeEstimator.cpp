#include "scheduling/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    /// Maximum number of statements with statistics of their own. Beyond it, those of the statement that ran least recently
    /// are evicted.
    constexpr size_t maxStatements = 4096;
    /// Weight of the newest run in the moving averages, once enough runs are recorded; the first ones weigh the same.
    constexpr double smoothingFactor = 0.1;
    /// Statistics of a statement expire this long after its last run, so that one slow run cannot get the statement
    /// rejected for good.
    constexpr Milliseconds statisticsLifetime { 60'000 };
    constexpr double minRunMilliseconds = 0.01;
    constexpr RunTimeEstimate defaultEstimate { Milliseconds(1), Milliseconds(1), Milliseconds(1) };

}

RunTimeEstimate RunTimeEstimator::estimate(uint64_t statement, Instant now) const
{
    auto it = m_statements.find(statement);
    if (it != m_statements.end() && now - it->second.lastRun <= statisticsLifetime)
        return estimateOf(it->second);
    return m_all.runs > 0 ? estimateOf(m_all) : defaultEstimate;
}

void RunTimeEstimator::recordRun(uint64_t statement, Milliseconds duration, Instant now)
{
    const double run = std::max(duration.count(), minRunMilliseconds);
    addRun(m_all, run, now);
    if (m_statements.size() >= maxStatements && m_statements.count(statement) == 0)
        evictLeastRecent();
    Statistics& statistics = m_statements[statement];
    if (now - statistics.lastRun > statisticsLifetime)
        statistics = {};
    addRun(statistics, run, now);
}

void RunTimeEstimator::addRun(Statistics& statistics, double duration, Instant now)
{
    ++statistics.runs;
    statistics.lastRun = now;
    const double weight = std::max(1.0 / statistics.runs, smoothingFactor);
    statistics.logMean += weight * (std::log(duration) - statistics.logMean);
    statistics.deviation += weight * (std::abs(duration - statistics.mean) - statistics.deviation);
    statistics.mean += weight * (duration - statistics.mean);
    if (statistics.runs == 1)
        statistics.deviation = duration / 2;
}

RunTimeEstimate RunTimeEstimator::estimateOf(const Statistics& statistics)
{
    return { Milliseconds(std::exp(statistics.logMean)), Milliseconds(statistics.mean), Milliseconds(statistics.deviation) };
}

void RunTimeEstimator::evictLeastRecent()
{
    auto isOlder = [](const auto& a, const auto& b) { return a.second.lastRun < b.second.lastRun; };
    m_statements.erase(std::min_element(m_statements.begin(), m_statements.end(), isOlder));
}

}
