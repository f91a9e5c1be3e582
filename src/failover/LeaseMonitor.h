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

/// The leases of all daemons as of one read, including those that have expired.
struct LeaseTable {
    struct Entry {
        InstanceId instance;
        LeaseRow lease;
        RowVersion version;
        /// Of its row.
        std::string key {};
    };

    /// One for each row. An instance may have several, of which all but one belong to processes that have ended.
    std::vector<Entry> entries;
    /// As of which version the leases were read.
    RowVersion version;
    Instant platformTime;

    /// Whether no daemon can still use a primary under a lease of this era, if the primary's change began with version `epoch` of the
    /// epoch row: every lease was renewed later or has expired. False for an epoch of another era.
    bool isReleasedByAll(RowVersion epoch) const;
    /// Whether the daemon's process with this incarnation holds a lease that has not expired.
    bool hasValidLease(const InstanceId&, const std::string& incarnation) const;
};

/// Another daemon that held a lease, by a row or by a grant, when the leases were last read.
struct Peer {
    InstanceId instance;
    PeerEndpoint addresses;
    /// Whether it holds a row of the lease table, which has not expired.
    bool holdsRow { false };
};

/// Reads all leases periodically and derives from them the live daemons, the voters of each group, and this daemon's share of
/// the connections. When the platform returns from a copy, the values below stay as they are until the holders have renewed their
/// leases. Daemons that hold rows are holders; the others are listed in the rows of the holders that grant them leases.
class LeaseMonitor {
public:
    using Done = std::function<void(const absl::StatusOr<LeaseTable>&)>;

    /// `platform` answers with the present leases. `recent` is used for the periodic reads, and may answer with leases that
    /// are some seconds old.
    LeaseMonitor(EventLoop&, PlatformRows& platform, PlatformRows& recent, InstanceId own);

    /// Begins to read the leases periodically. Calls `changed` after each successful read.
    void start(std::function<void()> changed);

    /// Reads the leases now, and updates the values below if that succeeds.
    void read(Done);

    /// Sets whether this daemon holds a row. It may be missing from the leases that were last read.
    void setOwnHoldsRow(bool holdsRow) { m_ownHoldsRow = holdsRow; }

    /// Number of daemons whose leases had not expired at the last read, always including this one.
    uint32_t liveDaemonCount() const { return m_daemonCount; }
    /// Number of those that hold rows, including this one if it does.
    uint32_t holderCount() const { return m_holderCount; }
    /// The daemons whose suspicions decide whether the group's primary is replaced: at most nine holders, taken from all failure
    /// domains in turn. Eligible are this daemon, if it holds a row, and those that had renewed theirs recently at the last read. In a
    /// small fleet all eligible daemons are voters.
    std::set<InstanceId> votersFor(const GroupId&) const;
    /// This daemon's share of each target's connections, between 0 and 1. Half of the connections are divided equally among
    /// the daemons, the other half in proportion to their callers' sessions. Without sessions, all are divided equally.
    double connectionShare() const { return m_share; }
    /// The other live daemons that have published an address.
    const std::vector<Peer>& peers() const { return m_peers; }
    /// This daemon's rank among the holders, by which daemons delay their actions on a group. Holders that have read the
    /// same leases have distinct ranks if each of them holds a valid lease among these. Which daemon comes first depends on the
    /// group.
    uint32_t rankFor(const GroupId&) const;

private:
    void refresh();
    void readFrom(PlatformRows&, Done);
    void applyTable(const LeaseTable&);
    /// When the leases are the first ones of a later era, keeps the values derived from the earlier ones for some seconds: the leases of
    /// the copy have expired, so that live daemons seem to have none.
    void noteEra(PlatformEra);
    LeaseRow malformedLease(const StoredRow&, Instant platformTime);
    void applyHolders(const LeaseTable&);
    void applySessions(const LeaseTable&);

    EventLoop& m_loop;
    PlatformRows& m_platform;
    PlatformRows& m_recent;
    InstanceId m_own;
    bool m_ownHoldsRow { true };
    std::function<void()> m_changed;
    uint32_t m_daemonCount { 1 };
    uint32_t m_holderCount { 1 };
    /// Holders that renewed their leases less than half of the lease duration before the last read, with their failure domains.
    std::vector<std::pair<InstanceId, FailureDomainId>> m_recentlyRenewed;
    FailureDomainId m_ownDomain;
    uint32_t m_position { 0 };
    double m_share { 1 };
    std::vector<Peer> m_peers;
    PlatformEra m_era;
    /// Until then the values derived from earlier leases stay as they are.
    Instant m_keptUntil;
    struct MalformedRow {
        RowVersion version;
        Instant since;
    };

    /// By key, when each row that cannot be decoded was first read in its present version, by the platform's clock.
    std::map<std::string, MalformedRow> m_malformed;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
