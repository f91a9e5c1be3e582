#pragma once

#include "homes/HomeService.h"

#include <map>

namespace parsleypaddle {

/// Calls this daemon's own homes directly and others through the port. A peer that leaves calls unanswered is
/// pinged; when that too goes unanswered, its calls end as PeerSilent instead of waiting for their deadlines, and it
/// counts as silent until a ping is answered.
class WatchedHomes final : public HomePort {
public:
    WatchedHomes(EventLoop&, HomeService& own, HomePort& peers, Membership&);
    ~WatchedHomes() override;

    void call(const InstanceId&, const HomeCall&, Done) override;

    /// A reply without content.
    static HomeReply replyOf(const RequestId&, ResultCode);

private:
    struct Pending {
        RequestId request;
        Done done;
    };

    struct Peer {
        Instant lastHeard;
        bool isPinged { false };
        /// The last call went unanswered; it is pinged until it answers, so that no request has to find out.
        bool isSilent { false };
        Instant pingedAt;
        std::map<uint64_t, Pending> pending;
    };

    void haveReply(const InstanceId&, uint64_t id, HomeReply);
    void noteAnswer(const InstanceId&, ResultCode);
    void checkPeers();
    void ping(const InstanceId&, Peer&);
    void giveUp(const InstanceId&);

    EventLoop& m_loop;
    HomeService& m_own;
    HomePort& m_peers;
    Membership& m_membership;
    std::map<InstanceId, Peer> m_calls;
    uint64_t m_lastCall { 0 };
    TimerId m_checkTimer { TimerId::None };
};

}
