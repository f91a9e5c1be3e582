#pragma once

#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "membership/HomeRanking.h"
#include "platform_ports/PlatformPorts.h"

#include <map>
#include <optional>

namespace parsleypaddle {

/// This daemon and those in the platform's list, and the ranking by which one of them is the home of a target, that is, queues
/// and runs the requests to it. The rankings of different daemons may differ for a while. Writes stay safe because targets check
/// the term of each write themselves. Each rank has its own share of a target's connections, so a target's connection limit may
/// be exceeded while two daemons compute the same rank.
class Membership {
public:
    /// Maximum length of a ranking. Of a target's ranking, only the first maxHomesPerTarget daemons queue and run requests. The
    /// relay may use every daemon in the ranking of a group, and divides the group's connections by this number when there are
    /// too few for all daemons.
    static constexpr size_t rankingLength = 8;

    Membership(const EventLoop&, InstanceEntry self);

    const InstanceEntry& self() const { return m_self; }

    /// Replaces the members by those in the platform's list. This daemon itself always stays a member, and members already
    /// known to be leaving stay marked as leaving.
    void setPlatformList(const PlatformList&);

    /// Marks an instance as leaving, that is, about to shut down. It then ranks behind all instances that are not
    /// leaving.
    void setLeaving(const InstanceId&);

    /// Marks this daemon as leaving.
    void setSelfLeaving();

    /// Records that the instance did not answer a call. It ranks behind the responsive instances for the next 3 seconds,
    /// or until it answers a call.
    void reportUnresponsive(const InstanceId&);

    /// Records that the instance answered a call, so that it no longer ranks as unresponsive.
    void reportResponsive(const InstanceId&);

    /// Whether the instance left a call unanswered in the last 3 seconds and has answered none since.
    bool isUnresponsive(const InstanceId&) const;

    /// All members, including leaving and unresponsive ones.
    std::vector<InstanceEntry> instances() const;
    /// Number of daemons, this one included.
    size_t size() const { return m_members.size(); }
    const InstanceEntry* find(const InstanceId&) const;

    /// Whether the platform's list names the target as leaving.
    bool isLeaving(const TargetId&) const;

    /// The highest-ranked daemons for the target, at most rankingLength, of which the first is its home. The order is:
    /// responsive before unresponsive before leaving daemons, then those of the target's failure domain before the others,
    /// then by rendezvous hash. In a fleet of more than rankingLength daemons the hash is weighted by what the instances can carry.
    const std::vector<InstanceId>& rankedDaemonsFor(const TargetConfiguration&) const;

    /// The highest-ranked daemons for a whole group. A fleet of more than rankingLength daemons takes them from the failure domains
    /// in turn, responsive before unresponsive before leaving ones. In a smaller one the order is the same as for a target, without
    /// preference for a failure domain.
    const std::vector<InstanceId>& rankedDaemonsFor(const GroupId&) const;

    /// This daemon's position in rankedDaemonsFor(), from 0; nullopt when rankedDaemonsFor() does not include it.
    std::optional<uint32_t> rankFor(const TargetConfiguration&) const;
    std::optional<uint32_t> rankFor(const GroupId&) const;

    /// Increases when the rankings may have changed, also when an instance no longer ranks as unresponsive.
    uint64_t generation() const;

    /// The group's watchers, which are the daemons that may promote another target to primary, in the order in which they try
    /// to. They are the homes of all targets, followed by other daemons if these are fewer than three.
    std::vector<InstanceId> watchersOf(const GroupConfiguration&) const;

private:
    struct Member {
        InstanceEntry entry;
        std::optional<Instant> unresponsiveSince;
    };

    bool isSilent(const Member&) const;
    std::optional<uint32_t> ownRankIn(const std::vector<InstanceId>& ranking) const;
    void invalidateRankings() const;
    void expireUnresponsive() const;
    bool isLargeFleet() const { return m_members.size() > rankingLength; }
    const std::vector<InstanceId>& rankingFor(const std::string& key, const FailureDomainId& preferred) const;
    std::vector<RankingCandidate> candidates() const;

    const EventLoop& m_loop;
    InstanceEntry m_self;
    std::map<InstanceId, Member> m_members;
    std::vector<TargetId> m_leavingTargets;
    /// Cached rankings, cleared at each change: with hundreds of daemons they are too expensive to compute for every request.
    mutable std::map<std::string, std::vector<InstanceId>> m_rankings;
    mutable std::map<GroupId, std::vector<InstanceId>> m_groupRankings;
    mutable uint64_t m_generation { 1 };
    /// When the next unresponsive instance ranks normally again; nullopt while there is none.
    mutable std::optional<Instant> m_nextExpiry;
};

}
