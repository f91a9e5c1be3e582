#include "node/Node.h"

#include "node/MonitoredHomeClient.h"

namespace parsleypaddle {

namespace {

    constexpr Milliseconds membershipCheckInterval { 100 };

}

absl::StatusOr<std::unique_ptr<Node>> Node::create(const NodePorts& ports, NodeSettings settings)
{
    auto sealer = TokenSigner::create(settings.tokenKeys);
    if (!sealer.ok())
        return sealer.status();
    // The seed differs between daemons, so that daemons whose promotions of the same group failed at the same time retry after
    // different delays.
    settings.home.promoter.seed = settings.seed;
    return std::unique_ptr<Node>(new Node(ports, std::move(settings), std::move(*sealer)));
}

Node::Node(const NodePorts& ports, NodeSettings settings, TokenSigner sealer)
    : m_ports(ports)
    , m_settings(std::move(settings))
    , m_sealer(std::move(sealer))
    , m_membership(ports.loop, m_settings.self)
    , m_homes(ports.loop, ports.targets, m_membership, m_settings.home)
    , m_homePort(std::make_unique<MonitoredHomeClient>(ports.loop, m_homes, ports.peers, m_membership))
{
    m_entry = std::make_unique<Entry>(EntryContext {
        ports.loop,
        m_membership,
        *m_homePort,
        m_sealer,
        m_settings.entry,
        nullptr,
        {},
        ReadRouter::create(m_settings.self.failureDomain, m_settings.seed),
        RetryBudget(),
        std::mt19937_64(m_settings.seed),
        [this](const EntryDecision& decision) {
            if (m_onDecision)
                m_onDecision(decision);
        } });
    m_membershipTimer = ports.loop.after(membershipCheckInterval, [this] { applyMembershipChanges(); });
}

Node::~Node()
{
    m_ports.loop.cancel(m_membershipTimer);
}

void Node::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = configuration;
    m_entry->setConfiguration(configuration);
    m_homes.setConfiguration(std::move(configuration));
}

void Node::setPlatformList(const PlatformList& list)
{
    m_membership.setPlatformList(list);
    applyMembershipChanges();
}

void Node::handleRequest(StatementRequest request, Entry::Done done)
{
    if (const GroupView* own = m_homes.viewOf(request.database))
        m_entry->mergeView(*own);
    m_entry->handleRequest(std::move(request), std::move(done));
}

void Node::handleHomeCall(const HomeCall& call, HomeClient::Done done)
{
    if (call.operation == HomeOperation::Ping)
        return done(MonitoredHomeClient::makeEmptyReply(call.request.id, ResultCode::Done));
    const bool isStepOfOpenTransaction = call.request.transaction && call.request.transaction->step != TransactionStep::Begin;
    if (!isDraining() || isStepOfOpenTransaction)
        return m_homes.execute(call, std::move(done));
    done(MonitoredHomeClient::makeEmptyReply(call.request.id, ResultCode::Draining));
}

void Node::startDraining()
{
    m_membership.setSelfLeaving();
    m_homes.updateMembership();
}

bool Node::isIdle() const
{
    return m_entry->requestsInFlight() == 0 && m_homes.isIdle();
}

const GroupView& Node::view(const DatabaseId& database)
{
    if (const GroupView* own = m_homes.viewOf(database))
        m_entry->mergeView(*own);
    return m_entry->view(database);
}

void Node::onDecision(std::function<void(const EntryDecision&)> onDecision)
{
    m_onDecision = std::move(onDecision);
}

// Updates the rankings of homes after a change of membership. Membership is polled because a peer's silent mark expires
// without a notification.
void Node::applyMembershipChanges()
{
    m_ports.loop.cancel(m_membershipTimer);
    if (m_appliedGeneration != m_membership.generation()) {
        m_appliedGeneration = m_membership.generation();
        m_homes.updateMembership();
    }
    m_membershipTimer = m_ports.loop.after(membershipCheckInterval, [this] { applyMembershipChanges(); });
}

}
