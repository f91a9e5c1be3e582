#include "relay/HomeDelays.h"

#include <algorithm>
#include <cmath>

namespace parsleypaddle {

namespace {

    /// Weight of an answer in the slowness of its home. A daemon of a large fleet sends one statement in 2 s to a home, so few answers
    /// must suffice.
    constexpr double slownessWeight = 0.2;
    /// Weight of an answer in the usual delay of its kind, which must not follow a few slow homes.
    constexpr double usualWeight = 0.02;
    /// A home that gets no more work is tried again when its slowness has been forgotten.
    constexpr Milliseconds slownessDecayTime { 15'000 };
    /// Limits the effect of one answer.
    constexpr double maxRatio = 20;
    constexpr Milliseconds minUsualDelay { 1 };

}

HomeDelays::Outstanding::Outstanding(std::weak_ptr<std::multiset<Instant>> home, Instant since)
    : m_home(std::move(home))
    , m_since(since)
{
    m_home.lock()->insert(since);
}

HomeDelays::Outstanding::~Outstanding()
{
    auto home = m_home.lock();
    if (!home)
        return;
    if (auto it = home->find(m_since); it != home->end())
        home->erase(it);
}

std::unique_ptr<HomeDelays::Outstanding> HomeDelays::recordSent(const InstanceId& home, Instant now)
{
    return std::make_unique<Outstanding>(m_homes[home].outstanding, now);
}

double HomeDelays::Home::slownessAt(Instant now) const
{
    return 1 + (slowness - 1) * std::exp(-(now - updatedAt).count() / slownessDecayTime.count());
}

void HomeDelays::recordAnswer(const StatementKind& kind, const InstanceId& id, Milliseconds delay, Instant now)
{
    Home& home = m_homes[id];
    const double slowness = home.slownessAt(now);
    Milliseconds& usual = m_usual.try_emplace(kind, std::max(minUsualDelay, delay * (1 / slowness))).first->second;
    const double ratio = std::min(maxRatio, delay.count() / usual.count());
    usual = std::max(minUsualDelay, usual + (delay * (1 / slowness) - usual) * usualWeight);
    home.slowness = slowness + slownessWeight * (ratio - slowness);
    home.updatedAt = now;
}

// A home counts as no faster than usual: short statements make one look fast by chance, and the statements of an organisation would
// move between homes without need. A statement that waits longer than usual is evidence before its answer.
Milliseconds HomeDelays::expectedDelay(const StatementKind& kind, const InstanceId& id, Milliseconds fallback, Instant now) const
{
    const auto known = m_usual.find(kind);
    const Milliseconds usual = known == m_usual.end() ? fallback : known->second;
    const auto it = m_homes.find(id);
    if (it == m_homes.end())
        return usual;
    const Milliseconds delay = usual * std::max(1.0, it->second.slownessAt(now));
    const auto& outstanding = *it->second.outstanding;
    return outstanding.empty() ? delay : std::max(delay, now - *outstanding.begin());
}

}
