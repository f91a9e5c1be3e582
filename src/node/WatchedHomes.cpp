#include "node/WatchedHomes.h"

namespace parsleypaddle {

namespace {

    constexpr Milliseconds checkInterval { 100 };
    constexpr Milliseconds quietBeforePing { 300 };
    constexpr Milliseconds pingTimeout { 700 };
    /// Between pings of a peer that is silent; shorter than its silence is remembered.
    constexpr Milliseconds probeInterval { 1000 };

    bool isOutOfReach(ResultCode code)
    {
        return code == ResultCode::PeerUnreachable || code == ResultCode::PeerSilent;
    }

}

WatchedHomes::WatchedHomes(EventLoop& loop, HomeService& own, HomePort& peers, Membership& membership)
    : m_loop(loop)
    , m_own(own)
    , m_peers(peers)
    , m_membership(membership)
{
    m_checkTimer = m_loop.after(checkInterval, [this] { checkPeers(); });
}

WatchedHomes::~WatchedHomes()
{
    m_loop.cancel(m_checkTimer);
}

void WatchedHomes::call(const InstanceId& instance, const HomeCall& call, Done done)
{
    if (instance == m_membership.self().instance)
        return m_own.handle(call, std::move(done));
    Peer& peer = m_calls[instance];
    if (peer.pending.empty())
        peer.lastHeard = m_loop.now();
    const uint64_t id = ++m_lastCall;
    peer.pending[id] = { call.request.id, std::move(done) };
    m_peers.call(instance, call, [this, instance, id](HomeReply reply) { haveReply(instance, id, std::move(reply)); });
}

HomeReply WatchedHomes::replyOf(const RequestId& request, ResultCode code)
{
    HomeReply reply;
    reply.answer.id = request;
    reply.answer.code = code;
    return reply;
}

void WatchedHomes::haveReply(const InstanceId& instance, uint64_t id, HomeReply reply)
{
    noteAnswer(instance, reply.answer.code);
    auto node = m_calls[instance].pending.extract(id);
    if (!node.empty())
        node.mapped().done(std::move(reply));
}

void WatchedHomes::noteAnswer(const InstanceId& instance, ResultCode code)
{
    Peer& peer = m_calls[instance];
    peer.isSilent = isOutOfReach(code);
    if (peer.isSilent)
        return m_membership.reportSilent(instance);
    peer.lastHeard = m_loop.now();
    m_membership.reportAnswer(instance);
}

void WatchedHomes::checkPeers()
{
    const Instant now = m_loop.now();
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        Peer& peer = it->second;
        const bool isMember = m_membership.find(it->first) != nullptr;
        if (!isMember && peer.pending.empty() && !peer.isPinged) {
            it = m_calls.erase(it);
            continue;
        }
        const bool isQuiet = !peer.pending.empty() && peer.lastHeard <= now - quietBeforePing;
        const bool isProbeDue = isMember && peer.isSilent && peer.pingedAt <= now - probeInterval;
        if (!peer.isPinged && (isQuiet || isProbeDue))
            ping(it->first, peer);
        ++it;
    }
    m_checkTimer = m_loop.after(checkInterval, [this] { checkPeers(); });
}

void WatchedHomes::ping(const InstanceId& instance, Peer& peer)
{
    peer.isPinged = true;
    peer.pingedAt = m_loop.now();
    HomeCall call;
    call.operation = HomeOperation::Ping;
    call.request.deadline = m_loop.now() + pingTimeout;
    m_loop.after(Milliseconds(0), [this, instance, call] {
        m_peers.call(instance, call, [this, instance](const HomeReply& reply) {
            Peer& pinged = m_calls[instance];
            pinged.isPinged = false;
            noteAnswer(instance, reply.answer.code);
            if (isOutOfReach(reply.answer.code))
                giveUp(instance);
        });
    });
}

// Whether these calls ran is not known; what follows is up to their runs.
void WatchedHomes::giveUp(const InstanceId& instance)
{
    std::map<uint64_t, Pending> pending;
    pending.swap(m_calls[instance].pending);
    for (auto& [id, it] : pending)
        it.done(replyOf(it.request, ResultCode::PeerSilent));
}

}
