#include "scheduling/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    /// Statements remembered at most.
    constexpr size_t mostStatements = 4096;
    /// Weight of the newest run once enough were seen.
    constexpr double newestWeight = 0.1;
    /// A statement that was not run for this long is unknown again, so that one bad time cannot keep it out for good.
    constexpr Milliseconds memory { 60'000 };
    constexpr double shortestRun = 0.01;
    constexpr RunTimeEstimate unknownEstimate { Milliseconds(1), Milliseconds(1), Milliseconds(1) };

}

RunTimeEstimate RunTimeModel::estimate(uint64_t statement, Instant now) const
{
    auto it = m_statements.find(statement);
    if (it != m_statements.end() && now - it->second.lastRun <= memory)
        return estimateOf(it->second);
    return m_all.runs > 0 ? estimateOf(m_all) : unknownEstimate;
}

void RunTimeModel::learn(uint64_t statement, Milliseconds took, Instant now)
{
    const double run = std::max(took.count(), shortestRun);
    add(m_all, run, now);
    if (m_statements.size() >= mostStatements && m_statements.count(statement) == 0)
        forgetOldest();
    Learned& learned = m_statements[statement];
    if (now - learned.lastRun > memory)
        learned = {};
    add(learned, run, now);
}

void RunTimeModel::add(Learned& learned, double took, Instant now)
{
    ++learned.runs;
    learned.lastRun = now;
    const double weight = std::max(1.0 / learned.runs, newestWeight);
    learned.logTypical += weight * (std::log(took) - learned.logTypical);
    learned.deviation += weight * (std::abs(took - learned.mean) - learned.deviation);
    learned.mean += weight * (took - learned.mean);
    if (learned.runs == 1)
        learned.deviation = took / 2;
}

RunTimeEstimate RunTimeModel::estimateOf(const Learned& learned)
{
    return { Milliseconds(std::exp(learned.logTypical)), Milliseconds(learned.mean), Milliseconds(learned.deviation) };
}

void RunTimeModel::forgetOldest()
{
    auto isOlder = [](const auto& a, const auto& b) { return a.second.lastRun < b.second.lastRun; };
    m_statements.erase(std::min_element(m_statements.begin(), m_statements.end(), isOlder));
}

}
