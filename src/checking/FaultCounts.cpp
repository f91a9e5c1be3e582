#include "checking/FaultCounts.h"

#include <algorithm>
#include <map>

namespace parsleypaddle {

namespace {

    /// A leaving target may get work for this long.
    constexpr Milliseconds leavingAllowance { 3000 };

    using Write = std::pair<std::string, std::string>;

    /// The part of a request id that all steps and attempts of one caller's request share.
    std::string baseOf(const RequestId& id)
    {
        const std::string& text = id.value();
        const size_t lastPart = text.find('-', text.find('-') + 1);
        return text.substr(0, text.find_first_of(".#-", lastPart + 1));
    }

    bool isWork(const ModelEvent& event)
    {
        return event.operation == TargetOperation::Read || event.operation == TargetOperation::Write;
    }

    bool isCommit(const ModelEvent& event)
    {
        return event.operation == TargetOperation::Write || event.operation == TargetOperation::Commit;
    }

    /// One group's history against its callers' results.
    class GroupCheck {
    public:
        explicit GroupCheck(GroupModel& model)
            : m_history(model.history())
        {
            for (const auto& commit : model.survivingLog()) {
                for (const auto& change : commit.changes)
                    ++m_survived[{ change.key, change.value }];
            }
            for (const auto& it : m_history) {
                if (isCommit(it) && !it.committed.empty())
                    m_commits.emplace(baseOf(it.request), &it);
            }
        }

        void checkResult(const ToldOutcome& result, FaultCounts& counts) const
        {
            const Outcome outcome = outcomeOf(result.code);
            if (!result.isWrite) {
                counts.staleSessionReads += outcome == Outcome::Done && result.seen < result.write ? 1 : 0;
                return;
            }
            const bool hasSurvived = m_survived.count({ result.key, std::to_string(result.write) }) > 0;
            counts.lost += outcome == Outcome::Done && !hasSurvived ? 1 : 0;
            counts.falseNotRun += outcome == Outcome::NotRun && hasSurvived ? 1 : 0;
            counts.ackedByReplaced += outcome == Outcome::Done && wasReplaced(result) ? 1 : 0;
        }

        void checkHistory(const std::vector<Leaving>& leaving, FaultCounts& counts) const
        {
            for (const auto& [write, times] : m_survived)
                counts.doubled += times > 1 ? 1 : 0;
            for (const auto& event : m_history) {
                counts.mixedTransactions += isMixed(event) ? 1 : 0;
                counts.workToLeaving += isWork(event) && !event.request.value().empty() && isLate(event, leaving) ? 1 : 0;
            }
        }

    private:
        // A later term had committed before the write did, at another target.
        bool wasReplaced(const ToldOutcome& result) const
        {
            auto found = m_commits.find(baseOf(result.request));
            if (found == m_commits.end())
                return false;
            const ModelEvent& write = *found->second;
            return std::any_of(m_history.begin(), m_history.end(), [&write](const ModelEvent& it) {
                return it.operation != TargetOperation::Read && it.term > write.term && it.at < write.at;
            });
        }

        static bool isMixed(const ModelEvent& event)
        {
            const std::string own = baseOf(event.request);
            return std::any_of(event.committed.begin(), event.committed.end(), [&own](const RequestId& it) { return baseOf(it) != own; });
        }

        static bool isLate(const ModelEvent& event, const std::vector<Leaving>& leaving)
        {
            return std::any_of(leaving.begin(), leaving.end(), [&event](const Leaving& it) { return it.target == event.target && event.at > it.since + leavingAllowance; });
        }

        const std::vector<ModelEvent>& m_history;
        std::map<Write, uint32_t> m_survived;
        std::multimap<std::string, const ModelEvent*> m_commits;
    };

}

FaultCounts& FaultCounts::operator+=(const FaultCounts& other)
{
    doubled += other.doubled;
    lost += other.lost;
    staleSessionReads += other.staleSessionReads;
    ackedByReplaced += other.ackedByReplaced;
    falseNotRun += other.falseNotRun;
    mixedTransactions += other.mixedTransactions;
    workToLeaving += other.workToLeaving;
    return *this;
}

FaultCounts countFaults(FakeTargets& targets, const Configuration& configuration, const std::vector<ToldOutcome>& results, const std::vector<Leaving>& leaving)
{
    FaultCounts counts;
    for (const auto& group : configuration.groups) {
        const GroupCheck check(targets.model(group.database));
        check.checkHistory(leaving, counts);
        for (const auto& it : results) {
            if (it.database == group.database)
                check.checkResult(it, counts);
        }
    }
    return counts;
}

}
