#include "distribution/SourceRole.h"

#include "distribution/SourceTimes.h"
#include "leases/Epoch.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    /// Two can fail while the third one serves the failure domain.
    constexpr size_t holdersPerDomain = 3;
    /// When all daemons start at once, none finds a holder. Each then waits before it becomes one, those with more processor time
    /// for less long, so that the first ones are found by the others.
    constexpr double searchDelayPerCoreMs = 50;
    constexpr double randomSearchDelayPerCoreMs = 150;
    constexpr Milliseconds maxSearchDelay { 1500 };
    constexpr double minCores = 0.1;
    /// Delay before a failed read of the leases is repeated, doubled with each failure up to the maximum.
    constexpr Milliseconds minReadRetryDelay { 250 };
    constexpr Milliseconds maxReadRetryDelay { 1000 };
    /// Daemons that have lost all their sources, or whose sources have lost the platform, call the platform at different times.
    constexpr Milliseconds fallbackSpread { 1000 };
    /// Delay per rank among the subscribers of a failure domain before one whose sources have lost the platform calls it itself, and its
    /// upper limit.
    constexpr Milliseconds fallbackDelayPerRank { 200 };
    constexpr Milliseconds maxFallbackDelay { 20'000 };
    /// Time for each daemon of the failure domain, over which daemons that the platform has not answered try it again at random. All together
    /// then make some three calls a second.
    constexpr Milliseconds fallbackRetryPerDaemon { 400 };
    /// How long a failed call makes the next one a retry.
    constexpr Milliseconds fallbackMemory { 60'000 };
    /// Delay before the holders are tried again after all of them have refused. When all daemons restart, they listen again at about the
    /// same time.
    constexpr Milliseconds firstRetrySpread { 300 };
    /// A daemon that has found no source this often becomes one.
    constexpr uint32_t maxExhaustions = 3;
    constexpr Milliseconds stepUpSpread { 2000 };
    /// When holders are missing, this many other daemons check whether they should become holders.
    constexpr size_t stepUpCandidates = 2;
    /// While a fleet starts, sources send tables to many subscribers. One that steps down meanwhile has sent its own in vain.
    constexpr Milliseconds minHoldingTime { 10'000 };
    constexpr Milliseconds leaveCheckInterval { 100 };
    /// A new holder reads most tables when its row is written, or after this time if that fails.
    constexpr Milliseconds maxTableReadDelay { 1000 };
    constexpr Milliseconds tableReadCheckInterval { 5 };

    uint64_t hashOf(const InstanceId& instance)
    {
        return XXH64(instance.value().data(), instance.value().size(), 0);
    }

    /// Daemons with more processor time become holders first.
    bool goesBefore(const InstanceId& a, double coresOfA, const InstanceId& b, double coresOfB)
    {
        return coresOfA != coresOfB ? coresOfA > coresOfB : hashOf(a) < hashOf(b);
    }

}

SourceRole::SourceRole(Context context, uint64_t seed)
    : m_context(std::move(context))
    , m_random(seed)
    , m_client(m_context.loop, m_context.connector, m_context.rows, m_context.lease, m_context.log, maxSourceAge(m_context.configurationBound),
          { [this] { attach(); }, [this] { completeStepDown(); }, [this] { checkOwnPath(); }, [this] { searchAgain(); } })
{
    m_context.leaseMonitor.setOwnHoldsRow(false);
    m_context.lease.onEpochConfirmed([this] { m_client.renew(); });
}

SourceRole::~SourceRole()
{
    m_context.loop.cancel(m_timer);
    m_context.lease.onEpochConfirmed(nullptr);
}

void SourceRole::start(bool isFirstStart)
{
    m_hasWaited = isFirstStart;
    readLeases(isFirstStart ? searchDelay() : Milliseconds(0));
}

Milliseconds SourceRole::randomDelay(Milliseconds limit)
{
    return limit * std::uniform_real_distribution<double>(0, 1)(m_random);
}

Milliseconds SourceRole::searchDelay()
{
    const double cores = std::max(m_context.lease.addresses().cores, minCores);
    return std::min(Milliseconds(searchDelayPerCoreMs / cores) + randomDelay(Milliseconds(randomSearchDelayPerCoreMs / cores)), maxSearchDelay);
}

std::vector<Peer> SourceRole::holders() const
{
    std::vector<Peer> result;
    for (const auto& it : m_context.leaseMonitor.peers()) {
        if (it.holdsRow && it.addresses.sourcePort != 0 && it.addresses.failureDomain == m_context.lease.addresses().failureDomain)
            result.push_back(it);
    }
    return result;
}

std::vector<Peer> SourceRole::reachableHolders() const
{
    std::vector<Peer> result = holders();
    result.erase(std::remove_if(result.begin(), result.end(), [this](const Peer& it) { return m_client.isAvoided(it.instance); }), result.end());
    return result;
}

size_t SourceRole::ownRank(bool amongHolders) const
{
    const auto& own = m_context.lease;
    const auto& peers = m_context.leaseMonitor.peers();
    return static_cast<size_t>(std::count_if(peers.begin(), peers.end(), [&own, amongHolders](const Peer& it) {
        return it.holdsRow == amongHolders && it.addresses.failureDomain == own.addresses().failureDomain && goesBefore(it.instance, it.addresses.cores, own.instance(), own.addresses().cores);
    }));
}

// Subscribers whose sources have lost the platform try it one after the other, the first one at once: all others wait for the first that
// the platform answers, which they hear of from their source.
void SourceRole::checkOwnPath()
{
    if (isHolder() || m_isReading || m_nextRead)
        return;
    if (!m_ownPathFailedAt || m_context.loop.now() > *m_ownPathFailedAt + fallbackMemory)
        return readLeases(std::min(fallbackDelayPerRank * ownRank(false), maxFallbackDelay));
    const Milliseconds spread = std::max(fallbackRetryPerDaemon * domainSize(), fallbackSpread);
    readLeases(spread * 0.5 + randomDelay(spread * 0.5));
}

size_t SourceRole::domainSize() const
{
    const auto& peers = m_context.leaseMonitor.peers();
    const auto& domain = m_context.lease.addresses().failureDomain;
    return 1 + static_cast<size_t>(std::count_if(peers.begin(), peers.end(), [&domain](const Peer& it) { return it.addresses.failureDomain == domain; }));
}

// No candidate serves this daemon.
void SourceRole::searchAgain()
{
    if (m_state == State::SteppingDown)
        return cancelStepDown();
    if (m_state == State::Holding)
        return;
    m_state = State::Searching;
    m_hasWaited = true;
    ++m_exhaustions;
    m_client.forgetRefusals();
    readLeases(randomDelay(m_exhaustions == 1 ? firstRetrySpread : fallbackSpread));
}

// Reads the leases after `delay`, or earlier if a read is due before.
void SourceRole::readLeases(Milliseconds delay)
{
    const Instant at = m_context.loop.now() + delay;
    if (m_isReading || m_hasLeft || (m_nextRead && *m_nextRead <= at))
        return;
    m_nextRead = at;
    m_context.loop.cancel(m_timer);
    m_timer = m_context.loop.after(delay, [this] {
        m_nextRead.reset();
        m_isReading = true;
        m_context.leaseMonitor.read([this, alive = std::weak_ptr<bool>(m_alive)](const absl::StatusOr<LeaseTable>& table) {
            if (!alive.expired())
                applyLeases(table);
        });
    });
}

void SourceRole::applyLeases(const absl::StatusOr<LeaseTable>& table)
{
    m_isReading = false;
    if (m_hasLeft || isHolder())
        return;
    if (!table.ok()) {
        m_hasOwnPath = false;
        m_ownPathFailedAt = m_context.loop.now();
        if (m_state == State::Searching) {
            const Milliseconds delay = std::min(minReadRetryDelay * std::exp2(std::min(m_failedReads++, 8U)), maxReadRetryDelay);
            readLeases(delay * 0.5 + randomDelay(delay * 0.5));
        }
        return;
    }
    m_failedReads = 0;
    m_ownPathFailedAt.reset();
    if (m_state == State::Searching)
        return m_isStopping ? searchWhileStopping() : search(*table);
    // This daemon is subscribed, and the platform answers it.
    if (m_client.moveFromStale()) {
        m_hasOwnPath = false;
        return;
    }
    if (m_isStopping)
        return;
    const bool hadOwnPath = std::exchange(m_hasOwnPath, m_client.isStale());
    if (m_hasOwnPath && hadOwnPath)
        return hold("no source reaches the platform");
    // The sources may have reached the platform again, too.
    if (m_hasOwnPath)
        return readLeases(staleRecheckDelay(m_context.configurationBound));
    if (holders().size() < holdersPerDomain)
        hold("the failure domain lacks holders");
}

void SourceRole::search(const LeaseTable& table)
{
    // The process before this one may have served subscribers, which look for it first.
    const bool hasHeldRow = std::any_of(table.entries.begin(), table.entries.end(), [&](const LeaseTable::Entry& it) { return it.instance == m_context.lease.instance() && !isExpired(it.lease, table.platformTime); });
    if (hasHeldRow)
        return hold("this instance held a row until now");
    const auto reachable = reachableHolders();
    if (!reachable.empty() && holders().size() >= holdersPerDomain && m_exhaustions < maxExhaustions) {
        m_client.setCandidates(reachable);
        return m_client.start();
    }
    if (!std::exchange(m_hasWaited, true))
        return readLeases(searchDelay());
    hold("too few holders were found");
}

// Callers keep using this daemon for seconds, and a change may become due meanwhile. A lease row of its own would outlive this process.
void SourceRole::searchWhileStopping()
{
    const auto reachable = reachableHolders();
    if (!reachable.empty() && m_exhaustions < maxExhaustions) {
        m_client.setCandidates(reachable);
        return m_client.start();
    }
    m_context.log.write("role_direct", { { "why", "no source was found while this daemon stops" } });
    m_context.rows.usePlatform();
}

void SourceRole::hold(std::string_view why)
{
    m_context.log.write("role_holder", { { "why", std::string(why) }, { "holders", std::to_string(holders().size()) }, { "daemons", std::to_string(m_context.leaseMonitor.liveDaemonCount()) } });
    m_state = State::Holding;
    m_holdingSince = m_context.loop.now();
    m_exhaustions = 0;
    m_context.leaseMonitor.setOwnHoldsRow(true);
    m_context.rows.usePlatformFirstFor(controlTable);
    m_context.lease.start();
    m_context.service.setServing(true);
    readTablesOnceHolding(m_context.loop.now() + maxTableReadDelay);
    leaveSourceOnceHolding();
}

// The row has to be written soon, so that other daemons find this one and do not become holders too. It needs the epoch, which is in
// the control table. Over a slow link the other tables would delay both.
void SourceRole::readTablesOnceHolding(Instant latest)
{
    if (!isHolder())
        return;
    if (m_context.lease.isValidByRow() || m_context.loop.now() >= latest)
        return m_context.rows.usePlatform();
    m_context.loop.after(tableReadCheckInterval, [this, latest, alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.expired())
            readTablesOnceHolding(latest);
    });
}

// A grant that lasts beyond this daemon's own use of it would delay the source's renewals.
void SourceRole::leaveSourceOnceHolding()
{
    if (m_state != State::Holding || !m_client.isStarted())
        return;
    if (!m_context.lease.isValidByRow()) {
        m_context.loop.after(leaveCheckInterval, [this, alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired())
                leaveSourceOnceHolding();
        });
        return;
    }
    m_context.lease.dropGrant();
    m_client.stop(true);
}

