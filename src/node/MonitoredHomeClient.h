#pragma once

#include "homes/HomeService.h"

#include <map>

namespace parsleypaddle {

/// Passes calls to this daemon's own homes directly and calls to peers through the peer port, and monitors the peers. A
/// peer that leaves calls unanswered is pinged. If the ping is not answered either, the peer's pending calls end with
/// PeerSilent without waiting for their deadlines, and the peer counts as silent until it answers a call or a ping.
class MonitoredHomeClient final : public HomeClient {
public:
    MonitoredHomeClient(EventLoop&, HomeService& localHomes, HomeClient& peers, Membership&);
    ~MonitoredHomeClient() override;

    void call(const InstanceId&, const HomeCall&, Done) override;

    /// A reply that carries only the request's id and a result code.
    static HomeReply makeEmptyReply(const RequestId&, ResultCode);

private:
    struct PendingCall {
        RequestId request;
        Done done;
    };

    struct PeerState {
        /// When the peer last answered, or when the first of the pending calls was sent if that was later.
        Instant waitingSince;
        bool isPingPending { false };
        /// Whether the last call or ping ended with PeerUnreachable or PeerSilent. A silent member is pinged until it answers,
        /// so that its recovery is detected without delaying a request.
        bool isSilent { false };
        Instant pingedAt;
        std::map<uint64_t, PendingCall> pendingCalls;
    };

    void completeCall(const InstanceId&, uint64_t id, HomeReply);
    void recordReachability(const InstanceId&, ResultCode);
    void checkPeers();
    void ping(const InstanceId&, PeerState&);
    void failPendingCalls(const InstanceId&);

    EventLoop& m_loop;
    HomeService& m_localHomes;
    HomeClient& m_peerPort;
    Membership& m_membership;
    std::map<InstanceId, PeerState> m_peerStates;
    uint64_t m_lastCallId { 0 };
    TimerId m_checkTimer { TimerId::None };
};

}
