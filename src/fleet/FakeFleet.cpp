#include "fleet/FakeFleet.h"

#include <cassert>

namespace parsleypaddle {

struct FakeFleet::Daemon {
    explicit Daemon(EventLoop& shared)
        : loop(shared)
    {
    }

    InstanceEntry entry;
    NodeLoop loop;
    std::unique_ptr<FleetConnector> connector;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<Node> node;
};

/// Calls between daemons: delayed, lost when cut, refused at once by the address of a dead daemon.
class FakeFleet::Peers final : public HomeClient {
public:
    Peers(FakeFleet& fleet, Daemon& self)
        : m_fleet(fleet)
        , m_self(self)
    {
    }

    void call(const InstanceId& instance, const HomeCall& call, Done done) override
    {
        auto pending = std::make_shared<Done>(std::move(done));
        const RequestId request = call.request.id;
        const Milliseconds limit = call.request.deadline - m_self.loop.now();
        const TimerId timer = m_self.loop.after(limit, [pending, request] { answer(pending, failure(request, ResultCode::PeerSilent)); });
        auto reply = [this, pending, timer](HomeReply value) {
            m_self.loop.cancel(timer);
            answer(pending, std::move(value));
        };
        Daemon& peer = *m_fleet.m_daemons[m_fleet.indexOf(instance)];
        const Milliseconds delay = m_fleet.delayBetween(m_self, peer);
        m_fleet.m_loop.after(delay, [this, &peer, call, delay, request, reply] {
            if (m_fleet.isCut(m_self, peer))
                return;
            if (peer.loop.isStopped())
                return sendBack(peer, delay, failure(request, ResultCode::PeerUnreachable), reply);
            peer.loop.run([this, &peer, call, delay, reply] {
                peer.node->handleHomeCall(call, [this, &peer, delay, reply](HomeReply value) { sendBack(peer, delay, std::move(value), reply); });
            });
        });
    }

private:
    static void answer(const std::shared_ptr<Done>& pending, HomeReply reply)
    {
        Done done;
        std::swap(done, *pending);
        if (done)
            done(std::move(reply));
    }

    static HomeReply failure(const RequestId& request, ResultCode code)
    {
        HomeReply reply;
        reply.answer.id = request;
        reply.answer.code = code;
        return reply;
    }

    void sendBack(const Daemon& peer, Milliseconds delay, HomeReply value, const std::function<void(HomeReply)>& reply)
    {
        m_fleet.m_loop.after(delay, [this, &peer, value = std::move(value), reply] {
            if (!m_fleet.isCut(m_self, peer))
                m_self.loop.run([value, reply] { reply(value); });
        });
    }

    FakeFleet& m_fleet;
    Daemon& m_self;
};

FakeFleet::FakeFleet(EventLoop& loop, FakeTargets& targets, FakeFleetSettings settings, const std::shared_ptr<const Configuration>& configuration)
    : m_loop(loop)
    , m_settings(std::move(settings))
{
    const size_t count = m_settings.domains.size() * m_settings.daemonsPerDomain;
    for (size_t n = 0; n < count; ++n) {
        auto daemon = std::make_unique<Daemon>(loop);
        daemon->entry.instance = InstanceId("daemon-" + std::to_string(n));
        daemon->entry.failureDomain = m_settings.domains[n % m_settings.domains.size()];
        daemon->connector = std::make_unique<FleetConnector>(daemon->loop, targets.connectorIn(daemon->entry.failureDomain));
        daemon->peers = std::make_unique<Peers>(*this, *daemon);
        NodeSettings node = m_settings.node;
        node.self = daemon->entry;
        node.tokenKeys = { { "k1", "the fake fleet's token key" } };
        node.seed = m_settings.seed + n;
        auto created = Node::create({ daemon->loop, *daemon->connector, *daemon->peers }, std::move(node));
        assert(created.ok());
        daemon->node = std::move(*created);
        m_daemons.push_back(std::move(daemon));
    }
    publishList();
    setConfiguration(configuration);
}

FakeFleet::~FakeFleet() = default;

Node& FakeFleet::node(size_t n)
{
    return *m_daemons[n]->node;
}

const FailureDomainId& FakeFleet::domainOf(size_t n) const
{
    return m_daemons[n]->entry.failureDomain;
}

bool FakeFleet::isDead(size_t n) const
{
    return m_daemons[n]->loop.isStopped();
}

size_t FakeFleet::indexOf(const InstanceId& instance) const
{
    size_t n = 0;
    while (n < m_daemons.size() && m_daemons[n]->entry.instance != instance)
        ++n;
    return n;
}

void FakeFleet::handle(size_t n, StatementRequest request, Entry::Done done)
{
    Daemon& daemon = *m_daemons[n];
    daemon.loop.run([&daemon, request = std::move(request), done = std::move(done)] { daemon.node->handleRequest(request, done); });
}

void FakeFleet::setConfiguration(const std::shared_ptr<const Configuration>& configuration)
{
    for (const auto& it : m_daemons)
        it->loop.run([&it, configuration] { it->node->setConfiguration(configuration); });
}

void FakeFleet::kill(size_t n)
{
    m_daemons[n]->loop.stop();
    m_daemons[n]->connector->closeAll();
}

void FakeFleet::setPaused(size_t n, bool isPaused)
{
    m_daemons[n]->loop.setPaused(isPaused);
}

void FakeFleet::setCut(const FailureDomainId& a, const FailureDomainId& b, bool isCut)
{
    for (const auto& pair : { std::make_pair(a, b), std::make_pair(b, a) }) {
        if (isCut)
            m_cuts.insert(pair);
        else
            m_cuts.erase(pair);
    }
}

void FakeFleet::publishList(const std::vector<TargetId>& leavingTargets)
{
    PlatformList list;
    list.leavingTargets = leavingTargets;
    for (const auto& it : m_daemons) {
        if (!it->loop.isStopped())
            list.instances.push_back(it->node->membership().self());
    }
    for (const auto& it : m_daemons)
        it->loop.run([&it, list] { it->node->setPlatformList(list); });
}

bool FakeFleet::isCut(const Daemon& a, const Daemon& b) const
{
    return m_cuts.count({ a.entry.failureDomain, b.entry.failureDomain }) > 0;
}

Milliseconds FakeFleet::delayBetween(const Daemon& a, const Daemon& b) const
{
    return a.entry.failureDomain == b.entry.failureDomain ? m_settings.nearDelay : m_settings.farDelay;
}

}
