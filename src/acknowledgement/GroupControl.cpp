#include "acknowledgement/GroupControl.h"

#include "acknowledgement/TargetChannel.h"
#include "base/ResultCode.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <list>
#include <map>

namespace parsleypaddle {

namespace {

    /// Scales the heartbeat interval while the group is not healthy, so that a new primary is found sooner.
    constexpr double unhealthyHeartbeatFactor = 0.25;

    struct CommitWait {
        Term term;
        LogPosition position;
        AckRule rule { AckRule::Replicated };
        BatchSequence startSequence;
        TimerId timer { TimerId::None };
        GroupControl::ConfirmCallback done;
    };

    struct PositionWait {
        BatchSequence startSequence;
        TimerId timer { TimerId::None };
        GroupControl::PositionCallback done;
    };

    class TargetGroupControl final : public GroupControl, public TargetChannelClient {
    public:
        TargetGroupControl(EventLoop&, TargetConnector&, const GroupConfiguration&, const GroupControlSettings&);
        ~TargetGroupControl() override;

        const GroupView& view() const override { return m_statusTable.view(); }
        void addChangeObserver(ChangeObserver observer) override { m_observers.push_back(std::move(observer)); }
        void confirm(Term, LogPosition, AckRule, Instant deadline, ConfirmCallback) override;
        AckLevel ackLevelAt(Term, LogPosition) const override;
        void queryPrimaryPosition(Instant deadline, PositionCallback) override;
        bool isPrimaryConfirmedByMajority(Milliseconds span) const override { return m_statusTable.isPrimaryConfirmedByMajoritySince(m_loop.now() - span); }
        void setHeartbeatFactor(uint32_t factor) override { m_heartbeatFactor = factor; }
        void run(const TargetId&, const TargetBatch&, TargetConnection::Done) override;

    private:
        BatchSequence nextBatchSequence() override;
        void targetAnswered(const TargetId&, const TargetStatus&, BatchSequence sequence) override;
        void suspicionChanged(const TargetId&, bool isSuspect) override;

        void sendHeartbeat();
        bool isGroupHealthy() const;
        Milliseconds scaledHeartbeatInterval() const { return m_settings.heartbeatInterval * m_heartbeatFactor; }
        void queryAll();
        void resolveCommitWaits();
        void resolvePositionWaits();
        std::optional<absl::StatusOr<AckLevel>> resultOf(const CommitWait&);
        void recordTermConfirmed(Term, LogPosition);
        void notifyIfChanged();
        void notifyObservers();

        EventLoop& m_loop;
        GroupControlSettings m_settings;
        TargetStatusTable m_statusTable;
        BatchSequence m_lastSequence;
        std::map<TargetId, std::unique_ptr<TargetChannel>> m_channels;
        std::list<CommitWait> m_commitWaits;
        std::list<PositionWait> m_positionWaits;
        /// The latest commit whose term a majority confirmed. Earlier commits of that term are confirmed with it.
        PrimaryPosition m_termConfirmed;
        std::vector<ChangeObserver> m_observers;
        Term m_notifiedTerm;
        TargetId m_notifiedPrimary;
        TimerId m_heartbeatTimer { TimerId::None };
        uint64_t m_heartbeatsSent { 0 };
        uint32_t m_heartbeatFactor { 1 };
    };

    TargetGroupControl::TargetGroupControl(EventLoop& loop, TargetConnector& connector, const GroupConfiguration& group, const GroupControlSettings& settings)
        : m_loop(loop)
        , m_settings(settings)
        , m_statusTable(group)
    {
        for (const auto& it : group.targets)
            m_channels[it.id] = std::make_unique<TargetChannel>(loop, connector, it, settings, *this);
        sendHeartbeat();
    }

    TargetGroupControl::~TargetGroupControl()
    {
        m_loop.cancel(m_heartbeatTimer);
        for (const auto& it : m_commitWaits)
            m_loop.cancel(it.timer);
        for (const auto& it : m_positionWaits)
            m_loop.cancel(it.timer);
    }

    BatchSequence TargetGroupControl::nextBatchSequence()
    {
        m_lastSequence = m_lastSequence.next();
        return m_lastSequence;
    }

    // There are hundreds of groups, each watched by a few daemons, so queries to healthy groups are kept rare, and those to
    // their replicas rarer still. While a group is not healthy, each heartbeat queries all of its targets.
    void TargetGroupControl::sendHeartbeat()
    {
        const bool wasHealthy = isGroupHealthy();
        const bool isReplicaQueryDue = m_heartbeatsSent++ % m_settings.heartbeatsPerReplicaQuery == 0;
        if (wasHealthy && !isReplicaQueryDue)
            m_channels.at(view().primary)->query();
        else
            queryAll();
        m_heartbeatTimer = m_loop.after(wasHealthy ? scaledHeartbeatInterval() : m_settings.heartbeatInterval * unhealthyHeartbeatFactor, [this] { sendHeartbeat(); });
    }

    bool TargetGroupControl::isGroupHealthy() const
    {
        const TargetView* primary = view().find(view().primary);
        if (!primary || primary->isSuspect || m_loop.now() - primary->lastAnswerAt > scaledHeartbeatInterval() * 2)
            return false;
        return std::none_of(view().targets.begin(), view().targets.end(), [this](const TargetView& it) { return it.status.term > view().term; });
    }

    void TargetGroupControl::queryAll()
    {
        for (const auto& it : m_channels)
            it.second->query();
    }

