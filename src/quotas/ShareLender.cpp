#include "quotas/ShareLender.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace parsleypaddle {

namespace {

    constexpr double msPerSecond = 1000;
    /// The fair amount depends on all borrowers, so it is not computed anew for each answer.
    constexpr Milliseconds fairAmountAge { 50 };

    LentShare larger(const LentShare& a, const LentShare& b)
    {
        return { std::max(a.amount, b.amount), std::max(a.depth, b.depth) };
    }

}

double ShareLender::freeAmount() const
{
    return std::max(0.0, m_capacity.amount - reserved().amount);
}

double ShareLender::depthLimit() const
{
    return std::max(0.0, m_capacity.depth - reserved().depth);
}

void ShareLender::refill(Instant now)
{
    if (now > m_refilledAt)
        m_level += freeAmount() * (now - m_refilledAt).count() / msPerSecond;
    m_refilledAt = now;
    m_level = std::min(m_level, depthLimit());
}

void ShareLender::setCapacity(const LentShare& capacity, Instant now)
{
    expire(now);
    refill(now);
    // A bucket that is as full as before the change would let a capacity that moves between lenders be spent twice.
    if (!m_hasCapacity)
        m_level = capacity.depth;
    m_hasCapacity = true;
    m_capacity = capacity;
    m_level = std::min(m_level, depthLimit());
    m_fairAt = Instant();
}

void ShareLender::presume(const LentShare& share, Instant until)
{
    m_presumed = share;
    m_presumedUntil = until;
    m_nextExpiry = m_nextExpiry == Instant() ? until : std::min(m_nextExpiry, until);
    m_level = std::min(m_level, depthLimit());
}

void ShareLender::reserve(Borrower& borrower, const LentShare& share)
{
    m_reserved.amount = std::max(0.0, m_reserved.amount + share.amount - borrower.reserved.amount);
    m_reserved.depth = std::max(0.0, m_reserved.depth + share.depth - borrower.reserved.depth);
    borrower.reserved = share;
}

// A smaller share frees the difference only when the borrower has applied it; until then an answer may have been lost.
void ShareLender::confirm(Borrower& borrower, const Request& request, Instant now)
{
    if (borrower.latestNumber != 0 && request.confirmed >= borrower.latestNumber)
        reserve(borrower, borrower.latest);
    if (borrower.latestNumber != 0 || request.confirmed != 0 || request.heldFor <= Milliseconds(0))
        return;
    const LentShare held = request.held;
    reserve(borrower, larger(borrower.reserved, held));
    m_presumed = { std::max(0.0, m_presumed.amount - held.amount), std::max(0.0, m_presumed.depth - held.depth) };
    borrower.expiresAt = std::max(borrower.expiresAt, now + std::min(request.heldFor, m_rules.validity));
}

// Returned units are limited to what the shares can have yielded since the last report, so that a wrong count does no harm.
void ShareLender::takeBack(Borrower& borrower, const Request& request, Instant now)
{
    if (borrower.latestNumber != 0 && request.confirmed != 0) {
        const double yielded = borrower.reserved.depth + borrower.reserved.amount * (now - borrower.returnedAt).count() / msPerSecond;
        m_level += std::clamp(request.returned - borrower.returned, 0.0, yielded);
        m_level = std::min(m_level, depthLimit());
    }
    borrower.returned = std::max(borrower.returned, request.returned);
    borrower.returnedAt = now;
}

ShareLender::Answer ShareLender::answer(const std::string& name, const Request& request, Instant now)
{
    expire(now);
    refill(now);
    Borrower& borrower = m_borrowers[name];
    takeBack(borrower, request, now);
    confirm(borrower, request, now);
    borrower.demand = request.demand;
    updateFairAmount(now);
    Answer answer;
    answer.share = request.unitsOnly ? LentShare {} : nextShare(borrower);
    answer.isOverloaded = demand() > m_capacity.amount;
    if (mayKeep(borrower, request, answer.share)) {
        answer.isKept = true;
        answer.number = borrower.latestNumber;
        answer.share = borrower.latest;
        borrower.expiresAt = now + m_rules.validity;
        return answer;
    }
    answer.number = ++m_lastNumber;
    const double levelBefore = m_level;
    const LentShare reservedBefore = borrower.reserved;
    reserve(borrower, larger(borrower.reserved, answer.share));
    borrower.latest = answer.share;
    borrower.latestNumber = answer.number;
    borrower.expiresAt = now + m_rules.validity;
    m_nextExpiry = m_nextExpiry == Instant() ? borrower.expiresAt : std::min(m_nextExpiry, borrower.expiresAt);
    m_level = std::min(m_level, depthLimit());
    // Units that no longer fit into the bucket move to the borrower together with the depth.
    const double moved = std::min(levelBefore - m_level, std::max(0.0, answer.share.depth - reservedBefore.depth));
    const double given = std::min(std::max(0.0, request.wanted - moved), std::floor(m_level));
    m_level -= given;
    answer.units = moved + given;
    answer.isShort = answer.units < request.wanted;
    return answer;
}