void SourceRole::attach()
{
    if (isHolder())
        return;
    m_state = State::Subscribed;
    m_exhaustions = 0;
    m_context.rows.useSource([this](const TableRequest& request) { m_client.request(request); });
}

void SourceRole::reconsider()
{
    if (m_isStopping)
        return;
    const auto others = holders();
    if (m_state == State::Holding) {
        if (others.size() < holdersPerDomain || ownRank(true) < holdersPerDomain || !m_context.mayStepDown() || m_context.loop.now() < m_holdingSince + minHoldingTime)
            return;
        m_context.log.write("role_stepping_down", { { "holders", std::to_string(others.size() + 1) } });
        m_state = State::SteppingDown;
        m_context.service.setServing(false);
        m_client.setCandidates(others);
        return m_client.start();
    }
    if (m_state == State::SteppingDown && others.size() < holdersPerDomain)
        return cancelStepDown();
    m_client.setCandidates(others);
    if (m_state == State::Subscribed && others.size() < holdersPerDomain && ownRank(false) < stepUpCandidates)
        readLeases(randomDelay(stepUpSpread));
}

void SourceRole::cancelStepDown()
{
    m_state = State::Holding;
    m_context.service.setServing(!m_isStopping);
    leaveSourceOnceHolding();
}

void SourceRole::completeStepDown()
{
    if (m_state != State::SteppingDown || m_context.lease.hasGrants() || !m_context.mayStepDown())
        return;
    m_context.log.write("role_subscriber", { { "why", "the failure domain has enough other holders" } });
    m_state = State::Subscribed;
    m_context.leaseMonitor.setOwnHoldsRow(false);
    m_context.lease.withdraw();
    m_context.rows.useSource([this](const TableRequest& request) { m_client.request(request); });
}

void SourceRole::stopServing()
{
    m_isStopping = true;
    m_context.service.setServing(false);
}

void SourceRole::leave()
{
    m_hasLeft = true;
    m_context.loop.cancel(m_timer);
    m_client.stop();
}

}
