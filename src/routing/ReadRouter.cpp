#include "routing/ReadRouter.h"

#include "routing/ReplicaProgress.h"
#include "routing/TargetHealth.h"

#include <algorithm>
#include <map>
#include <random>

namespace parsleypaddle {

namespace {

    /// Expected delays of targets without recent answers, in the daemon's failure domain and in other ones.
    constexpr Milliseconds defaultOwnDomainDelay { 2 };
    constexpr Milliseconds defaultOtherDomainDelay { 5 };
    /// Fresh replicas are tried before the primary as long as the cost of the best one is at most this many times the
    /// primary's, or at most the minimum below, because the primary's slots are needed for writes.
    constexpr double maxReplicaDelayFactor = 4;
    constexpr Milliseconds minReplicaDelayLimit { 25 };
    /// A target's cost is its expected delay, randomly increased by at most this fraction so that daemons do not all choose
    /// the same target.
    constexpr double costJitter = 0.25;

    /// How well a target suits a read, best first.
    enum class Suitability : uint8_t {
        FreshReplica,
        Primary,
        UnknownReplica,
        AvoidedReplica,
        BehindReplica,
        Suspect,
    };

    struct Candidate {
        TargetId target;
        Suitability suitability { Suitability::UnknownReplica };
        Milliseconds cost;
    };

    bool isBetter(const Candidate& a, const Candidate& b)
    {
        if (a.suitability != b.suitability)
            return a.suitability < b.suitability;
        return a.cost < b.cost;
    }

    class FreshnessRouter final : public ReadRouter {
    public:
        FreshnessRouter(FailureDomainId ownDomain, uint64_t seed)
            : m_ownDomain(std::move(ownDomain))
            , m_random(seed)
        {
        }

        std::vector<TargetId> rankTargets(const GroupConfiguration&, const GroupView&, const ReadRequirements&, Instant now) override;
        void recordAttempt(const ReadAttempt&, Instant now) override;

    private:
        struct TargetRecord {
            ReplicaProgress progress;
            TargetHealth experience;
        };

        Candidate evaluate(const TargetConfiguration&, const GroupView&, const ReadRequirements&, Instant now);
        Suitability suitabilityOf(const TargetRecord&, const TargetView*, const ReadRequirements&, Milliseconds delay, Instant now) const;
        static void preferMuchFasterPrimary(std::vector<Candidate>&);

        FailureDomainId m_ownDomain;
        std::mt19937_64 m_random;
        std::map<TargetId, TargetRecord> m_records;
    };

    std::vector<TargetId> FreshnessRouter::rankTargets(const GroupConfiguration& group, const GroupView& view, const ReadRequirements& need, Instant now)
    {
        std::vector<Candidate> candidates;
        for (const auto& it : group.targets) {
            const TargetView* targetView = view.find(it.id);
            if (!targetView || !targetView->status.isLeaving)
                candidates.push_back(evaluate(it, view, need, now));
        }
        std::sort(candidates.begin(), candidates.end(), isBetter);
        preferMuchFasterPrimary(candidates);
        std::vector<TargetId> targets;
        targets.reserve(candidates.size());
        for (const auto& it : candidates)
            targets.push_back(it.target);
        return targets;
    }

    Candidate FreshnessRouter::evaluate(const TargetConfiguration& target, const GroupView& view, const ReadRequirements& need, Instant now)
    {
        const TargetView* targetView = view.find(target.id);
        TargetRecord& record = m_records[target.id];
        if (targetView)
            record.progress.update(*targetView);
        const Milliseconds defaultDelay = target.failureDomain == m_ownDomain ? defaultOwnDomainDelay : defaultOtherDomainDelay;
        const Milliseconds delay = record.experience.expectedDelay(defaultDelay, now);
        Candidate candidate;
        candidate.target = target.id;
        candidate.cost = delay * std::uniform_real_distribution<double>(1, 1 + costJitter)(m_random);
        const bool isSuspect = targetView && targetView->isSuspect;
        if (isSuspect)
            candidate.suitability = Suitability::Suspect;
        else if (target.id == view.primary)
            candidate.suitability = Suitability::Primary;
        else
            candidate.suitability = suitabilityOf(record, targetView, need, delay, now);
        return candidate;
    }

    // A request reaches the target after about half of the expected delay, so a replica that will have applied the position
    // by then counts as fresh.
    Suitability FreshnessRouter::suitabilityOf(const TargetRecord& record, const TargetView* targetView, const ReadRequirements& need, Milliseconds delay, Instant now) const
    {
        if (record.experience.isAvoided(now))
            return Suitability::AvoidedReplica;
        if (!targetView || targetView->lastAnswerAt == Instant())
            return Suitability::UnknownReplica;
        const auto wait = record.progress.timeUntilApplied(need.minimumPosition, now);
        const bool hasPosition = wait && *wait <= delay * 0.5;
        const bool isRecentEnough = record.progress.expectedAge(now) <= need.greatestAge;
        return hasPosition && isRecentEnough ? Suitability::FreshReplica : Suitability::BehindReplica;
    }

    void FreshnessRouter::preferMuchFasterPrimary(std::vector<Candidate>& candidates)
    {
        auto isPrimary = [](const Candidate& it) { return it.suitability == Suitability::Primary; };
        auto primary = std::find_if(candidates.begin(), candidates.end(), isPrimary);
        if (primary == candidates.end() || primary == candidates.begin())
            return;
        const Milliseconds limit = std::max(primary->cost * maxReplicaDelayFactor, minReplicaDelayLimit);
        if (candidates.front().cost > limit)
            std::rotate(candidates.begin(), primary, primary + 1);
    }

    void FreshnessRouter::recordAttempt(const ReadAttempt& attempt, Instant now)
    {
        TargetHealth& experience = m_records[attempt.target].experience;
        if (attempt.wasUnreachable)
            experience.recordUnreachable(now);
        else if (attempt.wasBehind)
            experience.recordBehind(now);
        else
            experience.recordAnswer(attempt.duration, now);
    }

}

std::unique_ptr<ReadRouter> ReadRouter::create(FailureDomainId ownDomain, uint64_t seed)
{
    return std::make_unique<FreshnessRouter>(std::move(ownDomain), seed);
}

}
