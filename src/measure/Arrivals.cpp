#include "measure/Arrivals.h"

#include <algorithm>
#include <random>

namespace parsleypaddle {

namespace {

    constexpr double millisecondsPerSecond = 1000;
    /// Writes that are transactions of several statements.
    constexpr double transactionShare = 0.1;
    constexpr double ownStatementShare = 0.5;
    constexpr double followUpShare = 0.3;
    /// Run times spread from half to one and a half times their mean.
    constexpr double leastOfMean = 0.5;

    class Draw {
    public:
        Draw(const Deployment& deployment, const Stragglers& stragglers, uint64_t seed)
            : m_deployment(deployment)
            , m_stragglers(stragglers)
            , m_random(seed)
        {
        }

        Milliseconds pause(double rate) { return Milliseconds(std::exponential_distribution<double>(rate / millisecondsPerSecond)(m_random)); }

        // Every arrival takes the same number of draws, so that a run without stragglers has the same arrivals otherwise.
        Arrival arrival(Milliseconds at, bool isUrgent)
        {
            Arrival drawn;
            drawn.at = at;
            drawn.traffic = chooseTraffic(isUrgent);
            const Traffic& traffic = m_deployment.traffic[drawn.traffic];
            drawn.organisation = below(organisations);
            drawn.daemon = below(m_deployment.daemons());
            drawn.isWrite = unit() < traffic.writeShare;
            drawn.isTransaction = unit() < transactionShare && drawn.isWrite;
            drawn.runTime = traffic.runTime * (leastOfMean + unit());
            drawn.isFollowUp = unit() < followUpShare;
            drawn.isStraggler = unit() < m_stragglers.share && !drawn.isTransaction;
            drawn.hasOwnStatement = unit() < ownStatementShare && drawn.isStraggler;
            if (drawn.isStraggler)
                drawn.runTime = m_stragglers.runTime * (leastOfMean + drawn.runTime.count() / traffic.runTime.count() / 2);
            return drawn;
        }

    private:
        double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        size_t below(size_t limit) { return std::uniform_int_distribution<size_t>(0, limit - 1)(m_random); }

        size_t chooseTraffic(bool isUrgent)
        {
            std::vector<double> weights;
            weights.reserve(m_deployment.traffic.size());
            for (const auto& it : m_deployment.traffic)
                weights.push_back((it.workload.urgency == Urgency::Urgent) == isUrgent ? it.weight : 0);
            return std::discrete_distribution<size_t>(weights.begin(), weights.end())(m_random);
        }

        const Deployment& m_deployment;
        Stragglers m_stragglers;
        std::mt19937_64 m_random;
    };

}

std::vector<Arrival> drawArrivals(const Deployment& deployment, const std::vector<Phase>& phases, const Stragglers& stragglers, uint64_t seed)
{
    std::vector<Arrival> arrivals;
    for (const bool isUrgent : { true, false }) {
        Draw draw(deployment, stragglers, seed * 2 + (isUrgent ? 1 : 0));
        Milliseconds start;
        for (const auto& phase : phases) {
            const double rate = isUrgent ? phase.urgentRate : phase.otherRate;
            for (Milliseconds at = start + draw.pause(rate); at < start + phase.length; at = at + draw.pause(rate))
                arrivals.push_back(draw.arrival(at, isUrgent));
            start = start + phase.length;
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return arrivals;
}

}
