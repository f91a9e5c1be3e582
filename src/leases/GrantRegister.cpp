#include "leases/GrantRegister.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    /// A subscriber reports several times per second, so one that is silent for this long is gone.
    constexpr Milliseconds memberTimeout { 4000 };

}

void GrantRegister::add(const LeaseMember& description, const std::string& incarnation, Instant now)
{
    Member& member = m_members[{ description.instance, incarnation }];
    member.description = description;
    member.reportedAt = now;
}

void GrantRegister::remove(const InstanceId& instance, const std::string& incarnation)
{
    m_members.erase({ instance, incarnation });
}

void GrantRegister::update(const InstanceId& instance, const std::string& incarnation, RowVersion epoch, uint32_t sessions, Instant now)
{
    Member* member = find(instance, incarnation);
    if (!member)
        return;
    member->epoch = std::max(member->epoch, epoch);
    member->description.sessions = sessions;
    member->reportedAt = now;
}

bool GrantRegister::grant(const InstanceId& instance, const std::string& incarnation, Instant until)
{
    Member* member = find(instance, incarnation);
    if (!member)
        return false;
    member->grantedUntil = std::max(member->grantedUntil, until);
    return true;
}

void GrantRegister::expire(Instant now)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        const bool isGone = it->second.grantedUntil <= now && it->second.reportedAt + memberTimeout <= now;
        it = isGone ? m_members.erase(it) : std::next(it);
    }
}

bool GrantRegister::hasGrants(Instant now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [now](const auto& it) { return it.second.grantedUntil > now; });
}

std::optional<Instant> GrantRegister::unconfirmedUntil(RowVersion epoch, Instant now) const
{
    std::optional<Instant> last;
    for (const auto& [process, member] : m_members) {
        if (member.epoch < epoch && member.grantedUntil > now)
            last = std::max(last.value_or(member.grantedUntil), member.grantedUntil);
    }
    return last;
}

std::vector<LeaseMember> GrantRegister::members() const
{
    std::vector<LeaseMember> members;
    members.reserve(m_members.size());
    for (const auto& [process, member] : m_members)
        members.push_back(member.description);
    return members;
}

GrantRegister::Member* GrantRegister::find(const InstanceId& instance, const std::string& incarnation)
{
    auto it = m_members.find({ instance, incarnation });
    return it == m_members.end() ? nullptr : &it->second;
}

}