    void TargetGroupControl::confirm(Term term, LogPosition position, AckRule rule, Instant deadline, ConfirmCallback done)
    {
        CommitWait wait { term, position, rule, nextBatchSequence(), TimerId::None, std::move(done) };
        if (auto result = resultOf(wait)) {
            wait.done(*std::move(result));
            return;
        }
        m_commitWaits.push_back(std::move(wait));
        auto it = std::prev(m_commitWaits.end());
        it->timer = m_loop.after(deadline - m_loop.now(), [this, it] {
            const ConfirmCallback callback = std::move(it->done);
            m_commitWaits.erase(it);
            callback(makeError(ResultCode::NotConfirmed, "the commit was not confirmed before the deadline"));
        });
        queryAll();
    }

    std::optional<absl::StatusOr<AckLevel>> TargetGroupControl::resultOf(const CommitWait& wait)
    {
        if (m_statusTable.isMajorityOnTerm(wait.term, wait.startSequence))
            recordTermConfirmed(wait.term, wait.position);
        const AckLevel level = ackLevelAt(wait.term, wait.position);
        const AckLevel required = wait.rule == AckRule::Replicated ? AckLevel::Replicated : AckLevel::TermConfirmed;
        if (level >= required)
            return level;
        if (m_statusTable.isMajorityOnLaterTerm(wait.term))
            return makeError(ResultCode::TermChanged, absl::StrCat("a majority of the targets is on a later term than ", wait.term.value()));
        return std::nullopt;
    }

    void TargetGroupControl::recordTermConfirmed(Term term, LogPosition position)
    {
        if (term > m_termConfirmed.term)
            m_termConfirmed = { term, position };
        else if (term == m_termConfirmed.term)
            m_termConfirmed.position = std::max(m_termConfirmed.position, position);
    }

    AckLevel TargetGroupControl::ackLevelAt(Term term, LogPosition position) const
    {
        if (m_statusTable.isReplicatedToMajority(term, position))
            return AckLevel::Replicated;
        const bool isTermConfirmed = term == m_termConfirmed.term && position <= m_termConfirmed.position;
        return isTermConfirmed ? AckLevel::TermConfirmed : AckLevel::Committed;
    }

    void TargetGroupControl::queryPrimaryPosition(Instant deadline, PositionCallback done)
    {
        m_positionWaits.push_back({ nextBatchSequence(), TimerId::None, std::move(done) });
        auto it = std::prev(m_positionWaits.end());
        it->timer = m_loop.after(deadline - m_loop.now(), [this, it] {
            const PositionCallback callback = std::move(it->done);
            m_positionWaits.erase(it);
            callback(makeError(ResultCode::NoPrimary, "no primary was confirmed before the deadline by answers from a majority of the targets on its term, itself included"));
        });
        queryAll();
    }

    void TargetGroupControl::run(const TargetId& target, const TargetBatch& batch, TargetConnection::Done done)
    {
        auto it = m_channels.find(target);
        if (it == m_channels.end())
            done(makeError(ResultCode::TargetUnreachable, target.value() + " is not a target of this group"));
        else
            it->second->run(batch, std::move(done));
    }

    void TargetGroupControl::targetAnswered(const TargetId& target, const TargetStatus& status, BatchSequence sequence)
    {
        m_statusTable.record(target, status, sequence, m_loop.now());
        resolveCommitWaits();
        resolvePositionWaits();
        notifyIfChanged();
        if (!m_commitWaits.empty() || !m_positionWaits.empty())
            m_channels.at(target)->queryAgain();
    }

    // Callbacks run after the scan, because a callback may add another wait to the list.
    void TargetGroupControl::resolveCommitWaits()
    {
        std::vector<std::pair<ConfirmCallback, absl::StatusOr<AckLevel>>> resolved;
        for (auto it = m_commitWaits.begin(); it != m_commitWaits.end();) {
            auto result = resultOf(*it);
            if (!result) {
                ++it;
                continue;
            }
            m_loop.cancel(it->timer);
            resolved.emplace_back(std::move(it->done), *std::move(result));
            it = m_commitWaits.erase(it);
        }
        for (auto& it : resolved)
            it.first(std::move(it.second));
    }

    void TargetGroupControl::resolvePositionWaits()
    {
        std::vector<std::pair<PositionCallback, PrimaryPosition>> resolved;
        for (auto it = m_positionWaits.begin(); it != m_positionWaits.end();) {
            const auto position = m_statusTable.primaryPosition(it->startSequence);
            if (!position) {
                ++it;
                continue;
            }
            m_loop.cancel(it->timer);
            resolved.emplace_back(std::move(it->done), *position);
            it = m_positionWaits.erase(it);
        }
        for (auto& it : resolved)
            it.first(it.second);
    }

    void TargetGroupControl::suspicionChanged(const TargetId& target, bool isSuspect)
    {
        m_statusTable.setSuspect(target, isSuspect);
        notifyObservers();
    }

    void TargetGroupControl::notifyIfChanged()
    {
        if (m_notifiedTerm != view().term || m_notifiedPrimary != view().primary)
            notifyObservers();
    }

    void TargetGroupControl::notifyObservers()
    {
        m_notifiedTerm = view().term;
        m_notifiedPrimary = view().primary;
        for (const auto& it : m_observers)
            it(view());
    }

}

std::unique_ptr<GroupControl> GroupControl::create(EventLoop& loop, TargetConnector& connector, const GroupConfiguration& group, const GroupControlSettings& settings)
{
    return std::make_unique<TargetGroupControl>(loop, connector, group, settings);
}

}
