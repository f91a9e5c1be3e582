#include "homes/HomeService.h"

#include "base/ResultCode.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds maintenanceInterval { 10 };
    constexpr Milliseconds unusedCheckInterval { 1000 };
    /// A group that this daemon does not watch is retired after this time without a call.
    constexpr Milliseconds unusedGroupTimeout { 10'000 };

    bool isSameTarget(const TargetConfiguration& a, const TargetConfiguration& b)
    {
        return a.id == b.id && a.address.host == b.address.host && a.address.port == b.address.port && a.failureDomain == b.failureDomain;
    }

    bool haveSameTargets(const GroupConfiguration& a, const GroupConfiguration& b)
    {
        return std::equal(a.targets.begin(), a.targets.end(), b.targets.begin(), b.targets.end(), isSameTarget);
    }

}

HomeService::HomeService(EventLoop& loop, TargetConnector& connector, const Membership& membership, const HomeSettings& settings)
    : m_loop(loop)
    , m_connector(connector)
    , m_membership(membership)
    , m_settings(settings)
    , m_startedAt(loop.now())
{
    m_maintenanceTimer = m_loop.after(maintenanceInterval, [this] { runMaintenance(); });
}

HomeService::~HomeService()
{
    m_loop.cancel(m_maintenanceTimer);
}

void HomeService::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    retireChanged();
    updateMembership();
}

void HomeService::updateMembership()
{
    if (!m_configuration)
        return;
    for (const auto& group : m_configuration->groups) {
        const auto watchers = m_membership.watchersOf(group);
        const bool isWatcher = std::find(watchers.begin(), watchers.end(), m_membership.self().instance) != watchers.end();
        if (isWatcher)
            groupMonitor(group);
        auto it = m_groupMonitors.find(group.database);
        if (it != m_groupMonitors.end())
            it->second->updateRank();
        for (const auto& target : group.targets) {
            auto home = m_targetHomes.find(target.id);
            if (home != m_targetHomes.end())
                home->second->setLimits(m_configuration, shareForRank(group, m_membership.rankFor(target).value_or(maxHomesPerTarget)));
        }
    }
}

void HomeService::execute(const HomeCall& call, Done done)
{
    const TargetAndGroup found = findTarget(call.request.database, call.target);
    if (!found.target)
        return refuse(call, makeError(ResultCode::UnknownDatabase, "the configuration of the daemon that serves the target has no such database or target"), nullptr, done);
    const auto rank = m_membership.rankFor(*found.target);
    const bool mayHoldTransaction = call.request.transaction && m_targetHomes.count(call.target) > 0;
    if (!mayHoldTransaction && rank.value_or(maxHomesPerTarget) >= maxHomesPerTarget)
        return refuse(call, makeError(ResultCode::NotHome, "this daemon does not serve the target"), nullptr, done);
    groupMonitor(*found.group).recordUse();
    if (call.operation == HomeOperation::PrimaryPosition)
        return queryPrimaryPosition(call, groupMonitor(*found.group), std::move(done));
    targetHome(found).execute(call, std::move(done));
}

const GroupView* HomeService::viewOf(const DatabaseId& database) const
{
    auto it = m_groupMonitors.find(database);
    return it == m_groupMonitors.end() ? nullptr : &it->second->view();
}

bool HomeService::isIdle() const
{
    return std::all_of(m_targetHomes.begin(), m_targetHomes.end(), [](const auto& it) { return it.second->isIdle(); });
}

HomeService::TargetAndGroup HomeService::findTarget(const DatabaseId& database, const TargetId& target) const
{
    TargetAndGroup found;
    if (!m_configuration)
        return found;
    found.group = m_configuration->findGroup(database);
    if (!found.group)
        return found;
    for (const auto& it : found.group->targets) {
        if (it.id == target)
            found.target = &it;
    }
    return found;
}

GroupMonitor& HomeService::groupMonitor(const GroupConfiguration& group)
{
    auto& monitor = m_groupMonitors[group.database];
    if (!monitor) {
        monitor = std::make_unique<GroupMonitor>(m_loop, m_connector, m_membership, group, m_settings);
        monitor->onPromoted([this](const PromotionReport& report) {
            if (m_promoted)
                m_promoted(report);
        });
    }
    return *monitor;
}

