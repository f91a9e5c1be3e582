#include "operations/NodeStatus.h"

namespace parsleypaddle {

namespace {

    constexpr Milliseconds noStatusReceived { -1 };

    TargetReport makeTargetReport(Node& node, const TargetConfiguration& target, const TargetView* view, Instant now)
    {
        TargetReport report;
        report.target = target.id;
        report.failureDomain = target.failureDomain;
        const auto& homes = node.membership().rankedDaemonsFor(target);
        if (!homes.empty())
            report.home = homes.front();
        report.statusReceivedAgo = noStatusReceived;
        if (!view)
            return report;
        report.status = view->status;
        report.isSuspect = view->isSuspect;
        if (view->lastAnswerAt > Instant())
            report.statusReceivedAgo = now - view->lastAnswerAt;
        return report;
    }

    GroupReport makeGroupReport(Node& node, const GroupConfiguration& group, Instant now)
    {
        const GroupView& view = node.view(group.database);
        GroupReport report;
        report.database = group.database;
        report.term = view.term;
        report.primary = view.primary;
        for (const auto& it : group.targets)
            report.targets.push_back(makeTargetReport(node, it, view.find(it.id), now));
        return report;
    }

}

DaemonStatus collectDaemonStatus(Node& node, const ConfigurationStore& store, Instant now)
{
    DaemonStatus status;
    status.instance = node.membership().self().instance;
    status.failureDomain = node.membership().self().failureDomain;
    status.version = store.digest().version;
    status.changeId = store.digest().changeId;
    status.isDraining = node.isDraining();
    status.requestsInFlight = node.entry().requestsInFlight();
    status.instances = node.membership().instances();
    for (const auto& it : store.current()->groups) {
        // With hundreds of groups, a daemon receives the state of only a few; the others would only add empty entries.
        const bool isKnown = node.homes().viewOf(it.database) || node.view(it.database).term > Term();
        if (isKnown)
            status.groups.push_back(makeGroupReport(node, it, now));
    }
    return status;
}

}
