#include "acknowledgement/GroupControl.h"

#include "acknowledgement/TargetChannel.h"
#include "base/ResultCode.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <list>
#include <map>

namespace parsleypaddle {

namespace {

    /// While no primary answers, targets are asked that much more often, to learn soon of the next one.
    constexpr double urgentHeartbeatFactor = 0.25;

    struct CommitWait {
        Term term;
        LogPosition position;
        AckRule rule { AckRule::Replicated };
        AskOrder began;
        TimerId timer { TimerId::None };
        GroupControl::Confirmed done;
    };

    struct PositionWait {
        AskOrder began;
        TimerId timer { TimerId::None };
        GroupControl::PositionDone done;
    };

    class TargetGroupControl final : public GroupControl, public TargetChannelClient {
    public:
        TargetGroupControl(EventLoop&, TargetConnector&, const GroupConfiguration&, const GroupControlSettings&);
        ~TargetGroupControl() override;

        const GroupView& view() const override { return m_board.view(); }
        void onChange(ViewChanged changed) override { m_observers.push_back(std::move(changed)); }
        void confirm(Term, LogPosition, AckRule, Instant deadline, Confirmed) override;
        AckLevel levelOf(Term, LogPosition) const override;
        void askPrimaryPosition(Instant deadline, PositionDone) override;
        bool isMajorityConfirmed(Milliseconds span) const override { return m_board.isMajorityConfirmedSince(m_loop.now() - span); }
        void setCalmFactor(uint32_t factor) override { m_calmFactor = factor; }
        void run(const TargetId&, const TargetBatch&, TargetConnection::Done) override;

    private:
        AskOrder nextAskOrder() override;
        void targetAnswered(const TargetId&, const TargetStatus&, AskOrder asked) override;
        void suspicionChanged(const TargetId&, bool isSuspect) override;

        void beat();
        bool isCalm() const;
        Milliseconds calmInterval() const { return m_settings.heartbeat * m_calmFactor; }
        void askAll();
        void settleCommits();
        void settlePositions();
        std::optional<absl::StatusOr<AckLevel>> resultOf(const CommitWait&);
        void noteTermConfirmed(Term, LogPosition);
        void notifyIfChanged();
        void notify();

        EventLoop& m_loop;
        GroupControlSettings m_settings;
        StatusBoard m_board;
        AskOrder m_lastOrder;
        std::map<TargetId, std::unique_ptr<TargetChannel>> m_channels;
        std::list<CommitWait> m_commitWaits;
        std::list<PositionWait> m_positionWaits;
        /// Commits up to here were confirmed to be on a majority's term.
        PrimaryPosition m_termConfirmed;
        std::vector<ViewChanged> m_observers;
        Term m_notifiedTerm;
        TargetId m_notifiedPrimary;
        TimerId m_beatTimer { TimerId::None };
        uint64_t m_beats { 0 };
        uint32_t m_calmFactor { 1 };
    };

    TargetGroupControl::TargetGroupControl(EventLoop& loop, TargetConnector& connector, const GroupConfiguration& group, const GroupControlSettings& settings)
        : m_loop(loop)
        , m_settings(settings)
        , m_board(group)
    {
        for (const auto& it : group.targets)
            m_channels[it.id] = std::make_unique<TargetChannel>(loop, connector, it, settings, *this);
        beat();
    }

    TargetGroupControl::~TargetGroupControl()
    {
        m_loop.cancel(m_beatTimer);
        for (const auto& it : m_commitWaits)
            m_loop.cancel(it.timer);
        for (const auto& it : m_positionWaits)
            m_loop.cancel(it.timer);
    }

    AskOrder TargetGroupControl::nextAskOrder()
    {
        m_lastOrder = m_lastOrder.next();
        return m_lastOrder;
    }

    // Hundreds of groups are watched by a few daemons each, all day: what is well is asked for rarely, the replicas most
    // of all, and whatever is not well at once.
    void TargetGroupControl::beat()
    {
        const bool wasCalm = isCalm();
        const bool isReplicasTurn = m_beats++ % m_settings.replicaBeats == 0;
        if (wasCalm && !isReplicasTurn)
            m_channels.at(view().primary)->ask();
        else
            askAll();
        m_beatTimer = m_loop.after(wasCalm ? calmInterval() : m_settings.heartbeat * urgentHeartbeatFactor, [this] { beat(); });
    }

    bool TargetGroupControl::isCalm() const
    {
        const TargetView* primary = view().find(view().primary);
        if (!primary || primary->isSuspect || m_loop.now() - primary->heardAt > calmInterval() * 2)
            return false;
        return std::none_of(view().targets.begin(), view().targets.end(), [this](const TargetView& it) { return it.status.term > view().term; });
    }

    void TargetGroupControl::askAll()
    {
        for (const auto& it : m_channels)
            it.second->ask();
    }

