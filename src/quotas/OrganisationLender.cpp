#include "quotas/OrganisationLender.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace parsleypaddle {

namespace {

    /// Units that all domains may save up together beyond the burst. They take a part of the tolerance of 20 operations in a window, so
    /// that small organisations are not refused operations because their limit is split.
    constexpr double toleratedDepth = 7;
    /// Least units that a domain may save up, so that the first operation of an organisation is served wherever it arrives.
    constexpr double minDepth = 1.4;
    /// After the period of small buckets the first units are added once more.
    constexpr Milliseconds secondCreditPeriod { 500 };
    /// What the buckets of all domains hold together in that period, as a part of what a window may hold and in units; a part of the
    /// tolerance, because several coordinators may be replaced in one window.
    constexpr double firstBucketPart = 0.07;
    constexpr double firstBucketUnits = 5;
    constexpr double windowSeconds = 5;
    /// All active daemons have reported to a new coordinator after this time.
    constexpr Milliseconds reportPeriod { 2000 };
    constexpr double minDemand = 0.05;
    /// Delay between requests for units, doubled while none are given: the organisation is over its limit everywhere.
    constexpr Milliseconds minAskInterval { 40 };
    constexpr Milliseconds maxAskInterval { 640 };
    constexpr double maxMissing = 64;
    /// Part of a bucket that other domains may get at a time.
    constexpr double sparePart = 0.5;

}

void OrganisationLender::setShare(double share, Milliseconds acting, Instant now)
{
    LentShare capacity { share * m_limit.perSecond, 0 };
    if (m_limit.perSecond > 0)
        capacity.depth = std::max(minDepth, share * (m_limit.burst + toleratedDepth));
    const LentShare& present = m_lender.capacity();
    if (capacity.amount != present.amount || capacity.depth != present.depth)
        m_lender.setCapacity(capacity, now);
    addFirstUnits(share, acting);
}

double OrganisationLender::firstUnits() const
{
    return firstBucketUnits + firstBucketPart * (m_limit.perSecond * windowSeconds + m_limit.burst);
}

void OrganisationLender::beginSmall()
{
    m_lender.limitLevel(minDepth);
    m_hasCredit = true;
}

// The earlier coordinator may have spent its bucket since it told of it, so no more than the first units are taken over.
void OrganisationLender::takeOver(const QuotaBeat::Entry& earlier, Instant until)
{
    m_lender.limitLevel(minDepth);
    m_earlierUnits = std::clamp(earlier.level - minDepth, 0.0, firstUnits());
    m_earlierDemand = earlier.demand;
    m_demand = earlier.demand;
    m_lender.presume(earlier.lent, until);
}

// Units are added in proportion to the share, which grows in the first exchanges.
void OrganisationLender::addFirstUnits(double share, Milliseconds acting)
{
    if (acting >= smallBucketPeriod + secondCreditPeriod)
        return;
    const double before = m_lender.level();
    m_lender.addUnits(m_earlierUnits);
    m_earlierUnits -= m_lender.level() - before;
    const double part = acting < smallBucketPeriod ? share : 2 * share;
    if (!m_hasCredit || part <= m_creditedPart)
        return;
    m_lender.addUnits((part - m_creditedPart) * firstUnits());
    m_creditedPart = part;
}

ShareLender::Answer OrganisationLender::answer(const std::string& daemon, const ShareLender::Request& request, Instant now)
{
    const auto answer = m_lender.answer(daemon, request, now);
    if (answer.isShort) {
        m_wasShort = true;
        m_missing += request.wanted - answer.units;
    }
    return answer;
}

// Demand above the limit does not count: a short burst at one daemon would move most of the limit to its domain for seconds.
void OrganisationLender::updateDemand(Milliseconds acting)
{
    // Time constants of 2 s, and of 0.15 s while operations lack units.
    constexpr double weight = 0.05;
    constexpr double shortWeight = 0.5;
    const double reported = std::max(m_lender.demand(), acting < reportPeriod ? m_earlierDemand : 0);
    const double present = std::min(reported, m_limit.perSecond);
    if (present < minDemand)
        m_demand = 0;
    else if (m_demand == 0)
        m_demand = present;
    else
        m_demand += (m_wasShort && present > m_demand ? shortWeight : weight) * (present - m_demand);
    m_wasShort = false;
}

double OrganisationLender::takeMissing(Instant now)
{
    if (m_missing < 1 || now < m_nextAskAt)
        return 0;
    m_askDelay = std::clamp(m_askDelay * 2, minAskInterval, maxAskInterval);
    m_nextAskAt = now + m_askDelay;
    return std::min(maxMissing, std::ceil(std::exchange(m_missing, 0)));
}

void OrganisationLender::addGiven(double units)
{
    m_lender.addUnits(units);
    m_askDelay = {};
    m_nextAskAt = {};
}

double OrganisationLender::takeSpare(double wanted, Instant now)
{
    m_lender.expire(now);
    return m_lender.takeUnits(std::min(wanted, std::ceil(m_lender.level() * sparePart)), now);
}

}
