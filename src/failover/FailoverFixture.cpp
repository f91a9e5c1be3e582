#include "failover/FailoverFixture.h"

#include "base/ResultCode.h"
#include "leases/Epoch.h"
#include "platform_ports/UnexecutedCall.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds replicationInterval { 20 };
    const std::vector<std::string> firstTargets { "one", "two", "three" };
    /// From a call until the platform answers that it does not accept it.
    constexpr Milliseconds answerTime { 5 };

    /// A connection that is not answered while its target is on the other side of a partition.
    class PartitionedConnection final : public TargetConnection {
    public:
        PartitionedConnection(EventLoop& loop, std::unique_ptr<TargetConnection> connection, std::function<bool()> isReached)
            : m_loop(loop)
            , m_connection(std::move(connection))
            , m_isReached(std::move(isReached))
        {
        }

        void run(const TargetBatch& batch, Milliseconds timeout, Done done) override
        {
            if (m_isReached())
                return m_connection->run(batch, timeout, std::move(done));
            m_loop.after(timeout, [alive = std::weak_ptr<bool>(m_alive), done = std::move(done)] {
                if (!alive.expired())
                    done(makeError(ResultCode::TargetSilent, "silent"));
            });
        }

    private:
        EventLoop& m_loop;
        std::unique_ptr<TargetConnection> m_connection;
        std::function<bool()> m_isReached;
        std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    };

    std::shared_ptr<const RouteTable> makeRoutes(uint64_t version, uint32_t synchronousReplicas)
    {
        auto table = std::make_shared<RouteTable>();
        table->version = ConfigurationVersion(version);
        table->transactionIdleTimeout = Milliseconds(3000);
        table->groups[GroupId("group")] = { 40, synchronousReplicas };
        Route route;
        route.database = DatabaseId("orders");
        route.group = GroupId("group");
        route.statementTimeout = Milliseconds(800);
        route.latencyObjective = Milliseconds(200);
        table->routes[route.database] = std::make_shared<const Route>(route);
        return table;
    }

}

void FakePromotions::promote(const GroupId&, const TargetId& target, const InstanceId& leaseHolder, RowVersion fencingToken, Instant until, Done done)
{
    const PromotionRequest request { target, leaseHolder, fencingToken, m_loop.now(), until };
    onSent(request);
    if (rejectsCalls)
        return (void)m_loop.after(answerTime, [done] { done(makeUnexecutedCallError("too many calls")); });
    const bool isHeldUp = heldUpFor > Milliseconds(0);
    const bool isLate = carriedOutAfter > Milliseconds(0);
    const Done unanswered = [](const absl::StatusOr<bool>&) {};
    if (isHeldUp || isLate || losesAnswers)
        m_loop.after(Milliseconds(1500), [done] { done(absl::UnavailableError("the answer was lost")); });
    if (isHeldUp)
        return (void)m_loop.after(heldUpFor, [this, request, unanswered] { receive(request, unanswered); });
    if (isLate) {
        requests.push_back(request);
        m_loop.after(carriedOutAfter, [this, target, unanswered] { carryOut(target, unanswered); });
        return;
    }
    receive(request, losesAnswers ? unanswered : done);
}

void FakePromotions::receive(const PromotionRequest& request, Done done)
{
    requests.push_back(request);
    if (carriedOutAgainAfter > Milliseconds(0))
        m_loop.after(carriedOutAgainAfter, [this, target = request.target] { carryOut(target, [](const absl::StatusOr<bool>&) {}); });
    carryOut(request.target, std::move(done));
}

void FakePromotions::carryOut(const TargetId& target, Done done)
{
    if (m_targets[target].isDown) {
        done(false);
        return;
    }
    if (answersAtOnce)
        std::exchange(done, [](const absl::StatusOr<bool>&) {})(true);
    m_loop.after(promotionTime, [this, target, done] {
        auto& promoted = m_targets[target];
        if (!hasNoEffect && (!promoted.isPrimary || promoted.term < newestTerm)) {
            newestTerm = newestTerm.next();
            newestTermSince = m_loop.now();
            promoted.isPrimary = true;
            promoted.term = newestTerm;
            onPromoted(target);
        }
        done(true);
    });
}