// Answers that change nothing are short, and shares that follow every fluctuation of the demand would cost more than they serve.
bool ShareLender::mayKeep(const Borrower& borrower, const Request& request, const LentShare& next) const
{
    if (request.wanted > 0 || borrower.latestNumber == 0 || request.confirmed != borrower.latestNumber)
        return false;
    if (reserved().amount > m_capacity.amount || reserved().depth > m_capacity.depth)
        return false;
    // What exceeds the fair amount is lacking elsewhere.
    constexpr double tolerance = 1.05;
    if (borrower.demand * m_rules.headroom > m_fairAmount && borrower.latest.amount > next.amount * tolerance)
        return false;
    const auto isClose = [this](double present, double wanted) { return std::abs(present - wanted) <= m_rules.keptDifference * present; };
    return isClose(borrower.latest.amount, next.amount) && isClose(borrower.latest.depth, next.depth);
}

LentShare ShareLender::nextShare(const Borrower& borrower) const
{
    const double wanted = std::min(borrower.demand * m_rules.headroom, m_fairAmount);
    LentShare share;
    if (wanted < m_rules.minAmount)
        return share;
    share.amount = std::min(wanted, borrower.reserved.amount + freeAmount());
    const double depthToLend = std::max(0.0, m_capacity.depth * m_rules.lentDepth - reserved().depth);
    share.depth = std::min(1 + share.amount * m_depthSeconds, borrower.reserved.depth + depthToLend);
    // A bucket that cannot hold one unit never yields one.
    if (share.depth < 1 || share.amount <= 0)
        return {};
    return share;
}

// Includes borrowers without a share: what they need stays in the bucket.
void ShareLender::updateFairAmount(Instant now)
{
    if (m_fairAt != Instant() && now - m_fairAt < fairAmountAge)
        return;
    m_fairAt = now;
    std::vector<double> needs;
    needs.reserve(m_borrowers.size());
    for (const auto& [name, it] : m_borrowers)
        needs.push_back(it.demand * m_rules.headroom);
    updateDepthTime();
    std::sort(needs.begin(), needs.end());
    double left = m_capacity.amount;
    m_fairAmount = m_capacity.amount;
    for (size_t n = 0; n < needs.size(); ++n) {
        const double equal = left / static_cast<double>(needs.size() - n);
        if (needs[n] >= equal) {
            m_fairAmount = equal;
            return;
        }
        left -= needs[n];
    }
}

// Few borrowers hold deep shares and rarely need single units; many leave enough depth to each other.
void ShareLender::updateDepthTime()
{
    const double amount = std::min(m_capacity.amount, demand() * m_rules.headroom);
    const double depth = m_capacity.depth * m_rules.lentDepth - static_cast<double>(m_borrowers.size());
    const double maxSeconds = m_rules.maxDepthTime.count() / msPerSecond;
    m_depthSeconds = amount > 0 ? std::clamp(depth / amount, 0.0, maxSeconds) : maxSeconds;
}

double ShareLender::takeUnits(double units, Instant now)
{
    expire(now);
    refill(now);
    const double taken = std::floor(std::clamp(units, 0.0, m_level));
    m_level -= taken;
    return taken;
}

void ShareLender::release(const std::string& name, Instant now)
{
    refill(now);
    auto it = m_borrowers.find(name);
    if (it == m_borrowers.end())
        return;
    reserve(it->second, {});
    m_borrowers.erase(it);
}

void ShareLender::expire(Instant now)
{
    if (m_nextExpiry == Instant() || now < m_nextExpiry)
        return;
    refill(now);
    if (now >= m_presumedUntil)
        m_presumed = {};
    Instant next;
    const auto note = [&next](Instant at) { next = next == Instant() ? at : std::min(next, at); };
    for (auto it = m_borrowers.begin(); it != m_borrowers.end();) {
        if (now >= it->second.expiresAt) {
            reserve(it->second, {});
            it = m_borrowers.erase(it);
            continue;
        }
        note(it->second.expiresAt);
        ++it;
    }
    if (m_borrowers.empty())
        m_reserved = {};
    if (m_presumed.amount > 0)
        note(m_presumedUntil);
    m_nextExpiry = next;
}

double ShareLender::demand() const
{
    double sum = 0;
    for (const auto& [name, it] : m_borrowers)
        sum += it.demand;
    return sum;
}

LentShare ShareLender::reservedFor(const std::string& name) const
{
    auto it = m_borrowers.find(name);
    return it == m_borrowers.end() ? LentShare {} : it->second.reserved;
}

}
