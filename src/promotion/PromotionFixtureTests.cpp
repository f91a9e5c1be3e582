#include "promotion/PromotionFixture.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds connectTimeout { 300 };
    constexpr Milliseconds writeTimeout { 1000 };
    constexpr Milliseconds confirmTimeout { 3000 };
    constexpr Milliseconds recoveryTime { 10'000 };

}

TestDaemon::TestDaemon(VirtualLoop& loop, FakeTargets& targets, const GroupConfiguration& group, const FailureDomainId& domain, const PromoterSettings& settings)
    : m_loop(loop)
    , m_group(group)
    , m_domain(domain)
    , m_connector(targets.connectorIn(domain))
    , m_control(GroupControl::create(loop, *m_connector, group, GroupControlSettings()))
    , m_promoter(Promoter::create(loop, *m_control, group, settings))
{
    m_control->addChangeObserver([this](const GroupView& view) { disconnectFromReplacedPrimary(view); });
    m_promoter->onPromoted([this](const PromotionReport& report) { m_reports.push_back(report); });
}

TestDaemon::~TestDaemon() = default;

void TestDaemon::startWriting(Milliseconds interval)
{
    m_interval = interval;
    m_isWriting = true;
    writeNext();
}

void TestDaemon::writeNext()
{
    if (!m_isWriting)
        return;
    write();
    std::weak_ptr<int> alive = m_alive;
    m_loop.after(m_interval, [this, alive] {
        if (!alive.expired())
            writeNext();
    });
}

void TestDaemon::write()
{
    const TargetId primary = m_control->view().primary;
    if (m_isBusy || m_isConnecting || primary.isEmpty())
        return;
    std::weak_ptr<int> alive = m_alive;
    if (!m_connection || m_connectedTo != primary) {
        m_isConnecting = true;
        m_connection.reset();
        const auto it = std::find_if(m_group.targets.begin(), m_group.targets.end(), [&](const auto& target) { return target.id == primary; });
        m_connector->connect(*it, OrganisationId(), connectTimeout, [this, alive, primary](absl::StatusOr<std::unique_ptr<TargetConnection>> connection) {
            if (alive.expired())
                return;
            m_isConnecting = false;
            m_connectedTo = primary;
            if (connection.ok())
                m_connection = *std::move(connection);
        });
        return;
    }
    m_isBusy = true;
    TargetBatch batch;
    batch.operation = TargetOperation::Write;
    batch.term = m_control->view().term;
    batch.ledgerKey = { OrganisationId("shop"), RequestId(m_domain.value() + "-" + std::to_string(++m_writes)), 1 };
    batch.statement = { "INSERT INTO records (key, value) VALUES ($1, $2)", { batch.ledgerKey.request.value(), "value" } };
    m_connection->run(batch, writeTimeout, [this, alive, batch](const absl::StatusOr<TargetReply>& reply) {
        if (!alive.expired())
            writeAnswered(batch.ledgerKey.request, batch.term, reply);
    });
}

// A write in flight at the replaced primary has an unknown outcome, and waiting for it would only prolong the write gap.
void TestDaemon::disconnectFromReplacedPrimary(const GroupView& view)
{
    if (!m_connection || view.primary.isEmpty() || view.primary == m_connectedTo)
        return;
    m_connection.reset();
    m_isBusy = false;
}

void TestDaemon::writeAnswered(const RequestId& request, Term term, const absl::StatusOr<TargetReply>& reply)
{
    m_isBusy = false;
    if (!reply.ok()) {
        auto failedConnection = m_connection;
        m_connection.reset();
        m_loop.after(Milliseconds(0), [failedConnection] { (void)failedConnection; });
        return;
    }
    m_control->confirm(term, reply->status.position, AckRule::Replicated, m_loop.now() + confirmTimeout, [this, request](const auto& level) {
        if (level.ok())
            m_acknowledged[request] = m_loop.now();
    });
}

