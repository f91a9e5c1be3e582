#include "acknowledgement/TargetStatusTable.h"

#include <algorithm>
#include <cassert>

namespace parsleypaddle {

namespace {

    bool hasStatus(const TargetView& target)
    {
        return target.lastAnswerAt > Instant();
    }

    bool isPrimaryAtTerm(const TargetView& target, Term term)
    {
        return target.status.role == TargetRole::Primary && target.status.term == term;
    }

}

TargetStatusTable::TargetStatusTable(const GroupConfiguration& group)
{
    m_view.database = group.database;
    for (const auto& it : group.targets) {
        TargetView target;
        target.target = it.id;
        m_view.targets.push_back(std::move(target));
    }
    m_sequences.resize(m_view.targets.size());
}

TargetView& TargetStatusTable::find(const TargetId& id, BatchSequence*& sequence)
{
    auto it = std::find_if(m_view.targets.begin(), m_view.targets.end(), [&id](const TargetView& target) { return target.target == id; });
    assert(it != m_view.targets.end());
    sequence = &m_sequences[static_cast<size_t>(it - m_view.targets.begin())];
    return *it;
}

void TargetStatusTable::record(const TargetId& id, const TargetStatus& status, BatchSequence sequence, Instant now)
{
    BatchSequence* latest = nullptr;
    TargetView& target = find(id, latest);
    target.lastAnswerAt = now;
    if (sequence < *latest)
        return;
    *latest = sequence;
    target.status = status;
    updateTermAndPrimary();
}

void TargetStatusTable::setSuspect(const TargetId& id, bool isSuspect)
{
    BatchSequence* sequence = nullptr;
    find(id, sequence).isSuspect = isSuspect;
}

// The primary is counted without a query, because its commit shows that it was on the term at that time. A replica that
// reports the same term in answer to a later query had not moved to a later term by then either.
bool TargetStatusTable::isMajorityOnTerm(Term term, BatchSequence after) const
{
    size_t n = 1;
    for (size_t i = 0; i < m_view.targets.size(); ++i) {
        const TargetView& target = m_view.targets[i];
        if (m_sequences[i] > after && target.status.term == term && target.status.role == TargetRole::Replica)
            ++n;
    }
    return n >= majority();
}

// Comparing positions alone would be wrong: the log of a fenced target can reach the same position with commits of an
// older term. A log whose last commit is of `term` is a prefix of the primary's log, since a term has only one primary.
bool TargetStatusTable::isReplicatedToMajority(Term term, LogPosition position) const
{
    size_t n = 1;
    for (const auto& it : m_view.targets) {
        const TargetStatus& status = it.status;
        if (status.role == TargetRole::Replica && status.term == term && status.logTerm == term && status.position >= position)
            ++n;
    }
    return n >= majority();
}

bool TargetStatusTable::isMajorityOnLaterTerm(Term term) const
{
    const auto n = std::count_if(m_view.targets.begin(), m_view.targets.end(), [term](const TargetView& it) { return it.status.term > term; });
    return static_cast<size_t>(n) >= majority();
}

std::optional<PrimaryPosition> TargetStatusTable::primaryPosition(BatchSequence after) const
{
    const TargetView* primary = m_view.find(m_view.primary);
    if (!primary)
        return std::nullopt;
    bool hasPrimaryAnswered = false;
    size_t n = 0;
    for (size_t i = 0; i < m_view.targets.size(); ++i) {
        const TargetView& target = m_view.targets[i];
        if (m_sequences[i] <= after || target.status.term != primary->status.term)
            continue;
        ++n;
        hasPrimaryAnswered = hasPrimaryAnswered || &target == primary;
    }
    if (!hasPrimaryAnswered || n < majority())
        return std::nullopt;
    return PrimaryPosition { primary->status.term, primary->status.position };
}

bool TargetStatusTable::isPrimaryConfirmedByMajoritySince(Instant since) const
{
    const TargetView* primary = m_view.find(m_view.primary);
    if (!primary || primary->lastAnswerAt < since)
        return false;
    const auto n = std::count_if(m_view.targets.begin(), m_view.targets.end(), [this, since](const TargetView& it) {
        return hasStatus(it) && it.lastAnswerAt >= since && it.status.term == m_view.term;
    });
    return static_cast<size_t>(n) >= majority();
}

// The view's term never decreases, so a target that reports itself as primary of an older term is not taken as primary.
void TargetStatusTable::updateTermAndPrimary()
{
    for (const auto& it : m_view.targets) {
        if (it.status.role == TargetRole::Primary)
            m_view.term = std::max(m_view.term, it.status.term);
    }
    m_view.primary = TargetId();
    if (isMajorityOnLaterTerm(m_view.term))
        return;
    for (const auto& it : m_view.targets) {
        if (hasStatus(it) && isPrimaryAtTerm(it, m_view.term))
            m_view.primary = it.target;
    }
}

}
