#pragma once

#include "failover/DisconnectedUsers.h"
#include "failover/GroupRecord.h"
#include "failover/KnownTargets.h"
#include "failover/LeaseMonitor.h"
#include "failover/LeavingTargetUse.h"
#include "failover/LogEvidence.h"
#include "failover/PlatformEraState.h"
#include "failover/PromotionCalls.h"
#include "failover/PromotionDecision.h"
#include "failover/TargetProbe.h"
#include "leases/InstanceLease.h"
#include "relay/RelayGroup.h"
#include "telemetry/DecisionLog.h"
#include "telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace parsleypaddle {

/// Dependencies that the GroupFailover objects of one daemon share.
struct FailoverContext {
    EventLoop& loop;
    PlatformRows& platform;
    PromotionPort& promotions;
    TargetConnector& connector;
    InstanceLease& lease;
    LeaseMonitor& leaseMonitor;
    DecisionLog& log;
    Metrics& metrics;
    /// The version of the platform's tables as of which the target list is known.
    std::function<RowVersion()> targetListVersion;
    /// Number of groups whose first record of an era this daemon prepares now: it probes their targets or writes the record. Shared,
    /// because the limit is one for all groups.
    std::shared_ptr<uint32_t> firstRecords { std::make_shared<uint32_t>(0) };
    std::shared_ptr<PlatformEraState> era { std::make_shared<PlatformEraState>() };
};

/// One daemon's part in the failover of one group. It stops using a primary that is being replaced, and may record a suspicion
/// when probes of the primary fail. If the daemon holds a row of the lease table, it carries out a change of primary when it was the
/// first to begin it, or when it has taken over the change from an owner that holds no valid lease any more.
class GroupFailover {
public:
    GroupFailover(FailoverContext, GroupId);

    /// Applies the group's record, unless `version` is not newer than that of the current record. `epoch` is the version of the
    /// epoch row that was read with it, and is applied in either case.
    void setRecord(const GroupRecord&, RowVersion version, RowVersion epoch);
    /// Applies a record that was in the copy from which the platform has returned. It is used only if no daemon reinstates a later one.
    void setRecordOfCopy(const GroupRecord&, RowVersion version, RowVersion epoch);
    /// Notes that an era of the platform has begun. With `knowsPrimary`, this daemon goes on under the record that it has, and
    /// reinstates it if it is a holder. Otherwise it stops using the primary.
    void beginEra(bool knowsPrimary);
    /// The version of the current record; 0 without one.
    RowVersion recordVersion() const { return m_version; }
    /// The version of the platform's row, which may come from a copy; number 0 if there is none.
    RowVersion rowVersion() const { return m_rowVersion; }
    /// Sets the version of the epoch row when the record has not changed.
    void setEpoch(RowVersion epoch) { m_epoch = epoch; }
    /// Sets the daemons that have recorded a suspicion against the primary of the current term.
    void setSuspicions(std::set<InstanceId>);
    void setTargets(std::vector<TargetEntry>);
    /// Sets in how many replicas a commit is before the primary acknowledges it; unset while this daemon does not know the configuration.
    void setSynchronousReplicas(std::optional<uint32_t> n) { m_synchronousReplicas = n; }
    /// Applies the row of the group's known targets; null if there is none.
    void setKnownTargets(const StoredRow*);
    /// Applies the row with an operator's decision on the change of primary; null if there is none.
    void setDecision(const StoredRow*);

    void primaryFailed() { m_isProbeRequested = true; }
    void primaryAnswered();

    /// Executes the steps that are due. Called every 20 ms and after each change of the control table while this object
    /// needsFrequentTicks(), and otherwise every 200 ms.
    void tick(RelayGroup&);

    /// True while a holder finds no record of the group, a change of its primary is in progress, a probe of the primary is requested, or the
    /// primary is leaving or missing from the target list.
    bool needsFrequentTicks() const;
    /// False from the time when this daemon receives the record of a change until it has stopped using the old primary or the
    /// change has ended.
    bool hasReleasedPrimary() const { return m_hasReleasedPrimary; }

    /// Whether the group has targets and no record of the present era.
    bool awaitsRecord() const { return !hasPresentRecord() && !m_targets.empty(); }

    /// Whether this daemon carries out a change, or may be about to because a record is being written.
    bool mayOwnChange() const;

    /// Whether this daemon carries out a change that waits for logs, without which no target may be promoted.
    bool isAwaitingLogs() const { return m_awaitingLogsSince.has_value(); }
    /// Number of targets that are not listed, and whose logs a change of primary may need.
    size_t unlistedLogHolders() const;

