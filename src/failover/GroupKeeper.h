#pragma once

#include "failover/GroupRecord.h"
#include "failover/LeaseBoard.h"
#include "failover/TargetProbe.h"
#include "leases/InstanceLease.h"
#include "relay/RelayGroup.h"
#include "telemetry/DecisionLog.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace parsleypaddle {

/// What the keepers of a daemon's groups share.
struct KeeperContext {
    EventLoop& loop;
    PlatformRows& platform;
    PromotionPort& promotions;
    TargetConnector& connector;
    InstanceLease& lease;
    LeaseBoard& board;
    DecisionLog& log;
};

/// One daemon's part in choosing a group's primary: it stops using one that is being replaced, says when it cannot reach
/// one, and carries out the change itself when it was the first to begin it.
class GroupKeeper {
public:
    GroupKeeper(KeeperContext, GroupId);

    /// The group's record and its version; `epoch` is the version of the epoch row beside it.
    void setRecord(const GroupRecord&, RowVersion version, RowVersion epoch);
    /// Daemons that cannot reach the primary of the present term.
    void setSuspicions(std::set<InstanceId>);
    void setEntries(std::vector<TargetEntry>);

    void primaryFailed() { m_isToProbe = true; }
    void primaryAnswered();

    /// Does what is due. Called every few milliseconds while isBusy(), else a few times a second.
    void tick(RelayGroup&);

    /// Whether there is anything but an open primary without complaints.
    bool isBusy() const;
    /// Whether this daemon no longer uses a primary that is being replaced.
    bool isReleased() const { return m_isReleased; }

    PrimaryBelief belief() const;

private:
    void release(RelayGroup&);
    void bootstrap();
    void watchPrimary(const RelayGroup&);
    /// Whether this daemon's suspicion is worth its price.
    bool isSuspicionWanted() const;
    bool isJuror() const;
    bool isLostToMost() const;
    void probePrimary();
    void primaryProbed(const ProbeResult&);
    void noteSuspicion(bool isSuspect);
    void beginChange(bool isPlanned, std::string_view why);
    void watchOwner();
    void drive();
    bool isPrimaryBack() const;
    void awaitRelease();
    void probeAll();
    bool isSuccessor(const TargetId&, const std::optional<RoleReport>&) const;
    void logCandidates();
    void choose();
    void promote();
    void followPromotion();
    void write(GroupRecord, bool movesEpoch, std::string_view why);

    bool isOwn() const;
    const TargetEntry* find(const TargetId&) const;
    std::optional<TargetId> mostCompleteReplica() const;
    GroupRecord opened(const TargetId& primary, Term) const;

    KeeperContext m_context;
    GroupId m_group;
    std::optional<GroupRecord> m_record;
    RowVersion m_version;
    RowVersion m_epoch;
    Instant m_recordSince;
    std::vector<TargetEntry> m_entries;
    /// Whether the platform's list of targets is known.
    bool m_isListed { false };
    std::set<InstanceId> m_suspicions;

    // Of an open primary.
    bool m_isToProbe { false };
    bool m_isProbing { false };
    uint32_t m_failedProbes { 0 };
    Instant m_lastAnswer;
    bool m_isSuspicionWritten { false };
    Instant m_nextSuspicion;
    Instant m_suspectSince;
    Instant m_nextJurorReview;
    std::optional<Instant> m_missingSince;
    std::optional<Instant> m_leavingSince;

    // Of a change that is under way.
    bool m_isReleased { true };
    Instant m_releaseBy;
    bool m_isWriting { false };
    bool m_isReadingLeases { false };
    bool m_isReleasedEverywhere { false };
    Instant m_nextOwnerCheck;
    size_t m_probesUnderWay { 0 };
    bool m_isRoundComplete { false };
    std::map<TargetId, ProbeResult> m_probes;
    std::set<TargetId> m_refused;
    std::string m_lastCandidates;
    bool m_isPromoting { false };
    Instant m_nextPromotion;
    Instant m_nextProbe;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
