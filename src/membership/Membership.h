#pragma once

#include "base/EventLoop.h"
#include "configuration/Configuration.h"
#include "platform_ports/PlatformPorts.h"

#include <map>
#include <optional>

namespace parsleypaddle {

/// Which daemons live, and which of them is the home of each target. Daemons need not agree: targets guard
/// themselves, and each rank has its own share of a target's connections.
class Membership {
public:
    /// Homes of a target at most: more than it needs at a time, with some to spare for silent ones.
    static constexpr size_t homesPerTarget = 8;

    Membership(const EventLoop&, InstanceEntry self);

    const InstanceEntry& self() const { return m_self; }

    /// Takes over the platform's list. This daemon itself is always a member.
    void setList(const PlatformList&);

    /// Takes over what a peer said of itself, such as that it is leaving.
    void setLeaving(const InstanceId&);

    /// This daemon itself is leaving.
    void setSelfLeaving();

    /// A call to the instance went unanswered: it ranks behind the others for a while.
    void reportSilent(const InstanceId&);
    void reportAnswer(const InstanceId&);

    /// Whether the instance left a call unanswered a short while ago.
    bool isSilent(const InstanceId&) const;

    /// All members, leaving and silent ones included.
    std::vector<InstanceEntry> instances() const;
    const InstanceEntry* find(const InstanceId&) const;

    /// Whether the platform's list names the target as leaving.
    bool isLeaving(const TargetId&) const;

    /// The first few daemons that may be the target's home, best first: those of its failure domain by rendezvous hash, then
    /// the others; silent ones behind those, leaving ones last.
    const std::vector<InstanceId>& homesOf(const TargetConfiguration&) const;

    /// The first few daemons that may be the home of a whole group, over all failure domains, by the same order.
    const std::vector<InstanceId>& homesOf(const GroupId&) const;

    /// This daemon's place in homesOf(); nullopt when it is not a member.
    std::optional<uint32_t> rankFor(const TargetConfiguration&) const;
    std::optional<uint32_t> rankFor(const GroupId&) const;

    /// Grows with each change of the ranking, the end of a remembered silence included.
    uint64_t generation() const;

    /// The daemons that watch the group and may change its primary, in the order in which they move.
    std::vector<InstanceId> watchersOf(const GroupConfiguration&) const;

private:
    struct Member {
        InstanceEntry entry;
        std::optional<Instant> silentSince;
    };

    bool isSilent(const Member&) const;
    std::optional<uint32_t> placeIn(const std::vector<InstanceId>& homes) const;
    void setChanged() const;
    void forgetOldSilences() const;
    const std::vector<InstanceId>& ranked(const std::string& key, const FailureDomainId& preferred) const;
    std::vector<InstanceId> rank(const std::string& key, const FailureDomainId& preferred) const;

    const EventLoop& m_loop;
    InstanceEntry m_self;
    std::map<InstanceId, Member> m_members;
    std::vector<TargetId> m_leavingTargets;
    /// Rankings computed since the last change: with hundreds of daemons they are too dear for every request.
    mutable std::map<std::string, std::vector<InstanceId>> m_rankings;
    mutable uint64_t m_generation { 1 };
    mutable std::optional<Instant> m_nextSilenceEnd;
};

}
