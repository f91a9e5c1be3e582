#include "node/MonitoredHomeClient.h"

namespace parsleypaddle {

namespace {

    constexpr Milliseconds checkInterval { 100 };
    constexpr Milliseconds silenceBeforePing { 300 };
    constexpr Milliseconds pingTimeout { 700 };
    /// Time between pings of a silent peer. Shorter than the period for which Membership keeps a peer marked as silent, so
    /// that the mark is renewed before it expires.
    constexpr Milliseconds probeInterval { 1000 };

    bool isPeerFailure(ResultCode code)
    {
        return code == ResultCode::PeerUnreachable || code == ResultCode::PeerSilent;
    }

}

MonitoredHomeClient::MonitoredHomeClient(EventLoop& loop, HomeService& localHomes, HomeClient& peers, Membership& membership)
    : m_loop(loop)
    , m_localHomes(localHomes)
    , m_peerPort(peers)
    , m_membership(membership)
{
    m_checkTimer = m_loop.after(checkInterval, [this] { checkPeers(); });
}

MonitoredHomeClient::~MonitoredHomeClient()
{
    m_loop.cancel(m_checkTimer);
}

void MonitoredHomeClient::call(const InstanceId& instance, const HomeCall& call, Done done)
{
    if (instance == m_membership.self().instance)
        return m_localHomes.execute(call, std::move(done));
    PeerState& peer = m_peerStates[instance];
    if (peer.pendingCalls.empty())
        peer.waitingSince = m_loop.now();
    const uint64_t id = ++m_lastCallId;
    peer.pendingCalls[id] = { call.request.id, std::move(done) };
    m_peerPort.call(instance, call, [this, instance, id](HomeReply reply) { completeCall(instance, id, std::move(reply)); });
}

HomeReply MonitoredHomeClient::makeEmptyReply(const RequestId& request, ResultCode code)
{
    HomeReply reply;
    reply.answer.id = request;
    reply.answer.code = code;
    return reply;
}

void MonitoredHomeClient::completeCall(const InstanceId& instance, uint64_t id, HomeReply reply)
{
    recordReachability(instance, reply.answer.code);
    auto pendingCall = m_peerStates[instance].pendingCalls.extract(id);
    if (!pendingCall.empty())
        pendingCall.mapped().done(std::move(reply));
}

void MonitoredHomeClient::recordReachability(const InstanceId& instance, ResultCode code)
{
    PeerState& peer = m_peerStates[instance];
    peer.isSilent = isPeerFailure(code);
    if (peer.isSilent)
        return m_membership.reportUnresponsive(instance);
    peer.waitingSince = m_loop.now();
    m_membership.reportResponsive(instance);
}

void MonitoredHomeClient::checkPeers()
{
    const Instant now = m_loop.now();
    for (auto it = m_peerStates.begin(); it != m_peerStates.end();) {
        PeerState& peer = it->second;
        const bool isMember = m_membership.find(it->first) != nullptr;
        if (!isMember && peer.pendingCalls.empty() && !peer.isPingPending) {
            it = m_peerStates.erase(it);
            continue;
        }
        const bool isOverdue = !peer.pendingCalls.empty() && peer.waitingSince <= now - silenceBeforePing;
        const bool isProbeDue = isMember && peer.isSilent && peer.pingedAt <= now - probeInterval;
        if (!peer.isPingPending && (isOverdue || isProbeDue))
            ping(it->first, peer);
        ++it;
    }
    m_checkTimer = m_loop.after(checkInterval, [this] { checkPeers(); });
}

void MonitoredHomeClient::ping(const InstanceId& instance, PeerState& peer)
{
    peer.isPingPending = true;
    peer.pingedAt = m_loop.now();
    HomeCall call;
    call.operation = HomeOperation::Ping;
    call.request.deadline = m_loop.now() + pingTimeout;
    m_loop.after(Milliseconds(0), [this, instance, call] {
        m_peerPort.call(instance, call, [this, instance](const HomeReply& reply) {
            PeerState& pingedPeer = m_peerStates[instance];
            pingedPeer.isPingPending = false;
            recordReachability(instance, reply.answer.code);
            if (isPeerFailure(reply.answer.code))
                failPendingCalls(instance);
        });
    });
}

// The peer may have executed these calls. PeerSilent reports that as an unknown outcome, and each request execution decides
// whether to retry.
void MonitoredHomeClient::failPendingCalls(const InstanceId& instance)
{
    std::map<uint64_t, PendingCall> pendingCalls;
    pendingCalls.swap(m_peerStates[instance].pendingCalls);
    for (auto& [id, it] : pendingCalls)
        it.done(makeEmptyReply(it.request, ResultCode::PeerSilent));
}

}
