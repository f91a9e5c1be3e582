#include "measure/Scenarios.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds warmUp { 1000 };
    /// Time for the last answers to arrive.
    constexpr Milliseconds settling { 6000 };
    constexpr Milliseconds seriesSpan { 250 };

    /// One run: its fleet, its targets, and what its callers were told.
    class World {
    public:
        using Faults = std::function<void(World&)>;

        World(const Deployment& deployment, const RunSettings& settings)
            : deployment(deployment)
        {
            for (const auto& group : deployment.configuration->groups) {
                auto& model = targets.addGroup(group, deployment.targets);
                for (const auto& it : group.targets)
                    model.setReplication(it.id, deployment.domainDelay + replicationTime, applyTime);
            }
            if (settings.side == Side::Naive)
                proxy = Proxy::createNaive(loop, targets, deployment);
            else
                proxy = Proxy::createProduct(loop, targets, deployment, settings.brokenRules, settings.seed);
            loop.advance(warmUp);
            callers = std::make_unique<Callers>(loop, targets, deployment, *proxy);
            start = loop.now();
        }

        void at(double seconds, std::function<void()> task) { loop.after(Milliseconds(seconds * 1000), std::move(task)); }

        void run(std::vector<Arrival> drawn)
        {
            arrivals = std::move(drawn);
            callers->run(arrivals, arrivals.back().at + settling);
        }

        const GroupConfiguration& group(size_t n) const { return deployment.configuration->groups[n]; }
        const std::vector<CallerResult>& results() const { return callers->results(); }
        const Arrival& arrivalOf(const CallerResult& result) const { return arrivals[result.arrival]; }
        Milliseconds sinceStart(const CallerResult& result) const { return result.sentAt - start; }

        bool isUrgent(const CallerResult& result) const { return trafficOf(result).workload.urgency == Urgency::Urgent; }
        const Traffic& trafficOf(const CallerResult& result) const { return deployment.traffic[arrivalOf(result).traffic]; }

        // The caller's deadline covers the way from and to it as well.
        bool isInTime(const CallerResult& result) const
        {
            return outcomeOf(result.code) == Outcome::Done && result.answeredAt - result.sentAt <= trafficOf(result).workload.deadline;
        }

        FaultCounts faults() { return countFaults(targets, *deployment.configuration, { results().begin(), results().end() }, leaving); }

        double mostConnections() const
        {
            double most = 0;
            for (const auto& group : deployment.configuration->groups) {
                for (const auto& it : group.targets)
                    most = std::max<double>(most, targets.mostConnections(it.id));
            }
            return most;
        }

        static constexpr Milliseconds replicationTime { 1 };
        static constexpr Milliseconds applyTime { 2 };

        const Deployment& deployment;
        VirtualLoop loop;
        FakeTargets targets { loop };
        std::unique_ptr<Proxy> proxy;
        std::unique_ptr<Callers> callers;
        std::vector<Arrival> arrivals;
        std::vector<Leaving> leaving;
        Instant start;
    };

    using Filter = std::function<bool(const CallerResult&)>;

    double share(double part, double whole)
    {
        return whole > 0 ? part / whole : 0;
    }

    double inTimeShare(const World& world, const Filter& filter)
    {
        double all = 0;
        double inTime = 0;
        for (const auto& it : world.results()) {
            if (!filter(it))
                continue;
            ++all;
            inTime += world.isInTime(it) ? 1 : 0;
        }
        return share(inTime, all);
    }

    // Unanswered requests count with the deadline at which their callers gave up.
    double p99(const World& world, const Filter& filter)
    {
        std::vector<double> times;
        for (const auto& it : world.results()) {
            if (filter(it))
                times.push_back(outcomeOf(it.code) == Outcome::Done ? (it.answeredAt - it.sentAt).count() : world.trafficOf(it).workload.deadline.count());
        }
        if (times.empty())
            return 0;
        const auto rank = static_cast<std::ptrdiff_t>(std::ceil(0.99 * static_cast<double>(times.size()))) - 1;
        std::nth_element(times.begin(), times.begin() + rank, times.end());
        return times[static_cast<size_t>(rank)];
    }

    /// The longest span without a write of the database answered as done, from one second before `from` on.
    double longestGap(const World& world, const DatabaseId& database, Milliseconds from, Milliseconds to)
    {
        std::vector<double> times { from.count(), to.count() };
        for (const auto& it : world.results()) {
            const double at = (it.answeredAt - world.start).count();
            if (it.isWrite && it.database == database && outcomeOf(it.code) == Outcome::Done && at > from.count() && at < to.count())
                times.push_back(at);
        }
        std::sort(times.begin(), times.end());
        double longest = 0;
        for (size_t n = 1; n < times.size(); ++n)
            longest = std::max(longest, times[n] - times[n - 1]);
        return longest;
    }

    /// Demand in parts of what the primaries alone can run.
    Phase phaseOf(const Deployment& deployment, double seconds, double urgent, double other)
    {
        const double primaries = deployment.capacityOfTarget() * static_cast<double>(deployment.configuration->groups.size());
        return { Milliseconds(seconds * 1000), urgent * primaries, other * primaries };
    }

    class Measurement {
    public:
        Measurement(const Deployment& deployment, const RunSettings& settings, std::vector<SeriesPoint>* series)
            : m_deployment(deployment)
            , m_settings(settings)
            , m_series(series)
        {
        }

        Measures run()
        {
            replicaReads();
            failover();
            crest();
            m_measures.shortP99 = shortWork({ stragglerShare });
            m_measures.shortP99WithoutStragglers = shortWork({});
            faults();
            partition();
            daemonDeaths();
            oneDaemon();
            return m_measures;
        }

    private:
        static constexpr double stragglerShare = 0.005;

        void close(World& world)
        {
            m_measures.faults += world.faults();
            m_measures.mostConnections = std::max(m_measures.mostConnections, world.mostConnections());
        }

        std::vector<Arrival> draw(const std::vector<Phase>& phases, const Stragglers& stragglers = {}) const
        {
            return drawArrivals(m_deployment, phases, stragglers, m_settings.seed);
        }

        // One replica of each database falls far behind for a third of the time.
        void replicaReads()
        {
            World world(m_deployment, m_settings);
            auto setLag = [&world](Milliseconds lag) {
                for (const auto& group : world.deployment.configuration->groups)
                    world.targets.model(group.database).setReplication(group.targets.back().id, world.deployment.domainDelay + World::replicationTime, lag);
            };
            world.at(3, [setLag] { setLag(Milliseconds(20'000)); });
            world.at(6, [setLag] { setLag(World::applyTime); });
            world.run(draw({ phaseOf(m_deployment, 9, 0.1, 0.2) }));
            double reads = 0;
            double atReplicas = 0;
            double allowed = 0;
            for (const auto& it : world.results()) {
                if (it.isWrite)
                    continue;
                ++reads;
                allowed += it.mightUseReplica ? 1 : 0;
                const bool isAtPrimary = it.target == world.group(world.arrivalOf(it).organisation % 3).targets.front().id;
                atReplicas += outcomeOf(it.code) == Outcome::Done && !isAtPrimary ? 1 : 0;
            }
            m_measures.replicaReadShare = share(atReplicas, reads);
            m_measures.allowedReplicaReads = share(allowed, reads);
            close(world);
        }

        /// Parts a target from the daemons of all failure domains but `friendly`, and from its group.
        static void setCut(World& world, const GroupConfiguration& group, const TargetId& target, const FailureDomainId& friendly, bool isCut)
        {
            for (const auto& it : world.deployment.domains) {
                if (it != friendly)
                    world.targets.setCut(it, target, isCut);
            }
            world.targets.model(group.database).setIsolated(target, isCut);
        }

        // A primary is cut off from daemons and replicas for six seconds, and goes on believing that it leads.
        void failover()
        {
            World world(m_deployment, m_settings);
            const GroupConfiguration& group = world.group(0);
            for (const bool isCut : { true, false })
                world.at(isCut ? 3 : 9, [&world, &group, isCut] { setCut(world, group, group.targets.front().id, {}, isCut); });
            world.run(draw({ phaseOf(m_deployment, 12, 0.15, 0.15) }));
            m_measures.failoverGap = longestGap(world, group.database, Milliseconds(2000), Milliseconds(12'000));
            close(world);
        }

        // Demand rises to three times what all targets together can run; the urgent part alone would fit.
        void crest()
        {
            World world(m_deployment, m_settings);
            constexpr double all = 9;
            constexpr double urgent = 0.6;
            const double total = all * 3 / static_cast<double>(m_deployment.configuration->groups.size());
            world.run(draw({ phaseOf(m_deployment, 2, 0.1, 0.2), phaseOf(m_deployment, 2, urgent, total - urgent), phaseOf(m_deployment, 4, 0.1, 0.2) }));
            auto isCrest = [&world](const CallerResult& it) { return world.sinceStart(it) >= Milliseconds(2000) && world.sinceStart(it) < Milliseconds(4000); };
            auto isAfter = [&world](const CallerResult& it) { return world.sinceStart(it) >= Milliseconds(5000); };
            m_measures.crestInDeadlineShare = inTimeShare(world, [&](const CallerResult& it) { return isCrest(it) && world.isUrgent(it); });
            m_measures.crestAnsweredShare = inTimeShare(world, isCrest);
            m_measures.afterCrestAnsweredShare = inTimeShare(world, isAfter);
            if (m_series)
                fillSeries(world);
            close(world);
        }

        void fillSeries(const World& world)
        {
            for (Milliseconds from; from < Milliseconds(8000); from = from + seriesSpan) {
                auto isWithin = [&world, from](const CallerResult& it) { return world.sinceStart(it) >= from && world.sinceStart(it) < from + seriesSpan; };
                const auto asked = std::count_if(world.results().begin(), world.results().end(), isWithin);
                m_series->push_back({ from, static_cast<uint64_t>(asked), inTimeShare(world, isWithin), p99(world, isWithin) });
            }
        }

        double shortWork(const Stragglers& stragglers)
        {
            World world(m_deployment, m_settings);
            world.run(draw({ phaseOf(m_deployment, 10, 0.15, 0.25) }, stragglers));
            close(world);
            return p99(world, [&world](const CallerResult& it) { return !world.arrivalOf(it).isStraggler && !world.arrivalOf(it).isTransaction; });
        }

        // Lost answers, a daemon's death, silent connections, a replica and a primary that leave.
        void faults()
        {
            World world(m_deployment, m_settings);
            for (int n = 1; n < 40; ++n) {
                world.at(0.2 * n, [&world, n] {
                    const TargetOperation operation = n % 4 == 0 ? TargetOperation::Commit : TargetOperation::Write;
                    world.targets.loseNextAnswer(world.group(static_cast<size_t>(n) % 3).targets.front().id, operation);
                });
            }
            world.at(2, [&world] { world.proxy->kill(0); });
            world.at(3, [&world] { world.proxy->publishList({}); });
            world.at(4, [&world] { world.targets.silenceConnections(world.group(1).targets.front().id); });
            world.at(5, [&world] { leave(world, 1, 1); });
            world.at(5, [&world] { leave(world, 2, 0); });
            world.at(6, [&world] { world.proxy->publishList({ world.group(1).targets[1].id, world.group(2).targets[0].id }); });
            world.run(draw({ phaseOf(m_deployment, 10, 0.15, 0.15) }));
            close(world);
        }

        // The failure domain of a primary is parted from all others: its daemons reach its targets and nothing else.
        void partition()
        {
            World world(m_deployment, m_settings);
            for (const bool isCut : { true, false })
                world.at(isCut ? 2 : 6, [&world, isCut] { part(world, world.group(0).targets.front().failureDomain, isCut); });
            world.run(draw({ phaseOf(m_deployment, 9, 0.15, 0.15) }));
            close(world);
        }

        static void part(World& world, const FailureDomainId& parted, bool isCut)
        {
            world.proxy->setCut(parted, isCut);
            for (const auto& group : world.deployment.configuration->groups) {
                for (const auto& it : group.targets) {
                    if (it.failureDomain == parted)
                        setCut(world, group, it.id, parted, isCut);
                    else
                        world.targets.setCut(parted, it.id, isCut);
                }
            }
        }

        static void leave(World& world, size_t group, size_t target)
        {
            const TargetId& id = world.group(group).targets[target].id;
            world.targets.model(world.group(group).database).setLeaving(id, true);
            world.leaving.push_back({ id, world.loop.now() });
        }

        // Both daemons of a primary's failure domain die, one after the other; the platform's list lags by a second.
        void daemonDeaths()
        {
            World world(m_deployment, m_settings);
            const size_t other = m_deployment.domains.size();
            world.at(2, [&world] { world.proxy->kill(0); });
            world.at(3, [&world] { world.proxy->publishList({}); });
            world.at(4, [&world, other] { world.proxy->kill(other); });
            world.at(5, [&world] { world.proxy->publishList({}); });
            world.run(draw({ phaseOf(m_deployment, 7, 0.15, 0.15) }));
            m_measures.daemonDeathGap = longestGap(world, world.group(0).database, Milliseconds(1500), Milliseconds(7000));
            close(world);
        }

        // The balancer sends nearly everything to one daemon for three seconds.
        void oneDaemon()
        {
            World world(m_deployment, m_settings);
            auto arrivals = draw({ phaseOf(m_deployment, 6, 0.2, 0.5) });
            auto isWithin = [](Milliseconds at) { return at >= Milliseconds(2000) && at < Milliseconds(5000); };
            for (auto& it : arrivals)
                it.daemon = isWithin(it.at) ? 1 : it.daemon;
            world.run(std::move(arrivals));
            auto isSkewed = [&world, isWithin](const CallerResult& it) { return isWithin(world.sinceStart(it)); };
            m_measures.oneDaemonP99 = p99(world, isSkewed);
            m_measures.oneDaemonAnsweredShare = inTimeShare(world, isSkewed);
            close(world);
        }

        const Deployment& m_deployment;
        RunSettings m_settings;
        std::vector<SeriesPoint>* m_series;
        Measures m_measures;
    };

}

Measures measure(const Deployment& deployment, const RunSettings& settings, std::vector<SeriesPoint>* crestSeries)
{
    return Measurement(deployment, settings, crestSeries).run();
}

}
