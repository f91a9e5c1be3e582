#include "routing/ReplicaProgress.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr double newestWeight = 0.3;
    constexpr double leastRate = 1e-6;
    /// What a status says is not extended further than this.
    constexpr Milliseconds longestExtension { 1000 };

}

void ReplicaProgress::update(const TargetView& view)
{
    if (view.heardAt <= m_last.heardAt)
        return;
    const double elapsed = (view.heardAt - m_last.heardAt).count();
    const bool isFirst = m_last.heardAt == Instant();
    if (!isFirst && view.status.applied >= m_last.status.applied) {
        const double rate = static_cast<double>(view.status.applied.value() - m_last.status.applied.value()) / elapsed;
        m_rate += newestWeight * (rate - m_rate);
        const double ageing = (view.status.age - m_last.status.age).count() / elapsed;
        m_ageing = std::clamp(ageing, 0.0, 1.0);
    }
    m_last = view;
}

LogPosition ReplicaProgress::expectedApplied(Instant now) const
{
    const Milliseconds since = std::clamp(now - m_last.heardAt, Milliseconds(0), longestExtension);
    return LogPosition(m_last.status.applied.value() + static_cast<uint64_t>(m_rate * since.count()));
}

Milliseconds ReplicaProgress::expectedAge(Instant now) const
{
    const Milliseconds since = std::max(now - m_last.heardAt, Milliseconds(0));
    // Silence beyond the extension counts in full: nothing is known of it.
    const Milliseconds silence = std::max(since - longestExtension, Milliseconds(0));
    return m_last.status.age + std::min(since, longestExtension) * m_ageing + silence;
}

std::optional<Milliseconds> ReplicaProgress::waitFor(LogPosition position, Instant now) const
{
    const LogPosition applied = expectedApplied(now);
    if (position <= applied)
        return Milliseconds(0);
    if (m_rate < leastRate)
        return std::nullopt;
    return Milliseconds(static_cast<double>(position.value() - applied.value()) / m_rate);
}

}
