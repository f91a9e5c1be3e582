#pragma once

#include "failover/GroupFailover.h"
#include "relay/Relay.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// The keepers of all groups of one daemon, fed from the control table.
class PrimaryKeeper final : public PrimaryObserver {
public:
    explicit PrimaryKeeper(KeeperContext);
    ~PrimaryKeeper() override;

    /// `relay` reports to this object and outlives its timers.
    void start(Relay& relay);

    /// Takes over the rows of the control table, by key.
    void setRows(const std::map<std::string, StoredRow>&);
    void setTargets(const std::vector<TargetEntry>&);

    void primaryAnswered(const GroupId&) override;
    void primaryFailed(const GroupId&) override;

private:
    GroupFailover& keeperOf(const GroupId&);
    void tick();
    void confirmReleases();

    KeeperContext m_context;
    Relay* m_relay { nullptr };
    std::map<GroupId, std::unique_ptr<GroupFailover>> m_keepers;
    RowVersion m_epoch;
    bool m_isKnown { false };
    bool m_areTargetsKnown { false };
    TimerId m_timer { TimerId::None };
};

}
