#include "routing/ReadRouter.h"

#include "routing/ReplicaProgress.h"
#include "routing/TargetExperience.h"

#include <algorithm>
#include <map>
#include <random>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds ownDomainDelay { 2 };
    constexpr Milliseconds otherDomainDelay { 5 };
    /// How much slower a replica may be than the primary and still be asked first: the primary's slots are for writes.
    constexpr double primaryReserve = 4;
    constexpr Milliseconds leastPrimaryReserve { 25 };
    /// Spread that keeps daemons from all turning to the same target at once.
    constexpr double spread = 0.25;

    /// How well a target suits a read; lower groups go first.
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

        std::vector<TargetId> order(const GroupConfiguration&, const GroupView&, const ReadNeed&, Instant now) override;
        void learn(const ReadAttempt&, Instant now) override;

    private:
        struct Known {
            ReplicaProgress progress;
            TargetExperience experience;
        };

        Candidate rate(const TargetConfiguration&, const GroupView&, const ReadNeed&, Instant now);
        Suitability suitabilityOf(const Known&, const TargetView*, const ReadNeed&, Milliseconds delay, Instant now) const;
        static void preferIdlePrimary(std::vector<Candidate>&);

        FailureDomainId m_ownDomain;
        std::mt19937_64 m_random;
        std::map<TargetId, Known> m_known;
    };

    std::vector<TargetId> FreshnessRouter::order(const GroupConfiguration& group, const GroupView& view, const ReadNeed& need, Instant now)
    {
        std::vector<Candidate> candidates;
        for (const auto& it : group.targets) {
            const TargetView* seen = view.find(it.id);
            if (!seen || !seen->status.isLeaving)
                candidates.push_back(rate(it, view, need, now));
        }
        std::sort(candidates.begin(), candidates.end(), isBetter);
        preferIdlePrimary(candidates);
        std::vector<TargetId> targets;
        targets.reserve(candidates.size());
        for (const auto& it : candidates)
            targets.push_back(it.target);
        return targets;
    }

    Candidate FreshnessRouter::rate(const TargetConfiguration& target, const GroupView& view, const ReadNeed& need, Instant now)
    {
        const TargetView* seen = view.find(target.id);
        Known& known = m_known[target.id];
        if (seen)
            known.progress.update(*seen);
        const Milliseconds fallback = target.failureDomain == m_ownDomain ? ownDomainDelay : otherDomainDelay;
        const Milliseconds delay = known.experience.expectedDelay(fallback, now);
        Candidate candidate;
        candidate.target = target.id;
        candidate.cost = delay * std::uniform_real_distribution<double>(1, 1 + spread)(m_random);
        const bool isSuspect = seen && seen->isSuspect;
        if (isSuspect)
            candidate.suitability = Suitability::Suspect;
        else if (target.id == view.primary)
            candidate.suitability = Suitability::Primary;
        else
            candidate.suitability = suitabilityOf(known, seen, need, delay, now);
        return candidate;
    }

    // The request travels for about half the delay, in which a replica that is nearly there arrives.
    Suitability FreshnessRouter::suitabilityOf(const Known& known, const TargetView* seen, const ReadNeed& need, Milliseconds delay, Instant now) const
    {
        if (known.experience.isAvoided(now))
            return Suitability::AvoidedReplica;
        if (!seen || seen->heardAt == Instant())
            return Suitability::UnknownReplica;
        const auto wait = known.progress.waitFor(need.minimumPosition, now);
        const bool isThere = wait && *wait <= delay * 0.5;
        const bool isYoung = known.progress.expectedAge(now) <= need.greatestAge;
        return isThere && isYoung ? Suitability::FreshReplica : Suitability::BehindReplica;
    }

    void FreshnessRouter::preferIdlePrimary(std::vector<Candidate>& candidates)
    {
        auto isPrimary = [](const Candidate& it) { return it.suitability == Suitability::Primary; };
        auto primary = std::find_if(candidates.begin(), candidates.end(), isPrimary);
        if (primary == candidates.end() || primary == candidates.begin())
            return;
        const Milliseconds limit = std::max(primary->cost * primaryReserve, leastPrimaryReserve);
        if (candidates.front().cost > limit)
            std::rotate(candidates.begin(), primary, primary + 1);
    }

    void FreshnessRouter::learn(const ReadAttempt& attempt, Instant now)
    {
        TargetExperience& experience = m_known[attempt.target].experience;
        if (attempt.wasUnreachable)
            experience.wasUnreachable(now);
        else if (attempt.wasBehind)
            experience.wasBehind(now);
        else
            experience.succeeded(attempt.took, now);
    }

}

std::unique_ptr<ReadRouter> ReadRouter::create(FailureDomainId ownDomain, uint64_t seed)
{
    return std::make_unique<FreshnessRouter>(std::move(ownDomain), seed);
}

}
