#pragma once

#include "acknowledgement/GroupControl.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// The sequence number of a batch sent or a wait started; all targets of a group share one sequence.
using BatchSequence = Ordinal<struct BatchSequenceTag>;

/// The latest status of each target of a group, and what these show about a majority. Does no I/O and reads no clock.
class TargetStatusTable {
public:
    explicit TargetStatusTable(const GroupConfiguration&);

    /// Records the answer to the batch numbered `sequence`. An answer to an older batch than the last one recorded only
    /// updates `heardAt`.
    void record(const TargetId&, const TargetStatus&, BatchSequence sequence, Instant now);

    void setSuspect(const TargetId&, bool isSuspect);

    /// Whether a majority was on `term` when its primary made a commit before `after`: the primary itself, and replicas
    /// that have reported that term in answer to later batches.
    bool isMajorityOnTerm(Term, BatchSequence after) const;

    /// Whether a majority, the primary included, holds the commit that the primary of `term` made at `position`.
    bool isReplicatedToMajority(Term, LogPosition) const;

    /// Whether a majority is on a later term than this one.
    bool isMajorityOnLaterTerm(Term) const;

    /// The primary's position, if the primary and a majority on its term have answered queries sent after `after`.
    std::optional<PrimaryPosition> primaryPosition(BatchSequence after) const;

    /// Whether a majority on the primary's term, the primary included, has answered since `since`.
    bool isMajorityConfirmedSince(Instant since) const;

    const GroupView& view() const { return m_view; }
    size_t majority() const { return m_view.targets.size() / 2 + 1; }

private:
    void updateTermAndPrimary();
    TargetView& find(const TargetId&, BatchSequence*& sequence);

    GroupView m_view;
    /// The number of the batch that each target's status answers, in the order of the view's targets.
    std::vector<BatchSequence> m_sequences;
};

}
