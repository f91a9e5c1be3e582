#pragma once

#include "base/VirtualLoop.h"
#include "net/FakeDatagramNetwork.h"
#include "quotas/QuotaService.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleypaddle {

/// The loop of one daemon of a QuotaFleet. While it is frozen, its tasks wait; time goes on.
class FreezableLoop final : public EventLoop {
public:
    explicit FreezableLoop(VirtualLoop& loop)
        : m_loop(loop)
    {
    }

    Instant now() const override { return m_loop.now(); }
    TimerId after(Milliseconds delay, std::function<void()> task) override
    {
        const uint64_t id = ++m_last;
        m_timers[id] = m_loop.after(delay, [this, id, task = std::move(task), alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                runOrKeep(id, task);
        });
        return TimerId { id };
    }
    void cancel(TimerId id) override
    {
        auto it = m_timers.find(static_cast<uint64_t>(id));
        if (it == m_timers.end())
            return;
        m_loop.cancel(it->second);
        m_timers.erase(it);
    }

    bool isFrozen() const { return m_isFrozen; }
    void freeze() { m_isFrozen = true; }
    void resume()
    {
        m_isFrozen = false;
        for (auto& [id, task] : std::exchange(m_kept, {}))
            runOrKeep(id, task);
    }
    /// Runs a task that does not come from a timer, such as the receipt of a datagram.
    void runOrKeepExternal(std::function<void()> task) { after(Milliseconds(0), std::move(task)); }

private:
    void runOrKeep(uint64_t id, const std::function<void()>& task)
    {
        if (m_isFrozen) {
            m_kept.emplace_back(id, task);
        } else if (m_timers.erase(id) > 0) {
            const auto copy = task;
            copy();
        }
    }

    VirtualLoop& m_loop;
    bool m_isFrozen { false };
    uint64_t m_last { 0 };
    std::map<uint64_t, TimerId> m_timers;
    std::vector<std::pair<uint64_t, std::function<void()>>> m_kept;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

/// The datagram port of one daemon of a QuotaFleet, which repeats some datagrams and counts what it sends.
class RepeatingPort final : public DatagramPort {
public:
    RepeatingPort(FakeDatagramNetwork& network, const std::string& host, FreezableLoop& loop, std::mt19937_64& random, const double& repetition)
        : m_port(network.open(host))
        , m_loop(loop)
        , m_random(random)
        , m_repetition(repetition)
    {
    }

    void send(const TargetAddress& to, std::string_view payload) override
    {
        ++datagrams;
        bytes += payload.size();
        largest = std::max(largest, payload.size());
        m_port->send(to, payload);
        if (m_repetition > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < m_repetition)
            m_port->send(to, payload);
    }
    void setReceiver(std::string_view protocol, Receiver receiver) override
    {
        if (!receiver)
            return m_port->setReceiver(protocol, nullptr);
        m_port->setReceiver(protocol, [this, receiver = std::move(receiver)](const TargetAddress& from, std::string_view payload) {
            if (m_loop.isFrozen())
                m_loop.runOrKeepExternal([receiver, from, text = std::string(payload)] { receiver(from, text); });
            else
                receiver(from, payload);
        });
    }

    uint64_t datagrams { 0 };
    uint64_t bytes { 0 };
    size_t largest { 0 };

private:
    std::unique_ptr<DatagramPort> m_port;
    FreezableLoop& m_loop;
    std::mt19937_64& m_random;
    const double& m_repetition;
};

/// A fleet of quota services on virtual time with a model of the lease table, and callers of organisations.
class QuotaFleet {
public:
    struct Load {
        Organisation organisation;
        /// Operations a second that callers ask for, over all daemons.
        double offered { 0 };
        /// Daemons at which the callers are; one may be listed several times.
        std::vector<size_t> daemons;
    };

    struct Count {
        uint64_t admitted { 0 };
        uint64_t refused { 0 };
        /// Operations that one token bucket for the whole fleet would have refused.
        uint64_t refusedByOneBucket { 0 };
        double bucket { 0 };
        Instant filledAt;
        /// The greatest number admitted in a window, as a part of what is allowed.
        double worst { 0 };
        std::deque<Instant> window;
    };

    QuotaFleet(size_t daemonCount, size_t domainCount, uint64_t seed);

    void setLoads(std::vector<Load>);
    /// Changes a limit in the directory of all daemons.
    void setLimit(size_t organisation, OperationLimit);
    void start();
    void run(Milliseconds);

    void kill(size_t daemon);
    void restart(size_t daemon);
    void freeze(size_t daemon) { m_daemons[daemon]->loop->freeze(); }
    void resume(size_t daemon) { m_daemons[daemon]->loop->resume(); }
    void cut(size_t domain);
    void heal();

    size_t size() const { return m_daemons.size(); }
    size_t domainOf(size_t daemon) const { return daemon % m_domainCount; }
    /// The daemon that acts as coordinator of a domain; unset if none or several do.
    std::optional<size_t> coordinatorOf(size_t domain) const;
    const std::vector<size_t>& holdersOf(size_t domain) const { return m_holders[domain]; }
    QuotaService& service(size_t daemon) { return *m_daemons[daemon]->service; }

    void resetCounts();
    Count& count(size_t organisation) { return m_counts[organisation]; }
    double worst() const;
    /// Prints and returns the bytes a second of the daemon that sent most since the counts were reset.
    double printTraffic(const std::string& title) const;

    std::vector<Load> loads;
    VirtualLoop loop;
    FakeDatagramNetwork network;
    double repetition { 0 };

private:
    struct Daemon {
        std::unique_ptr<FreezableLoop> loop;
        std::unique_ptr<RepeatingPort> port;
        std::unique_ptr<QuotaService> service;
        Instant nextRead;
        uint32_t reads { 0 };
        uint64_t generation { 0 };
    };

    static std::string hostOf(size_t daemon) { return "d" + std::to_string(daemon); }
    bool isAlive(size_t daemon) const { return m_daemons[daemon]->service != nullptr; }
    bool holdsRow(size_t daemon) const;
    bool reachesStore(size_t daemon) const { return domainOf(daemon) != m_cutDomain; }
    void open(size_t daemon);
    void readLeases(size_t daemon);
    void updateLeases();
    void replaceHolders();
    void callOnce(size_t organisation);
    void step();
    void publishDirectory();

    size_t m_domainCount;
    std::mt19937_64 m_random;
    DecisionLog m_log;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<std::vector<size_t>> m_holders;
    std::map<size_t, Instant> m_rowsUntil;
    std::map<size_t, Instant> m_killedAt;
    size_t m_cutDomain { SIZE_MAX };
    std::shared_ptr<const OrganisationDirectory> m_directory;
    std::vector<Count> m_counts;
    Instant m_countedSince;
    std::vector<std::pair<uint64_t, uint64_t>> m_sentBefore;
};

}
