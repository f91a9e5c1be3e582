#pragma once

#include "acknowledgement/GroupControl.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// The order in which status questions were sent and waits began, over all targets of a group.
using AskOrder = Ordinal<struct AskOrderTag>;

/// The latest status of each target of a group and what a majority of them has shown. Pure.
class StatusBoard {
public:
    explicit StatusBoard(const GroupConfiguration&);

    /// Takes in an answer to a question. Answers to older questions only show that the target lives.
    void record(const TargetId&, const TargetStatus&, AskOrder asked, Instant now);

    void setSuspect(const TargetId&, bool isSuspect);

    /// Whether a majority was on `term` when the primary of `term` made its last commit before `after`.
    bool isMajorityOnTerm(Term, AskOrder after) const;

    /// Whether a majority holds the commit that the primary of `term` made at `position`.
    bool isHeldByMajority(Term, LogPosition) const;

    /// Whether a majority is on a later term.
    bool isMajorityPast(Term) const;

    /// The primary's position by answers to questions sent after `after`, if a majority's answers agree on its term.
    std::optional<PrimaryPosition> primaryPosition(AskOrder after) const;

    /// Whether a majority, the primary included, was heard on the primary's term since `since`.
    bool isMajorityConfirmedSince(Instant since) const;

    const GroupView& view() const { return m_view; }
    size_t majority() const { return m_view.targets.size() / 2 + 1; }

private:
    void refresh();
    TargetView& find(const TargetId&, AskOrder*& asked);

    GroupView m_view;
    /// When the question behind each target's status was sent, in the order of the view's targets.
    std::vector<AskOrder> m_asked;
};

}