bool FakePromotions::areFencingTokensOrdered() const
{
    for (size_t n = 1; n < requests.size(); ++n) {
        const bool isSameLeaseHolder = requests[n].leaseHolder == requests[n - 1].leaseHolder;
        if (requests[n].fencingToken < requests[n - 1].fencingToken || (requests[n].fencingToken == requests[n - 1].fencingToken && !isSameLeaseHolder))
            return false;
    }
    return true;
}

void PartitionedTargets::connect(const TargetConfiguration& target, const OrganisationId& organisation, Milliseconds timeout, Done done)
{
    const auto isReached = [isReached = m_isReached, id = target.id] { return isReached(id); };
    if (!isReached())
        return (void)m_loop.after(timeout, [done = std::move(done)] { done(makeError(ResultCode::TargetUnreachable, "no answer")); });
    m_targets.connect(target, organisation, timeout, [&loop = m_loop, isReached, done = std::move(done)](absl::StatusOr<std::unique_ptr<TargetConnection>> opened) {
        if (!opened.ok())
            return done(opened.status());
        done(std::make_unique<PartitionedConnection>(loop, *std::move(opened), isReached));
    });
}

FailoverDaemon::FailoverDaemon(EventLoop& loop, FakeTables& tables, PromotionPort& promotions, TargetConnector& targets, const std::string& name, const std::string& incarnation, const FailureDomainId& domain)
    : failureDomain(domain)
    , startedAt(loop.now())
    , rows(loop, tables)
    , log(loop, name, [this](const std::string& line) { logLines.push_back(line); })
    , membership(loop, { InstanceId(name), domain, name, 0, 0, false })
    , lease(loop, rows, InstanceId(name), incarnation, { domain, "", 0, 0, 0, 0, 0, 0 })
    , leaseMonitor(loop, rows, rows, InstanceId(name))
    , failover({ loop, rows, promotions, targets, lease, leaseMonitor, log, metrics, [this, &tables] { return targetListVersion.value_or(tables.version()); } })
    , relay(loop, targets, lease, failover, log, metrics, membership)
    , controlWatch(
          loop, rows, controlTable, Milliseconds(5000), [this](const TableWatch::Rows& it) { failover.setRows(it, controlWatch.version()); }, [](const absl::Status&) {})
{
    rows.onEraChanged([this](PlatformEra era) { controlWatch.beginEra(era); });
    rows.onReachedAgain([this](Instant sent) { controlWatch.replaceOlderRequest(sent); });
    lease.onEpochPassed([this](RowVersion epoch, Instant sentAt) {
        if (epoch > controlWatch.version())
            controlWatch.replaceOlderRequest(sentAt);
    });
}

FailoverFixture::FailoverFixture(size_t n, double listDelay)
{
    targets[TargetId("one")].isPrimary = true;
    for (const auto& it : m_targetNames)
        m_targetList.push_back(makeEntry(it));
    promotions.onPromoted = [this](const TargetId& promoted) {
        const bool isConflict = std::any_of(daemons.begin(), daemons.end(), [&](const auto& it) { return it && mayUseOtherPrimary(*it, promoted); });
        conflictingPromotions += isConflict ? 1 : 0;
        countLostCommits(promoted);
    };
    targets.onCommitted = [this](const TargetId& primary) { return replicateCommit(primary); };
    daemons.resize(n);
    for (size_t it = 0; it < n; ++it)
        startDaemon(it, listDelay);
    replicate();
    run(1000);
}

