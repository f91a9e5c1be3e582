#include "scheduling/QueueSimulation.h"

#include "scheduling/StatementTimes.h"

#include <functional>

namespace parsleypaddle {

namespace {

    constexpr Instant begin { 1'000'000.0 };
    constexpr Milliseconds step { 1 };
    constexpr uint32_t maxRepetitions = 2;

    struct Operation {
        std::string organisation;
        const SimulatedClass* kind { nullptr };
        Instant firstSent;
        Instant sent;
        uint32_t repetitions { 0 };
    };

    class Simulation {
    public:
        explicit Simulation(const QueueSimulationSettings& settings)
            : m_settings(settings)
            , m_random(settings.seed)
        {
            WorkQueueSettings queue;
            queue.slots = settings.slots;
            queue.longWorkShare = 1;
            queue.capacity = settings.slots * 40;
            m_queue = WorkQueue::create(queue);
        }

        std::map<std::string, SimulatedOutcome> run()
        {
            const Instant lastArrival = begin + m_settings.warmUp + m_settings.duration;
            for (m_now = begin; m_now < lastArrival || !m_waiting.empty() || !m_running.empty() || !m_repetitions.empty(); m_now = m_now + step)
                advance(m_now < lastArrival);
            return m_outcomes;
        }

    private:
        bool isWarm(Instant sent) const { return sent >= begin + m_settings.warmUp; }

        double rateOf(const std::string& organisation, double usual) const
        {
            if (!isWarm(m_now))
                return usual;
            return usual * (organisation == m_settings.loud ? m_settings.loudFactor : m_settings.burst);
        }

        void advance(bool hasArrivals)
        {
            for (auto it = m_ends.begin(); it != m_ends.end() && it->first <= m_now; it = m_ends.erase(it))
                answer(it->second);
            for (auto it = m_repetitions.begin(); it != m_repetitions.end() && it->first <= m_now; it = m_repetitions.erase(it))
                send(it->second);
            for (const auto& [organisation, rate] : m_settings.rates) {
                const int arrivals = hasArrivals ? std::poisson_distribution<int>(rateOf(organisation, rate) / 1000)(m_random) : 0;
                for (int n = 0; n < arrivals; ++n)
                    arrive(organisation);
            }
            for (const WorkId it : m_queue->collectShed(m_now))
                refuse(m_waiting.extract(it).mapped(), Milliseconds(50));
            while (const auto id = m_queue->startNext(m_now))
                start(*id);
        }

        void arrive(const std::string& organisation)
        {
            double point = std::uniform_real_distribution<double>(0, 1)(m_random);
            const SimulatedClass* kind = &simulatedClasses().back();
            for (const auto& it : simulatedClasses()) {
                if (point < it.share) {
                    kind = &it;
                    break;
                }
                point -= it.share;
            }
            if (isWarm(m_now)) {
                SimulatedOutcome& outcome = m_outcomes[organisation];
                ++outcome.offered;
                outcome.possibleValue += kind->valueInTime;
            }
            send({ organisation, kind, m_now, m_now, 0 });
        }

        void send(Operation operation)
        {
            operation.sent = m_now;
            const SimulatedClass& kind = *operation.kind;
            WorkItem work;
            work.id = WorkId(++m_lastId);
            work.organisation = OrganisationId(operation.organisation);
            work.workload = ClassName(kind.name);
            work.urgency = kind.urgency;
            work.classWeight = 1000 / kind.objective.count();
            work.statement = std::hash<std::string>()(kind.name);
            work.isLimitedToShare = m_settings.limitsToShares;
            work.arrived = m_now;
            const auto times = statementTimes(m_now, kind.objective, kind.timeout, m_settings.servesLateWork ? LateStatements::Serve : LateStatements::Refuse);
            if (times.objective < times.deadline)
                work.objective = times.objective;
            work.deadline = times.deadline;
            const Admission admission = m_queue->offer(work, m_now);
            if (!admission.status.ok())
                return refuse(operation, std::max(admission.retryAfter, Milliseconds(50)));
            m_waiting.emplace(work.id, std::move(operation));
        }

        void start(WorkId id)
        {
            auto node = m_waiting.extract(id);
            const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
            m_running.insert(std::move(node));
            m_ends.emplace(m_now + m_running.at(id).kind->work * factor, id);
        }

        void answer(WorkId id)
        {
            m_queue->finish(id, m_now);
            const Operation operation = m_running.extract(id).mapped();
            if (!isWarm(operation.firstSent))
                return;
            SimulatedOutcome& outcome = m_outcomes[operation.organisation];
            const Milliseconds taken = m_now - operation.firstSent;
            if (m_now - operation.sent > operation.kind->timeout || taken > operation.kind->patience) {
                ++outcome.refused;
            } else if (taken <= operation.kind->objective) {
                ++outcome.inTime;
                outcome.value += operation.kind->valueInTime;
            } else {
                ++outcome.late;
                outcome.value += operation.kind->valueLate;
            }
        }

        void refuse(Operation operation, Milliseconds pause)
        {
            SimulatedOutcome unused;
            SimulatedOutcome& outcome = isWarm(operation.firstSent) ? m_outcomes[operation.organisation] : unused;
            outcome.refusedAfterLongWait += m_now - operation.sent > operation.kind->timeout * 0.5 ? 1 : 0;
            const Instant next = m_now + pause;
            if (operation.repetitions++ < maxRepetitions && next < operation.firstSent + operation.kind->patience)
                m_repetitions.emplace(next, std::move(operation));
            else
                ++outcome.refused;
        }

        const QueueSimulationSettings& m_settings;
        std::mt19937_64 m_random;
        std::unique_ptr<WorkQueue> m_queue;
        Instant m_now;
        uint64_t m_lastId { 0 };
        std::map<WorkId, Operation> m_waiting;
        std::map<WorkId, Operation> m_running;
        std::multimap<Instant, WorkId> m_ends;
        std::multimap<Instant, Operation> m_repetitions;
        std::map<std::string, SimulatedOutcome> m_outcomes;
    };

}

const std::vector<SimulatedClass>& simulatedClasses()
{
    static const std::vector<SimulatedClass> classes {
        { "first", Urgency::Critical, Milliseconds(11), Milliseconds(200), Milliseconds(1000), Milliseconds(2000), 3.5, 0.43, 145.0 / 1078 },
        { "second", Urgency::Urgent, Milliseconds(33), Milliseconds(400), Milliseconds(1000), Milliseconds(2000), 1.9, 0.28, 680.0 / 1078 },
        { "third", Urgency::Normal, Milliseconds(55), Milliseconds(1500), Milliseconds(3000), Milliseconds(8000), 0.47, 0.21, 253.0 / 1078 },
    };
    return classes;
}

void SimulatedOutcome::add(const SimulatedOutcome& other)
{
    offered += other.offered;
    inTime += other.inTime;
    late += other.late;
    refused += other.refused;
    value += other.value;
    possibleValue += other.possibleValue;
    refusedAfterLongWait += other.refusedAfterLongWait;
}

std::map<std::string, SimulatedOutcome> simulateQueue(const QueueSimulationSettings& settings)
{
    return Simulation(settings).run();
}

}