    /// The primary according to the last record that this daemon has received.
    PrimaryView knownPrimary() const;

private:
    bool hasPresentRecord() const;
    bool isEraSettled() const;
    void reinstateRecord();
    void writeReinstatement(GroupRecord);
    void correctReinstatement();
    /// Keeps the present record as one of an earlier era, unless that is later.
    void keepEarlierRecord();
    /// Opens the group if a target leads a later term than that of the reinstated record.
    bool adoptPromotedTarget();
    /// Whether the probes show that the primary of a reinstated record was not replaced.
    bool isUnreplaced() const;
    void releasePrimary(RelayGroup&);
    void bootstrap();
    bool createFirstRecord();
    void monitorPrimary(const RelayGroup&);
    /// Whether this daemon should record its suspicion. Each recorded suspicion is delivered to every daemon.
    bool shouldWriteSuspicion() const;
    bool isVoter() const;
    bool isSuspectedByMajority() const;
    void probePrimary();
    void applyProbeResult(const ProbeResult&);
    void writeSuspicion(bool isSuspect);
    void beginChange(bool isPlanned, std::string_view why);
    void checkOwner();
    void advanceChange();
    bool hasPrimaryRecovered() const;
    void checkRelease();
    bool isReleaseCheckDue() const;
    /// Applies the leases that show that every daemon has released the primary.
    void applyRelease(const LeaseTable&, RowVersion epoch);
    FailureDomainId primaryDomain() const;
    enum class ProbedTargets : uint8_t {
        Listed,
        /// Also those that are missing from the list and whose logs count.
        All,
    };
    void probeTargets(ProbedTargets = ProbedTargets::All);
    /// The primary, if it is missing from the list and its log counts.
    std::optional<TargetConfiguration> unlistedPrimary() const;
    TargetConfiguration configurationOf(const TargetId&, const KnownTarget&) const;
    bool isNewPrimary(const TargetId&, const std::optional<RoleReport>&) const;
    void logCandidates();
    void chooseCandidate();
    bool isMissingLog(const TargetId& candidate) const;
    void awaitCandidates();
    /// `required`: the mark that the candidate's log must reach; unset if it need not.
    void promote(const TargetId& candidate, const std::optional<LogMark>& required, std::string_view why);

    // Where commits wait for replicas.
    uint32_t requiredReplicas() const;
    /// The targets whose logs count, apart from the primary: listed or not.
    std::vector<TargetConfiguration> logHolders() const;
    /// Whether the target's process is another one than that which may hold acknowledged commits.
    bool hasRestarted(const TargetId&) const;
    /// The listed target that was started in place of one that has left, and has its log.
    std::optional<TargetId> successorOf(const TargetId&) const;
    bool isSuccessor(const TargetId&) const;
    KnownLogs knownLogs() const;
    bool promoteCompleteReplica();
    void chooseCompleteCandidate();
    std::optional<TargetId> completeReplica(const LogEvidence&) const;
    /// The target that an operator wants to be promoted as it is.
    std::optional<TargetId> decidedCandidate() const;
    bool mayResumePrimary() const;
    void awaitLogs(const KnownLogs&, const LogEvidence&);
    /// Whether the primary has answered as such, in the record's term, when it was probed last.
    bool isPrimaryAnswering() const;
    LeavingTargetUse leavingTargetUse() const;
    /// Whether a planned change has to wait, because no replica is close enough to the leaving primary.
    bool awaitsCloseReplica(const TargetEntry& primary) const;
    void maintainKnownTargets();
    void checkLogs();
    void evaluateLogCheck();
    /// Whether a replica that stays has received what the primary had in the last round.
    bool isReplicaClose() const;
    bool hasReceivedCheckedMark(const TargetId&) const;
    bool isUnlisted(const TargetId&) const;
    bool hasEnded(const TargetId&) const;
    void writeKnownTargets(const KnownTargets&);
    void logKnownTargets(const KnownTargets&);
    void monitorPromotion();
    bool hasPromotionTimedOut() const;
    /// Whether the candidate, which is not primary yet, has lost the log for which it was chosen.
    bool hasLostLog(const std::optional<RoleReport>&) const;
    bool isPromotionDue() const;
    void requestPromotion();
    void logPromotionAnswer(const TargetId& candidate, uint64_t call, RowVersion version, Instant sentAt, const absl::StatusOr<bool>& accepted);
    /// Whether a call for the promotion of another target than this one may still take effect.
    bool isAwaitingOtherPromotion(const TargetId&) const;
    bool mayUnansweredPromotionAct() const;
    /// The same of the call that a record names.
    bool mayTakeEffect(const GroupRecord&) const;
    /// When the last unanswered call under a record has taken effect at the latest, if `next` is to follow it; unset if there is none.
    std::optional<Instant> unansweredUntil(const GroupRecord& previous, const GroupRecord& next) const;
    /// Notes the unanswered calls under the known records in the one that follows them.
    void keepUnansweredPromotion(GroupRecord& next) const;
    void abandonProbeRound();
    /// Ends the preparation of the first record.
    void endFirstRecord();
    /// Writes the record if the present one, and the rows of `expected`, have not changed.
    void writeRecord(GroupRecord, bool updatesEpoch, std::string_view why, const std::vector<RowExpectation>& expected = {});
    void takeOver(const LeaseTable&);

