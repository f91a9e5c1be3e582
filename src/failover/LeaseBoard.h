#pragma once

#include "base/EventLoop.h"
#include "leases/LeaseRow.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace parsleypaddle {

/// Every daemon's lease, as of one moment.
struct LeaseTable {
    struct Entry {
        LeaseRow lease;
        RowVersion version;
    };

    std::map<InstanceId, Entry> entries;
    Instant platformTime;

    /// Whether no daemon can still use a primary that was closed by `epoch`.
    bool isReleased(RowVersion epoch) const;
    /// Whether the process holds a lease that has not ended.
    bool hasValidLease(const InstanceId&, const std::string& incarnation) const;
};

/// Another living daemon.
struct Peer {
    InstanceId instance;
    PeerAddresses addresses;
};

/// Which daemons live, read from their leases now and then.
class LeaseBoard {
public:
    using Done = std::function<void(const absl::StatusOr<LeaseTable>&)>;

    LeaseBoard(EventLoop&, PlatformRows&, InstanceId own);

    void start(std::function<void()> changed);

    /// Reads the leases now.
    void read(Done);

    /// Daemons whose leases have not ended, this one included.
    uint32_t daemons() const { return m_daemons; }
    /// The daemons whose word decides whether a group's primary is lost: a few of those heard lately, of every failure
    /// domain; all of them in a small fleet.
    std::set<InstanceId> votersFor(const GroupId&) const;
    /// This daemon's part of what all share, between 0 and 1: half in equal parts, half by callers' sessions.
    double share() const { return m_share; }
    /// Where the other living daemons are reached.
    const std::vector<Peer>& peers() const { return m_peers; }
    /// This daemon's place among them, the same for all who see the same leases, and another for each group.
    uint32_t rankFor(const GroupId&) const;

private:
    void refresh();
    void take(const LeaseTable&);

    EventLoop& m_loop;
    PlatformRows& m_platform;
    InstanceId m_own;
    std::function<void()> m_changed;
    uint32_t m_daemons { 1 };
    /// Daemons heard lately, with their failure domains.
    std::vector<std::pair<InstanceId, FailureDomainId>> m_heard;
    FailureDomainId m_ownDomain;
    uint32_t m_place { 0 };
    double m_share { 1 };
    std::vector<Peer> m_peers;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