// The callbacks of a test refer to variables that may be gone.
FailoverFixture::~FailoverFixture()
{
    promotions.onSent = [](const PromotionRequest&) {};
    promotions.onPromoted = [](const TargetId&) {};
    targets.onCommitted = [](const TargetId&) { return true; };
    for (auto& it : daemons)
        it->rows.isCut = true;
    loop.advance(Milliseconds(10'000));
}

void FailoverFixture::run(double milliseconds)
{
    loop.advance(Milliseconds(milliseconds));
}

void FailoverFixture::startDaemon(size_t daemon, double listDelay)
{
    const std::string name = "daemon-" + std::to_string(daemon);
    const FailureDomainId domain = domainOf(TargetId(firstTargets.at(daemon % firstTargets.size())));
    m_connectors.push_back(std::make_unique<PartitionedTargets>(loop, targets, [this, domain](const TargetId& it) { return areConnected(domain, domainOf(it)); }));
    daemons[daemon] = std::make_unique<FailoverDaemon>(loop, tables, promotions, *m_connectors.back(), name, std::to_string(++m_incarnations), domain);
    daemons[daemon]->rows.isCut = m_cutOffDomain == domain;
    FailoverDaemon& it = *daemons[daemon];
    it.relay.setRoutes(makeRoutes(m_configurations, m_synchronousReplicas));
    it.lease.start();
    it.leaseMonitor.start([&it] { it.lease.setHolderCount(it.leaseMonitor.holderCount()); });
    it.failover.start(it.relay);
    loop.after(Milliseconds(listDelay), [this, &it] {
        publishTargets(it);
    });
    it.controlWatch.start();
}

void FailoverFixture::restart(size_t daemon, double pause, double listDelay)
{
    // Requests of the crashed process no longer reach the platform. So release() cannot delete the lease's row; it only ends
    // the use and the renewal of the lease in that process.
    daemons[daemon]->rows.isCut = true;
    daemons[daemon]->lease.release([] {});
    stoppedDaemons.push_back(std::move(daemons[daemon]));
    loop.advance(Milliseconds(pause));
    startDaemon(daemon, listDelay);
}

void FailoverFixture::restorePlatform(const FakeTables::Copy& copy, double outage)
{
    for (auto& it : daemons)
        it->rows.isCut = true;
    run(outage);
    tables.restore(copy);
    for (auto& it : daemons)
        it->rows.isCut = false;
}

void FailoverFixture::publishTargets()
{
    for (auto& it : daemons) {
        // Null while it is being restarted.
        if (it)
            publishTargets(*it);
    }
}

// A daemon that was started since a target reported that it leaves does not learn from the list when that was.
void FailoverFixture::publishTargets(FailoverDaemon& daemon)
{
    std::vector<TargetEntry> list = m_targetList;
    for (auto& it : list) {
        if (it.leavingSince && *it.leavingSince <= daemon.startedAt)
            it.leavingSince.reset();
    }
    daemon.failover.setTargets(list);
    daemon.relay.setTargets(list);
}

void FailoverFixture::setLeaving(const std::string& target)
{
    for (auto& it : m_targetList) {
        if (it.target.id != TargetId(target))
            continue;
        it.isLeaving = true;
        it.leavingSince = loop.now();
    }
    publishTargets();
}

void FailoverFixture::setListed(const std::string& target, bool isListed)
{
    m_targetList.erase(std::remove_if(m_targetList.begin(), m_targetList.end(), [&target](const TargetEntry& it) { return it.target.id == TargetId(target); }), m_targetList.end());
    if (isListed)
        m_targetList.push_back(makeEntry(target));
    publishTargets();
}

TargetEntry FailoverFixture::makeEntry(const std::string& target) const
{
    const auto address = m_addresses.find(target);
    const auto startedAt = m_startedAt.find(target);
    TargetEntry entry;
    entry.target = { TargetId(target), address == m_addresses.end() ? TargetAddress { target, 1 } : address->second, domainOf(TargetId(target)), GroupId("group"), false };
    entry.startedAt = startedAt == m_startedAt.end() ? Instant() : startedAt->second;
    return entry;
}

RelayError FailoverFixture::write(size_t daemon)
{
    TestCaller caller(daemons[daemon]->relay, "orders");
    const size_t commits = targets.committed.size();
    const Term newestTerm = promotions.newestTerm;
    caller.send(RelayKind::Write, "WRITE 1 a");
    loop.runUntil([&caller] { return !caller.answers.empty(); }, Milliseconds(3000));
    const RelayError error = caller.answers.empty() ? RelayError::TimedOut : caller.last().error;
    const bool isAcknowledged = error == RelayError::None && targets.committed.size() > commits;
    if (isAcknowledged)
        m_lastAcknowledged = std::max(m_lastAcknowledged, caller.last().mark->position);
    if (isAcknowledged && targets[targets.committed.back().target].term < newestTerm)
        ++staleWrites;
    return error;
}

void FailoverFixture::writeFromAllDaemons()
{
    for (size_t it = 0; it < daemons.size(); ++it)
        write(it);
}

void FailoverFixture::runWithTraffic(double milliseconds)
{
    const Instant end = loop.now() + Milliseconds(milliseconds);
    while (loop.now() < end) {
        writeFromAllDaemons();
        run(20);
    }
}

size_t FailoverFixture::suspicionsWritten() const
{
    size_t n = 0;
    for (const auto& it : daemons) {
        n += static_cast<size_t>(std::count_if(it->logLines.begin(), it->logLines.end(), [](const std::string& line) {
            return line.find("primary_suspicion") != std::string::npos && line.find("\"suspect\":\"yes\"") != std::string::npos;
        }));
    }
    return n;
}

size_t FailoverFixture::countDaemonsUsing(const std::string& target)
{
    return static_cast<size_t>(std::count_if(daemons.begin(), daemons.end(), [&target](const auto& it) {
        const PrimaryView knownPrimary = it->relay.findGroup(GroupId("group"))->primary();
        return knownPrimary.isAvailable && knownPrimary.primary == TargetId(target);
    }));
}

bool FailoverFixture::mayUseOtherPrimary(FailoverDaemon& daemon, const TargetId& promoted) const
{
    const RelayGroup* group = daemon.relay.findGroup(GroupId("group"));
    return group && group->mayUsePrimary() && group->primary().primary != promoted;
}

void FailoverFixture::stepDownReplacedPrimaries()
{
    constexpr Milliseconds stepDownDelay { 1000 };
    if (!doReplacedPrimariesStepDown || loop.now() < promotions.newestTermSince + stepDownDelay)
        return;
    for (const auto& it : m_targetNames) {
        auto& target = targets[TargetId(it)];
        if (target.isPrimary && !target.isDown && !target.isSilent && target.term < promotions.newestTerm)
            target.isPrimary = false;
    }
}

void FailoverFixture::setSynchronousReplicas(uint32_t n)
{
    m_synchronousReplicas = n;
    ++m_configurations;
    for (auto& it : daemons)
        it->relay.setRoutes(makeRoutes(m_configurations, n));
}

// A primary of a lower term follows only after it was demoted.
bool FailoverFixture::mayReceive(const TargetId& id, const TargetId& primary)
{
    const auto& target = targets[id];
    const bool isRunning = !target.isPrimary && !target.isDown && !target.isSilent;
    return isRunning && areConnected(domainOf(id), domainOf(primary)) && !(targets[primary].term < target.term) && deafTargets.count(id) == 0;
}

FailureDomainId FailoverFixture::domainOf(const TargetId& target) const
{
    const auto it = m_domains.find(target.value());
    return it == m_domains.end() ? FailureDomainId("domain-" + target.value()) : it->second;
}

bool FailoverFixture::areConnected(const FailureDomainId& a, const FailureDomainId& b) const
{
    return a == b || !m_cutOffDomain || (a != *m_cutOffDomain && b != *m_cutOffDomain);
}

void FailoverFixture::cutOffDomainOf(const std::string& target)
{
    m_cutOffDomain = domainOf(TargetId(target));
    for (auto& it : daemons)
        it->rows.isCut = it->rows.isCut || it->failureDomain == *m_cutOffDomain;
}

void FailoverFixture::reconnectDomain(double listingTime)
{
    for (auto& it : daemons)
        it->rows.isCut = it->rows.isCut && it->failureDomain != *m_cutOffDomain;
    m_cutOffDomain.reset();
    for (const auto& it : std::exchange(m_unlistedTargets, {}))
        loop.after(Milliseconds(listingTime), [this, it] { setListed(it, true); });
}

void FailoverFixture::startTarget(const std::string& name, const std::string& neighbour)
{
    m_domains[name] = domainOf(TargetId(neighbour));
    m_targetNames.push_back(name);
    m_startedAt[name] = loop.now();
    targets[TargetId(name)].received = LogPosition(0);
    targets[TargetId(name)].applied = LogPosition(0);
    if (m_cutOffDomain == m_domains[name])
        m_unlistedTargets.push_back(name);
    else
        setListed(name, true);
}

void FailoverFixture::replaceTarget(const std::string& target, const std::string& successor)
{
    auto& old = targets[TargetId(target)];
    auto& started = targets[TargetId(successor)];
    started.term = old.term;
    started.received = old.received;
    started.applied = old.applied;
    old.isDown = true;
    m_targetNames.push_back(successor);
    m_addresses[successor] = makeEntry(target).target.address;
    m_domains[successor] = domainOf(TargetId(target));
    m_startedAt[successor] = loop.now();
    setListed(target, false);
    setListed(successor, true);
}

void FailoverFixture::restartWithoutLog(const std::string& name)
{
    auto& target = targets[TargetId(name)];
    target.isPrimary = false;
    target.received = LogPosition(0);
    target.applied = LogPosition(0);
    target.isDown = false;
    m_startedAt[name] = loop.now();
    setListed(name, true);
}

bool FailoverFixture::replicateCommit(const TargetId& id)
{
    const auto& primary = targets[id];
    uint32_t n = 0;
    for (const auto& it : m_targetNames) {
        if (n == m_synchronousReplicas || !mayReceive(TargetId(it), id))
            continue;
        auto& replica = targets[TargetId(it)];
        replica.term = primary.term;
        replica.received = primary.received;
        ++n;
    }
    return n == m_synchronousReplicas;
}

void FailoverFixture::countLostCommits(const TargetId& promoted)
{
    const LogPosition received = targets[promoted].received;
    targets[promoted].applied = received;
    if (received < m_lastAcknowledged)
        lostCommits += m_lastAcknowledged.value() - received.value();
    m_lastAcknowledged = std::min(m_lastAcknowledged, received);
}

// Replicas copy the log of the primary with the highest term, unless they have followed a later one.
void FailoverFixture::replicate()
{
    stepDownReplacedPrimaries();
    std::map<Term, TargetId> primaries;
    for (const auto& it : m_targetNames) {
        const auto& target = targets[TargetId(it)];
        if (target.isPrimary && !target.isDown && !target.isSilent)
            primaries.try_emplace(target.term, TargetId(it));
    }
    for (const auto& it : m_targetNames) {
        // The one with the highest term that the replica reaches.
        const auto primary = std::find_if(primaries.rbegin(), primaries.rend(), [&](const auto& each) { return mayReceive(TargetId(it), each.second); });
        if (primary == primaries.rend())
            continue;
        auto& target = targets[TargetId(it)];
        const auto& source = targets[primary->second];
        target.term = source.term;
        target.applied = source.applied;
        target.received = source.applied;
    }
    loop.after(replicationInterval, [this] { replicate(); });
}

}
