#pragma once

#include "acknowledgement/GroupControl.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// Numbers the batches sent to the targets of a group, and the calls of confirm() and queryPrimaryPosition(), in one common
/// order.
using BatchSequence = Ordinal<struct BatchSequenceTag>;

/// Keeps the latest status of each target of a group, and determines from them which term and position a majority has
/// reached. Does no I/O and reads no clock.
class TargetStatusTable {
public:
    explicit TargetStatusTable(const GroupConfiguration&);

    /// Records the answer to the batch numbered `sequence`. An answer to an older batch than the last one recorded only
    /// updates the time of the target's last answer.
    void record(const TargetId&, const TargetStatus&, BatchSequence sequence, Instant now);

    void setSuspect(const TargetId&, bool isSuspect);

    /// Whether the replicas whose latest status reports `term` and answers a batch later than `after` make up a majority
    /// together with the primary. The primary is counted as on `term` without a check of its status.
    bool isMajorityOnTerm(Term, BatchSequence after) const;

    /// Whether a majority is known to hold the commit that the primary of `term` made at `position`: the primary itself,
    /// and replicas on `term` whose last commit is of `term` and whose log reaches `position`.
    bool isReplicatedToMajority(Term, LogPosition) const;

    /// Whether a majority is on a later term than this one.
    bool isMajorityOnLaterTerm(Term) const;

    /// The primary's position, if a majority on its term, the primary included, has answered batches later than `after`.
    std::optional<PrimaryPosition> primaryPosition(BatchSequence after) const;

    /// Whether a majority on the primary's term, the primary included, has answered since `since`.
    bool isPrimaryConfirmedByMajoritySince(Instant since) const;

    const GroupView& view() const { return m_view; }
    size_t majority() const { return m_view.targets.size() / 2 + 1; }

private:
    void updateTermAndPrimary();
    TargetView& find(const TargetId&, BatchSequence*& sequence);

    GroupView m_view;
    /// For each target of the view, in the same order: the sequence number of the batch whose answer gave its status.
    std::vector<BatchSequence> m_sequences;
};

}
