#include "relay/PaceSimulation.h"

#include "connections/ReconnectBackoff.h"
#include "relay/TargetPace.h"
#include "scheduling/StatementTimes.h"
#include "scheduling/WorkQueue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace parsleypaddle {

namespace {

    constexpr uint32_t homeCount = 8;
    constexpr Instant begin { 1'000'000.0 };
    constexpr Milliseconds linkTime { 1 };
    constexpr Milliseconds connectTime { 12 };
    constexpr Milliseconds objective { 200 };
    constexpr Milliseconds timeout { 1000 };
    constexpr std::array<double, 2> meanWork { 12, 33 };
    /// Two standard deviations are a factor of 2.
    constexpr double spread = 0.35;
    constexpr double outlierShare = 0.03;
    constexpr double outlierFactor = 7;
    constexpr double statementsPerSlot = 4;

    struct Statement {
        uint32_t home { 0 };
        size_t kind { 0 };
        bool isRead { false };
        Milliseconds duration;
        Instant arrived;
        Instant sentAt;
        WorkId work;
    };

    struct Home {
        std::unique_ptr<WorkQueue> queue;
        TargetHealth health;
        std::unique_ptr<TargetPace> pace;
        std::unique_ptr<ReconnectBackoff> backoff;
        std::map<WorkId, Statement> waiting;
        bool isConnected { true };
        uint32_t running { 0 };
    };

    class PaceSimulation {
    public:
        explicit PaceSimulation(const PaceSimulationSettings& settings)
            : m_settings(settings)
            , m_arrivals(settings.seed)
            , m_random(settings.seed)
            , m_homes(homeCount)
            , m_share(std::min(settings.connections, std::max(2U, static_cast<uint32_t>(std::ceil(settings.slots * statementsPerSlot / homeCount)))))
        {
            for (uint32_t n = 0; n < homeCount; ++n)
                prepare(m_homes[n], settings.seed * homeCount + n);
        }

        PaceSimulationResult run()
        {
            for (uint32_t n = 0; n < homeCount; ++n)
                scheduleArrival(n);
            for (const auto& it : m_settings.faults) {
                if (it.isDown)
                    at(begin + it.begin, [this] { crash(); });
            }
            const Instant end = begin + m_settings.warmUp + m_settings.duration;
            while (!m_events.empty() && m_events.begin()->first < end + timeout) {
                auto node = m_events.extract(m_events.begin());
                m_now = node.key();
                node.mapped()();
            }
            return m_result;
        }

    private:
        void prepare(Home& home, uint64_t seed)
        {
            home.queue = WorkQueue::create(queueSettings(m_share));
            home.backoff = std::make_unique<ReconnectBackoff>(seed);
            if (m_settings.isAdaptive)
                home.pace = std::make_unique<TargetPace>(home.health, ConcurrencyBounds { m_share, m_settings.connections }, seed, nullptr);
        }

        WorkQueueSettings queueSettings(uint32_t slots) const
        {
            WorkQueueSettings settings;
            settings.slots = slots;
            settings.longWorkShare = 1;
            settings.capacity = m_settings.connections * 40;
            return settings;
        }

        void at(Instant when, std::function<void()> event) { m_events.emplace(when, std::move(event)); }
        double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
        bool isCounted(const Statement& it) const { return it.arrived >= begin + m_settings.warmUp; }

        const SimulatedFault* fault() const
        {
            for (const auto& it : m_settings.faults) {
                if (m_now >= begin + it.begin && m_now < begin + it.end)
                    return &it;
            }
            return nullptr;
        }
        bool isDown() const { return fault() && fault()->isDown; }

        void scheduleArrival(uint32_t home)
        {
            const double mean = (meanWork[0] + meanWork[1]) / 2 * (1 + outlierShare * (outlierFactor - 1));
            const double share = home == 0 ? m_settings.firstHomeShare : (1 - m_settings.firstHomeShare) / (homeCount - 1);
            const double utilisation = m_now < begin + m_settings.warmUp ? std::min(m_settings.utilisation, m_settings.warmUpUtilisation) : m_settings.utilisation;
            const double rate = utilisation * m_settings.slots / mean * share;
            const Instant next = m_now + Milliseconds(std::exponential_distribution<double>(rate)(m_arrivals));
            if (next < begin + m_settings.warmUp + m_settings.duration)
                at(next, [this, home] {
                    scheduleArrival(home);
                    arrive(home);
                });
        }

