#include "scheduling/OrganisationShares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace parsleypaddle {

namespace {

    /// Long enough that the few statements of a small organisation do not count as a high load.
    constexpr Milliseconds recentWindow { 1000 };
    /// Long against a burst, so that a burst does not become the usual load.
    constexpr Milliseconds usualWindow { 60'000 };
    /// Load above this share of the slots counts as overload: waits grow from about there.
    constexpr double overloadShare = 0.85;
    /// Share of the slots that any organisation may use beyond its own share: single statements of small organisations.
    constexpr double tolerance = 0.03;
    /// Load of an organisation, relative to its usual one, above which it counts as the cause of an overload, as a multiple of how
    /// the others' load has risen. In a burst that all take part in, urgencies decide, not shares.
    constexpr double riseFactor = 2.5;
    /// Part of the weight that all organisations have in equal parts, so that one without usual load has a share too.
    constexpr double equalWeightShare = 0.02;
    /// Loads of organisations are compared this often.
    constexpr Milliseconds updateInterval { 50 };
    /// An organisation whose usual load is below this many slots is forgotten.
    constexpr double forgottenLoad = 1e-6;

}

void OrganisationShares::decay(Load& load, Instant now) const
{
    const double passed = (now - load.updatedAt).count();
    load.recent *= std::exp(-passed / recentWindow.count());
    load.usual *= std::exp(-passed / usualWindow.count());
    load.updatedAt = now;
}

bool OrganisationShares::isBeyondShare(const OrganisationId& organisation, Milliseconds cost, Instant now)
{
    if (now - m_sharesUpdatedAt >= updateInterval)
        updateShares(now);
    Load& load = m_loads.try_emplace(organisation, Load { 0, 0, now }).first->second;
    decay(load, now);
    load.recent += cost.count() / recentWindow.count();
    const bool isBeyond = m_isOverloaded && load.recent > allowanceOf(load);
    // Work beyond the share does not raise it.
    if (!isBeyond)
        load.usual += cost.count() / usualWindow.count();
    return isBeyond;
}

double OrganisationShares::weightOf(const Load& load) const
{
    return load.usual / m_usualShare + equalWeightShare * m_slots / static_cast<double>(m_loads.size());
}

double OrganisationShares::allowanceOf(const Load& load) const
{
    const double weight = weightOf(load);
    const double othersLoad = std::max(m_totalLoad - load.recent, 0.0);
    const double othersWeight = std::max(m_totalWeight - weight, 1e-9);
    return std::max(m_slotsPerWeight, riseFactor * othersLoad / othersWeight) * weight + tolerance * m_slots;
}

// Weighted max-min: organisations that need less than their share leave the rest to the others.
void OrganisationShares::updateShares(Instant now)
{
    m_sharesUpdatedAt = now;
    m_firstUpdateAt = m_firstUpdateAt == Instant() ? now : m_firstUpdateAt;
    m_usualShare = std::max(1 - std::exp(-(now - m_firstUpdateAt).count() / usualWindow.count()), 1e-3);
    std::vector<std::pair<double, const Load*>> byNeed;
    double total = 0;
    double weights = 0;
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        decay(it->second, now);
        it = it->second.usual < forgottenLoad && it->second.recent < forgottenLoad ? m_loads.erase(it) : std::next(it);
    }
    for (const auto& [organisation, load] : m_loads) {
        total += load.recent;
        weights += weightOf(load);
        byNeed.emplace_back(load.recent / weightOf(load), &load);
    }
    double left = overloadShare * m_slots;
    m_isOverloaded = total > left;
    m_totalLoad = total;
    m_totalWeight = weights;
    if (!m_isOverloaded)
        return;
    std::sort(byNeed.begin(), byNeed.end());
    for (const auto& [need, load] : byNeed) {
        m_slotsPerWeight = left / weights;
        if (need > m_slotsPerWeight)
            return;
        left -= load->recent;
        weights -= weightOf(*load);
    }
}

}
