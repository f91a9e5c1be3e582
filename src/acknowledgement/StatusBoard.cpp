#include "acknowledgement/StatusBoard.h"

#include <algorithm>
#include <cassert>

namespace parsleypaddle {

namespace {

    bool isHeard(const TargetView& target)
    {
        return target.heardAt > Instant();
    }

    bool isPrimaryOf(const TargetView& target, Term term)
    {
        return target.status.role == TargetRole::Primary && target.status.term == term;
    }

}

StatusBoard::StatusBoard(const GroupConfiguration& group)
{
    m_view.database = group.database;
    for (const auto& it : group.targets) {
        TargetView target;
        target.target = it.id;
        m_view.targets.push_back(std::move(target));
    }
    m_asked.resize(m_view.targets.size());
}

TargetView& StatusBoard::find(const TargetId& id, AskOrder*& asked)
{
    auto it = std::find_if(m_view.targets.begin(), m_view.targets.end(), [&id](const TargetView& target) { return target.target == id; });
    assert(it != m_view.targets.end());
    asked = &m_asked[static_cast<size_t>(it - m_view.targets.begin())];
    return *it;
}

void StatusBoard::record(const TargetId& id, const TargetStatus& status, AskOrder asked, Instant now)
{
    AskOrder* latest = nullptr;
    TargetView& target = find(id, latest);
    target.heardAt = now;
    if (asked < *latest)
        return;
    *latest = asked;
    target.status = status;
    refresh();
}

void StatusBoard::setSuspect(const TargetId& id, bool isSuspect)
{
    AskOrder* asked = nullptr;
    find(id, asked).isSuspect = isSuspect;
}

// The primary counts without being asked: its commit shows that it was on the term at that moment, and a target
// that answers a later question with the same term was on it at that moment too.
bool StatusBoard::isMajorityOnTerm(Term term, AskOrder after) const
{
    size_t n = 1;
    for (size_t i = 0; i < m_view.targets.size(); ++i) {
        const TargetView& target = m_view.targets[i];
        if (m_asked[i] > after && target.status.term == term && target.status.role == TargetRole::Replica)
            ++n;
    }
    return n >= majority();
}

// A position alone would not do: a fenced target can hold as many commits of an older term. A log whose last commit
// is of the term is the primary's up to there, since a term has one primary.
bool StatusBoard::isHeldByMajority(Term term, LogPosition position) const
{
    size_t n = 1;
    for (const auto& it : m_view.targets) {
        const TargetStatus& status = it.status;
        if (status.role == TargetRole::Replica && status.term == term && status.logTerm == term && status.position >= position)
            ++n;
    }
    return n >= majority();
}

bool StatusBoard::isMajorityPast(Term term) const
{
    const auto n = std::count_if(m_view.targets.begin(), m_view.targets.end(), [term](const TargetView& it) { return it.status.term > term; });
    return static_cast<size_t>(n) >= majority();
}

std::optional<PrimaryPosition> StatusBoard::primaryPosition(AskOrder after) const
{
    const TargetView* primary = m_view.find(m_view.primary);
    if (!primary)
        return std::nullopt;
    bool isPrimaryFresh = false;
    size_t n = 0;
    for (size_t i = 0; i < m_view.targets.size(); ++i) {
        const TargetView& target = m_view.targets[i];
        if (m_asked[i] <= after || target.status.term != primary->status.term)
            continue;
        ++n;
        isPrimaryFresh = isPrimaryFresh || &target == primary;
    }
    if (!isPrimaryFresh || n < majority())
        return std::nullopt;
    return PrimaryPosition { primary->status.term, primary->status.position };
}

bool StatusBoard::isMajorityConfirmedSince(Instant since) const
{
    const TargetView* primary = m_view.find(m_view.primary);
    if (!primary || primary->heardAt < since)
        return false;
    const auto n = std::count_if(m_view.targets.begin(), m_view.targets.end(), [this, since](const TargetView& it) {
        return isHeard(it) && it.heardAt >= since && it.status.term == m_view.term;
    });
    return static_cast<size_t>(n) >= majority();
}

// The term never goes back: a primary of an older one than was heard before is none.
void StatusBoard::refresh()
{
    for (const auto& it : m_view.targets) {
        if (it.status.role == TargetRole::Primary)
            m_view.term = std::max(m_view.term, it.status.term);
    }
    m_view.primary = TargetId();
    if (isMajorityPast(m_view.term))
        return;
    for (const auto& it : m_view.targets) {
        if (isHeard(it) && isPrimaryOf(it, m_view.term))
            m_view.primary = it.target;
    }
}

}