        Statement draw(uint32_t home)
        {
            std::uniform_real_distribution<double> uniform(0, 1);
            Statement statement;
            statement.home = home;
            statement.kind = uniform(m_arrivals) < 0.5 ? 0 : 1;
            statement.isRead = uniform(m_arrivals) < 0.5;
            std::lognormal_distribution<double> service(std::log(meanWork[statement.kind]) - spread * spread / 2, spread);
            statement.duration = Milliseconds(service(m_arrivals) * (uniform(m_arrivals) < outlierShare ? outlierFactor : 1));
            statement.arrived = m_now;
            statement.work = WorkId(++m_lastWork);
            return statement;
        }

        void arrive(uint32_t index)
        {
            Home& home = m_homes[index];
            const Statement statement = draw(index);
            m_result.offered += isCounted(statement) ? 1 : 0;
            if (statement.isRead && home.health.isAvoided(m_now))
                return count(statement, m_result.elsewhere);
            WorkItem work;
            work.id = statement.work;
            work.statement = statement.kind;
            work.arrived = m_now;
            const auto times = statementTimes(m_now, objective, timeout, LateStatements::Serve);
            work.objective = times.objective;
            work.deadline = times.deadline;
            if (!home.queue->offer(work, m_now).status.ok())
                return count(statement, m_result.refused);
            home.waiting.emplace(work.id, statement);
            startWork(index);
        }

        void count(const Statement& statement, uint64_t& counter) const { counter += isCounted(statement) ? 1 : 0; }

        void startWork(uint32_t index)
        {
            Home& home = m_homes[index];
            if (home.pace)
                home.queue->setSettings(queueSettings(home.pace->limit()));
            for (const WorkId it : home.queue->collectShed(m_now))
                count(home.waiting.extract(it).mapped(), m_result.refused);
            while (home.running < m_settings.connections) {
                const auto id = home.queue->startNext(m_now);
                if (!id)
                    return;
                ++home.running;
                connect(home.waiting.extract(*id).mapped());
            }
        }

        void connect(const Statement& statement)
        {
            Home& home = m_homes[statement.home];
            if (home.pace)
                home.pace->recordStart(m_now);
            if (home.isConnected)
                return send(statement);
            if (!home.backoff->mayAttempt(m_now, 0))
                return at(m_now, [this, statement] { unreachable(statement); });
            if (isDown()) {
                home.backoff->recordFailure(m_now);
                return at(m_now + linkTime, [this, statement] { unreachable(statement); });
            }
            home.backoff->recordSuccess();
            home.isConnected = true;
            at(m_now + connectTime, [this, statement] { send(statement); });
        }

        void unreachable(const Statement& statement)
        {
            Home& home = m_homes[statement.home];
            if (home.pace)
                home.pace->recordUnreachable(m_now);
            else
                home.health.recordUnreachable(m_now);
            end(statement, m_result.lost);
        }

        void send(Statement statement)
        {
            const Home& home = m_homes[statement.home];
            statement.sentAt = m_now;
            count(statement, m_result.sent);
            m_result.limits += isCounted(statement) ? (home.pace ? home.pace->limit() : m_share) : 0;
            at(m_now + linkTime * 0.5, [this, statement] { receive(statement); });
        }

        void receive(const Statement& statement)
        {
            const auto* it = fault();
            if (isDown() || (it && uniform() < it->lostShare))
                return lose(statement);
            if ((it && uniform() < it->busyShare) || m_queue.size() >= m_settings.queueLength)
                return at(m_now + linkTime * 0.5, [this, statement] { refuse(statement); });
            m_queue.push_back(statement);
            serve();
        }

