#pragma once

#include "failover/EraRowWriter.h"
#include "failover/GroupFailover.h"
#include "relay/Relay.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// Runs the failover of all groups on one daemon, according to the rows of the control table.
class FailoverManager final : public PrimaryObserver {
public:
    explicit FailoverManager(FailoverContext);
    ~FailoverManager() override;

    /// Starts the timer that advances the failover of each group. To be called before setRows(). `relay` must have been
    /// constructed with this object as its PrimaryObserver, and must exist whenever setRows() is called or the timer runs.
    void start(Relay& relay);

    /// Applies the rows of the control table, which are passed by key, as of a version of the platform's tables. Called after each change
    /// of the table.
    void setRows(const std::map<std::string, StoredRow>&, RowVersion asOf);
    void setTargets(const std::vector<TargetEntry>&);

    /// Whether a group has targets and no record of the present era, as while a fleet starts for the first time.
    bool awaitsRecords() const;

    /// Whether this daemon carries out a change of any group's primary, or may be about to.
    bool mayOwnChange() const;

    void primaryAnswered(const GroupId&) override;
    void primaryFailed(const GroupId&) override;

private:
    GroupFailover& failoverOf(const GroupId&);
    void beginEra(PlatformEra);
    void applyEraRow(const std::map<std::string, StoredRow>&);
    void applyRecord(const std::map<std::string, StoredRow>&, const StoredRow&, const GroupId&);
    static void applyLogRows(const std::map<std::string, StoredRow>&, GroupFailover&, const GroupId&);
    void tick();
    void confirmEpochIfReleased();

    FailoverContext m_context;
    Relay* m_relay { nullptr };
    std::map<GroupId, std::unique_ptr<GroupFailover>> m_groups;
    EraRowWriter m_eraRowWriter;
    RowVersion m_epoch;
    bool m_areRowsKnown { false };
    bool m_areTargetsKnown { false };
    Instant m_nextIdleTick;
    TimerId m_timer { TimerId::None };
};

}