Milliseconds TestDaemon::longestGap(Instant since) const
{
    std::vector<double> times { since.sinceEpoch() };
    for (const auto& it : m_acknowledged) {
        if (it.second > since)
            times.push_back(it.second.sinceEpoch());
    }
    times.push_back(m_loop.now().sinceEpoch());
    std::sort(times.begin(), times.end());
    double longest = 0;
    for (size_t i = 1; i < times.size(); ++i)
        longest = std::max(longest, times[i] - times[i - 1]);
    return Milliseconds(longest);
}

PromotionFixture::PromotionFixture(size_t targets, size_t daemons, const FakeTargetSettings& settings, uint64_t seed, const PromoterSettings& promoterSettings)
{
    m_group.database = DatabaseId("db");
    for (size_t i = 0; i < targets; ++i)
        m_group.targets.push_back({ TargetId("db-" + std::to_string(i)), {}, FailureDomainId("domain-" + std::to_string(i)) });
    m_targets.addGroup(m_group, settings);
    for (size_t i = 0; i < daemons; ++i) {
        PromoterSettings own = promoterSettings;
        own.seed = seed * daemons + i;
        m_daemons.push_back(std::make_unique<TestDaemon>(m_loop, m_targets, m_group, domain(i), own));
        m_daemons.back()->promoter().setRank(static_cast<uint32_t>(i));
    }
    m_loop.advance(Milliseconds(500));
}

void PromotionFixture::killDaemon(size_t n)
{
    for (const auto& it : m_daemons.at(n)->acknowledged())
        m_acknowledgedByKilled.insert(it);
    m_daemons.erase(m_daemons.begin() + static_cast<ptrdiff_t>(n));
}

void PromotionFixture::startWriting(Milliseconds interval)
{
    for (const auto& it : m_daemons)
        it->startWriting(interval);
    m_loop.advance(Milliseconds(200));
}

void PromotionFixture::setPartitioned(const TargetId& id, bool isPartitioned)
{
    for (size_t i = 0; i < targetCount(); ++i)
        m_targets.setCut(domain(i), id, isPartitioned);
    model().setIsolated(id, isPartitioned);
}

void PromotionFixture::clearFaults()
{
    for (const auto& it : m_group.targets) {
        setPartitioned(it.id, false);
        m_targets.setFrozen(it.id, false);
        m_targets.setDown(it.id, false);
    }
    m_loop.advance(recoveryTime);
}

std::set<std::string> PromotionFixture::lostWrites()
{
    clearFaults();
    for (const auto& it : m_daemons)
        it->stopWriting();
    m_loop.advance(Milliseconds(4000));
    std::set<std::string> survived;
    for (const auto& commit : model().survivingLog()) {
        for (const auto& it : commit.ledger)
            survived.insert(it.key.request.value());
    }
    std::set<std::string> lost;
    std::vector<const std::map<RequestId, Instant>*> all { &m_acknowledgedByKilled };
    for (const auto& it : m_daemons)
        all.push_back(&it->acknowledged());
    for (const auto* acknowledged : all) {
        for (const auto& it : *acknowledged) {
            if (survived.count(it.first.value()) == 0)
                lost.insert(it.first.value());
        }
    }
    return lost;
}

std::set<uint64_t> PromotionFixture::termsWithTwoPrimaries()
{
    std::map<uint64_t, std::set<TargetId>> primaries;
    for (const auto& it : model().history()) {
        if (it.operation != TargetOperation::Read)
            primaries[it.term.value()].insert(it.target);
    }
    std::set<uint64_t> terms;
    for (const auto& it : primaries) {
        if (it.second.size() > 1)
            terms.insert(it.first);
    }
    return terms;
}

size_t PromotionFixture::promotions()
{
    return promotedTargets().size();
}

std::map<uint64_t, TargetId> PromotionFixture::promotedTargets()
{
    std::map<uint64_t, TargetId> primaries;
    for (const auto& it : model().history()) {
        if (it.operation == TargetOperation::Promote)
            primaries[it.term.value()] = it.target;
    }
    return primaries;
}

}