        void serve()
        {
            while (m_busySlots < m_settings.slots && !m_queue.empty()) {
                const Statement statement = m_queue.front();
                m_queue.pop_front();
                ++m_busySlots;
                const Milliseconds duration = statement.duration * (fault() ? fault()->slowness : 1);
                at(m_now + duration, [this, statement, era = m_era] { complete(statement, era); });
                m_running.push_back(statement);
            }
        }

        void complete(const Statement& statement, uint32_t era)
        {
            if (era != m_era)
                return;
            --m_busySlots;
            m_running.erase(std::find_if(m_running.begin(), m_running.end(), [&](const Statement& it) { return it.work == statement.work; }));
            serve();
            at(m_now + linkTime * 0.5, [this, statement] { answer(statement); });
        }

        void answer(const Statement& statement)
        {
            Home& home = m_homes[statement.home];
            const Milliseconds latency = m_now - statement.sentAt;
            if (home.pace)
                home.pace->recordAnswer({ statement.kind, latency, home.queue->waitingCount() > 0 || home.queue->runningCount() >= home.pace->limit() }, m_now);
            else
                home.health.recordAnswer(latency, m_now);
            const Milliseconds taken = m_now - statement.arrived;
            countRecovery();
            end(statement, taken <= objective ? m_result.inTime : taken <= timeout ? m_result.late
                                                                                   : m_result.refused);
        }

        void countRecovery()
        {
            if (m_settings.faults.empty() || m_now < begin + m_settings.faults.back().end)
                return;
            const double past = (m_now - (begin + m_settings.faults.back().end)).count() / PaceSimulationResult::bucket.count();
            if (past < PaceSimulationResult::bucketCount)
                ++m_result.answersAfterFault[static_cast<size_t>(past)];
        }

        void refuse(const Statement& statement)
        {
            if (auto& pace = m_homes[statement.home].pace)
                pace->recordBusy(statement.sentAt, m_now);
            count(statement, m_result.busy);
            end(statement, m_result.refused);
        }

        void lose(const Statement& statement)
        {
            Home& home = m_homes[statement.home];
            if (isDown())
                home.isConnected = false;
            if (home.pace)
                home.pace->recordFailure(statement.sentAt, m_now);
            else
                home.health.recordUnreachable(m_now);
            end(statement, m_result.lost);
        }

        void end(const Statement& statement, uint64_t& counter)
        {
            count(statement, counter);
            Home& home = m_homes[statement.home];
            --home.running;
            home.queue->finish(statement.work, m_now);
            startWork(statement.home);
        }

        void crash()
        {
            ++m_era;
            m_busySlots = 0;
            std::vector<Statement> lost = std::exchange(m_running, {});
            lost.insert(lost.end(), m_queue.begin(), m_queue.end());
            m_queue.clear();
            for (auto& it : m_homes)
                it.isConnected = false;
            for (const auto& it : lost)
                lose(it);
        }

        const PaceSimulationSettings& m_settings;
        /// Arrivals and service times, which are the same for all kinds of limits.
        std::mt19937_64 m_arrivals;
        std::mt19937_64 m_random;
        std::vector<Home> m_homes;
        uint32_t m_share;
        Instant m_now { begin };
        std::multimap<Instant, std::function<void()>> m_events;
        uint64_t m_lastWork { 0 };
        /// The target's queue and the statements that it runs.
        std::deque<Statement> m_queue;
        std::vector<Statement> m_running;
        uint32_t m_busySlots { 0 };
        /// Counts the target's crashes.
        uint32_t m_era { 0 };
        PaceSimulationResult m_result;
    };

}

void PaceSimulationResult::add(const PaceSimulationResult& other)
{
    offered += other.offered;
    inTime += other.inTime;
    late += other.late;
    refused += other.refused;
    elsewhere += other.elsewhere;
    lost += other.lost;
    busy += other.busy;
    sent += other.sent;
    limits += other.limits;
    for (size_t n = 0; n < bucketCount; ++n)
        answersAfterFault[n] += other.answersAfterFault[n];
}

PaceSimulationResult simulatePace(const PaceSimulationSettings& settings)
{
    return PaceSimulation(settings).run();
}

}