TargetHome& HomeService::targetHome(const TargetAndGroup& found)
{
    auto& home = m_targetHomes[found.target->id];
    if (!home) {
        const std::string prefix = transactionPrefix(m_membership.self().instance, found.target->id, m_startedAt);
        home = std::make_unique<TargetHome>(m_loop, m_connector, groupMonitor(*found.group), *found.target, m_settings, prefix);
        home->setLimits(m_configuration, shareForRank(*found.group, m_membership.rankFor(*found.target).value_or(maxHomesPerTarget)));
        home->onWorkDone([this](const HomeCall& call, const CallMeasurement& times) {
            if (m_observer)
                m_observer(call, times);
        });
    }
    return *home;
}

void HomeService::retireChanged()
{
    for (auto it = m_groupMonitors.begin(); it != m_groupMonitors.end();) {
        const GroupConfiguration* group = m_configuration->findGroup(it->first);
        if (group && haveSameTargets(*group, it->second->configuration())) {
            ++it;
            continue;
        }
        it = retire(it);
    }
}

// When daemons join or leave, other daemons become the homes of some targets, and the previous homes are no longer used. A
// daemon that has just started ranks itself first for every target until it has received the list of the other daemons.
void HomeService::retireUnused()
{
    if (m_loop.now() < m_nextUnusedCheck)
        return;
    m_nextUnusedCheck = m_loop.now() + unusedCheckInterval;
    for (auto it = m_groupMonitors.begin(); it != m_groupMonitors.end();) {
        const bool isNeeded = it->second->isWatcher() || it->second->timeSinceLastUse() < unusedGroupTimeout;
        if (isNeeded)
            ++it;
        else
            it = retire(it);
    }
}

HomeService::GroupMonitors::iterator HomeService::retire(GroupMonitors::iterator it)
{
    std::vector<std::unique_ptr<TargetHome>> homes;
    for (const auto& target : it->second->configuration().targets) {
        auto node = m_targetHomes.extract(target.id);
        if (!node.empty())
            homes.push_back(std::move(node.mapped()));
    }
    it->second->disablePromotion();
    m_retired.emplace_back(std::move(it->second), std::move(homes));
    return m_groupMonitors.erase(it);
}

void HomeService::queryPrimaryPosition(const HomeCall& call, GroupMonitor& group, Done done)
{
    std::weak_ptr<bool> alive = m_alive;
    const DatabaseId database = call.request.database;
    group.control().queryPrimaryPosition(call.request.deadline, [this, alive, call, database, done](absl::StatusOr<PrimaryPosition> position) {
        if (alive.expired())
            return;
        if (!position.ok())
            return refuse(call, position.status(), viewOf(database), done);
        HomeReply reply;
        reply.answer.id = call.request.id;
        reply.answer.code = ResultCode::Done;
        reply.term = position->term;
        reply.position = position->position;
        if (const GroupView* view = viewOf(database))
            reply.view = *view;
        done(std::move(reply));
    });
}

void HomeService::refuse(const HomeCall& call, const absl::Status& status, const GroupView* view, const Done& done)
{
    HomeReply reply;
    reply.answer.id = call.request.id;
    reply.answer.code = resultCodeOf(status);
    reply.answer.message = std::string(status.message());
    if (view)
        reply.view = *view;
    done(std::move(reply));
}

void HomeService::runMaintenance()
{
    retireUnused();
    for (const auto& [id, monitor] : m_groupMonitors)
        monitor->replaceLeavingPrimary();
    for (const auto& [id, home] : m_targetHomes)
        home->runMaintenance();
    auto haveAllEnded = [](const auto& retired) {
        return std::all_of(retired.second.begin(), retired.second.end(), [](const auto& home) { return home->isIdle(); });
    };
    for (auto& it : m_retired) {
        for (auto& home : it.second)
            home->runMaintenance();
    }
    m_retired.erase(std::remove_if(m_retired.begin(), m_retired.end(), haveAllEnded), m_retired.end());
    m_maintenanceTimer = m_loop.after(maintenanceInterval, [this] { runMaintenance(); });
}

}
