#pragma once

#include "leases/LeaseRow.h"

#include <map>
#include <optional>
#include <vector>

namespace parsleypaddle {

/// The grants that a daemon has given to its subscribers under its own lease. A grant lets a subscriber use primaries until it
/// expires. Each subscriber has confirmed the changes of primary up to one version of the epoch row. Does no I/O.
class GrantRegister {
public:
    /// Adds a subscriber, or notes that it has connected again. Processes of one instance are separate subscribers: a delayed
    /// message of an earlier process must not end the grant of the present one.
    void add(const LeaseMember&, const std::string& incarnation, Instant now);
    /// Removes a subscriber that has stopped using its grant. Ignored for another incarnation than the listed one.
    void remove(const InstanceId&, const std::string& incarnation);
    /// Records what a subscriber has reported.
    void update(const InstanceId&, const std::string& incarnation, RowVersion epoch, uint32_t sessions, Instant now);
    /// Records a grant that ends at `until`. Returns false for an unknown subscriber, which must not be granted anything.
    bool grant(const InstanceId&, const std::string& incarnation, Instant until);

    /// Drops subscribers whose grants have expired and that have not reported for some seconds.
    void expire(Instant now);

    bool isEmpty() const { return m_members.empty(); }
    bool hasGrants(Instant now) const;
    /// When the last grant of a subscriber that has not confirmed `epoch` expires; nullopt if there is none.
    std::optional<Instant> unconfirmedUntil(RowVersion epoch, Instant now) const;
    std::vector<LeaseMember> members() const;

private:
    struct Member {
        LeaseMember description;
        RowVersion epoch;
        Instant reportedAt;
        Instant grantedUntil;
    };

    using Process = std::pair<InstanceId, std::string>;

    Member* find(const InstanceId&, const std::string& incarnation);

    std::map<Process, Member> m_members;
};

}