    void TargetGroupControl::confirm(Term term, LogPosition position, AckRule rule, Instant deadline, Confirmed done)
    {
        CommitWait wait { term, position, rule, nextAskOrder(), TimerId::None, std::move(done) };
        if (auto result = resultOf(wait)) {
            wait.done(*std::move(result));
            return;
        }
        m_commitWaits.push_back(std::move(wait));
        auto it = std::prev(m_commitWaits.end());
        it->timer = m_loop.after(deadline - m_loop.now(), [this, it] {
            const Confirmed late = std::move(it->done);
            m_commitWaits.erase(it);
            late(makeError(ResultCode::NotConfirmed, "the commit was not confirmed in time"));
        });
        askAll();
    }

    std::optional<absl::StatusOr<AckLevel>> TargetGroupControl::resultOf(const CommitWait& wait)
    {
        if (m_board.isMajorityOnTerm(wait.term, wait.began))
            noteTermConfirmed(wait.term, wait.position);
        const AckLevel level = levelOf(wait.term, wait.position);
        const AckLevel wanted = wait.rule == AckRule::Replicated ? AckLevel::Replicated : AckLevel::TermConfirmed;
        if (level >= wanted)
            return level;
        if (m_board.isMajorityPast(wait.term))
            return makeError(ResultCode::TermChanged, absl::StrCat("a majority has left term ", wait.term.value()));
        return std::nullopt;
    }

    void TargetGroupControl::noteTermConfirmed(Term term, LogPosition position)
    {
        if (term > m_termConfirmed.term)
            m_termConfirmed = { term, position };
        else if (term == m_termConfirmed.term)
            m_termConfirmed.position = std::max(m_termConfirmed.position, position);
    }

    AckLevel TargetGroupControl::levelOf(Term term, LogPosition position) const
    {
        if (m_board.isHeldByMajority(term, position))
            return AckLevel::Replicated;
        const bool isTermConfirmed = term == m_termConfirmed.term && position <= m_termConfirmed.position;
        return isTermConfirmed ? AckLevel::TermConfirmed : AckLevel::Committed;
    }

    void TargetGroupControl::askPrimaryPosition(Instant deadline, PositionDone done)
    {
        m_positionWaits.push_back({ nextAskOrder(), TimerId::None, std::move(done) });
        auto it = std::prev(m_positionWaits.end());
        it->timer = m_loop.after(deadline - m_loop.now(), [this, it] {
            const PositionDone late = std::move(it->done);
            m_positionWaits.erase(it);
            late(makeError(ResultCode::NoPrimary, "no primary with a majority on its term answered in time"));
        });
        askAll();
    }

    void TargetGroupControl::run(const TargetId& target, const TargetBatch& batch, TargetConnection::Done done)
    {
        auto it = m_channels.find(target);
        if (it == m_channels.end())
            done(makeError(ResultCode::TargetUnreachable, target.value() + " is not of this group"));
        else
            it->second->run(batch, std::move(done));
    }

    void TargetGroupControl::targetAnswered(const TargetId& target, const TargetStatus& status, AskOrder asked)
    {
        m_board.record(target, status, asked, m_loop.now());
        settleCommits();
        settlePositions();
        notifyIfChanged();
        if (!m_commitWaits.empty() || !m_positionWaits.empty())
            m_channels.at(target)->askAgain();
    }

    // Answers are given after the scan, since a callback may begin the next wait.
    void TargetGroupControl::settleCommits()
    {
        std::vector<std::pair<Confirmed, absl::StatusOr<AckLevel>>> settled;
        for (auto it = m_commitWaits.begin(); it != m_commitWaits.end();) {
            auto result = resultOf(*it);
            if (!result) {
                ++it;
                continue;
            }
            m_loop.cancel(it->timer);
            settled.emplace_back(std::move(it->done), *std::move(result));
            it = m_commitWaits.erase(it);
        }
        for (auto& it : settled)
            it.first(std::move(it.second));
    }

    void TargetGroupControl::settlePositions()
    {
        std::vector<std::pair<PositionDone, PrimaryPosition>> settled;
        for (auto it = m_positionWaits.begin(); it != m_positionWaits.end();) {
            const auto position = m_board.primaryPosition(it->began);
            if (!position) {
                ++it;
                continue;
            }
            m_loop.cancel(it->timer);
            settled.emplace_back(std::move(it->done), *position);
            it = m_positionWaits.erase(it);
        }
        for (auto& it : settled)
            it.first(it.second);
    }

    void TargetGroupControl::suspicionChanged(const TargetId& target, bool isSuspect)
    {
        m_board.setSuspect(target, isSuspect);
        notify();
    }

    void TargetGroupControl::notifyIfChanged()
    {
        if (m_notifiedTerm != view().term || m_notifiedPrimary != view().primary)
            notify();
    }

    void TargetGroupControl::notify()
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