    bool isChangeOwner() const;
    const TargetEntry* find(const TargetId&) const;
    std::optional<TargetId> mostCompleteReplica() const;
    GroupRecord makeOpenRecord(const TargetId& primary, Term, const LogMark& termBegin) const;

    FailoverContext m_context;
    GroupId m_group;
    /// The record under which this daemon acts. It may be of an earlier era than the present one.
    std::optional<GroupRecord> m_record;
    RowVersion m_version;
    /// The latest record of an earlier era, of which this daemon does not know whether a later one was lost.
    std::optional<GroupRecord> m_earlierRecord;
    /// Whether that was received in its era, instead of being in the copy.
    bool m_wasEarlierReceived { false };
    RowVersion m_rowVersion;
    Instant m_nextReinstatement;
    RowVersion m_epoch;
    /// When this daemon received the current version of the record. While there is no record: since when the group's targets have been
    /// known.
    Instant m_recordSince;
    std::vector<TargetEntry> m_targets;
    /// Targets that have removed themselves from the platform's list.
    std::set<TargetId> m_departedTargets;
    std::optional<uint32_t> m_synchronousReplicas;
    /// As the row of the control table has them, and its version.
    KnownTargets m_knownTargets;
    RowVersion m_knownTargetsVersion;
    std::optional<PromotionDecision> m_decision;
    RowVersion m_decisionVersion;
    /// Whether the platform's list of targets is known.
    bool m_areTargetsKnown { false };
    std::set<InstanceId> m_suspicions;

    // Monitoring of the primary while no change is in progress.
    bool m_isProbeRequested { false };
    bool m_isProbing { false };
    /// Number of probes in a row that failed within 100 ms. A probe that timed out, or that found another role or term, sets
    /// it to the number at which the primary is suspected.
    uint32_t m_consecutiveFailedProbes { 0 };
    Instant m_lastAnswerAt;
    bool m_isSuspicionWritten { false };
    Instant m_nextSuspicionWrite;
    Instant m_suspectSince;
    Instant m_nextLeaseRead;
    std::optional<Instant> m_missingSince;
    std::optional<Instant> m_leavingSince;

    /// Rounds of probes of all targets while the primary is in use, by which this daemon finds replicas that have received as much as the
    /// primary, and targets that have ended.
    struct LogCheck {
        bool isUnderWay { false };
        uint32_t rounds { 0 };
        Instant next;
        /// What the primary had in the last round.
        std::optional<LogMark> primaryMark;
        /// Targets that have ended, with the number of rounds in a row that have shown it.
        std::map<TargetId, uint32_t> ended;
        /// Those that need not be known any more.
        std::set<TargetId> removable;
    };
    LogCheck m_logCheck;
    bool m_isWritingKnownTargets { false };
    Instant m_nextKnownTargetsWrite;
    /// Since when the row of known targets has to be changed.
    std::optional<Instant> m_knownTargetsOutdatedSince;

    // Change in progress.
    bool m_hasReleasedPrimary { true };
    Instant m_releaseDeadline;
    bool m_isWriting { false };
    /// Whether the platform may hold a later record than this daemon knows: it has written one and has not received any since.
    bool m_isRecordUncertain { false };
    bool m_isReadingLeases { false };
    bool m_isReleasedEverywhere { false };
    /// Daemons that may have used the primary with a target that is not listed. Known once the primary is released everywhere.
    std::vector<InstanceId> m_disconnectedUsers;
    Instant m_nextReleaseCheck;
    Instant m_nextOwnerCheck;
    size_t m_pendingProbes { 0 };
    /// Counts the rounds of probes of all targets. Replies to an earlier round are ignored.
    uint64_t m_probeRound { 0 };
    bool m_isPreparingFirstRecord { false };
    /// Rounds of probes so far while there is no record.
    uint32_t m_firstProbeRounds { 0 };
    /// Whether a round of probes of all targets is complete and has not been evaluated yet. Only a round that began after every
    /// daemon had released the primary, or while there was no record, sets this.
    bool m_isProbeRoundComplete { false };
    /// Whether a probe of such a round was answered since the results were last evaluated.
    bool m_isProbeNew { false };
    std::map<TargetId, ProbeResult> m_probes;
    std::set<TargetId> m_rejectedCandidates;
    std::string m_lastLoggedCandidates;
    /// The calls under the present record.
    PromotionCalls m_calls;
    Instant m_nextPromotionRequest;
    /// Since when the candidate has been primary while a call for its promotion is out; unset if it is not.
    std::optional<Instant> m_candidateLeadsSince;
    bool m_isCandidateUnreachable { false };
    bool m_hasCandidateLostLog { false };
    bool m_isAwaitingCandidatesLogged { false };
    std::optional<Instant> m_awaitingLogsSince;
    std::string m_lastLoggedLogs;
    /// For how long a primary that has reported that it leaves may be used.
    Milliseconds m_leavingPrimaryUse;
    Instant m_nextProbe;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
