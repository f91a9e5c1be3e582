#include "tool/Commands.h"
#include "tool/FleetCaller.h"
#include "tool/TextTable.h"

#include <cmath>
#include <map>
#include <ostream>

namespace parsleypaddle {

namespace {

    using GroupReports = std::map<std::string, GroupReport>;

    bool isFresher(const TargetReport& a, const TargetReport& b)
    {
        if (a.statusReceivedAgo < Milliseconds(0))
            return false;
        return b.statusReceivedAgo < Milliseconds(0) || a.statusReceivedAgo < b.statusReceivedAgo;
    }

    // Daemons know different things at different times: the highest term counts, and of each target what was heard last.
    void merge(GroupReport& known, const GroupReport& other)
    {
        if (other.term > known.term || (other.term == known.term && known.primary.isEmpty())) {
            known.term = other.term;
            known.primary = other.primary;
        }
        for (size_t n = 0; n < known.targets.size() && n < other.targets.size(); ++n) {
            if (isFresher(other.targets[n], known.targets[n]))
                known.targets[n] = other.targets[n];
        }
    }

    GroupReports mergeGroups(const std::vector<FleetMember>& members)
    {
        GroupReports groups;
        for (const auto& member : members) {
            if (!member.status.ok())
                continue;
            for (const auto& it : member.status->groups) {
                const auto [found, isNew] = groups.emplace(it.database.value(), it);
                if (!isNew)
                    merge(found->second, it);
            }
        }
        return groups;
    }

    std::string roundedMilliseconds(Milliseconds duration)
    {
        return duration < Milliseconds(0) ? "never" : std::to_string(std::llround(duration.count())) + "ms";
    }

    void printDaemons(ToolContext& context, const std::vector<FleetMember>& members)
    {
        TextTable table({ "daemon", "control address", "failure domain", "version", "in flight", "state" });
        for (const auto& it : members) {
            const std::string address = it.address.host + ":" + std::to_string(it.address.port);
            if (!it.status.ok()) {
                table.add({ it.instance.value(), address, "", "", "", "no answer: " + std::string(it.status.status().message()) });
                continue;
            }
            const DaemonStatus& status = *it.status;
            table.add({ status.instance.value(), address, status.failureDomain.value(), std::to_string(status.version.value()), std::to_string(status.requestsInFlight), status.isDraining ? "draining" : "serving" });
        }
        table.print(context.ports.out);
    }

    std::string stateOf(const TargetReport& target, const GroupReport& group)
    {
        std::string state = target.target == group.primary ? "primary" : "replica";
        if (target.status.isLeaving)
            state += ", leaving";
        if (target.isSuspect)
            state += ", suspect";
        return state;
    }

    void printGroups(ToolContext& context, const GroupReports& groups)
    {
        TextTable table({ "group", "term", "target", "role", "position", "lag", "heard", "home" });
        for (const auto& [name, group] : groups) {
            for (const auto& it : group.targets)
                table.add({ name, std::to_string(group.term.value()), it.target.value(), stateOf(it, group), std::to_string(it.status.position.value()), roundedMilliseconds(it.status.age), roundedMilliseconds(it.statusReceivedAgo), it.home.value() });
        }
        table.print(context.ports.out);
    }

    void printAsJson(ToolContext& context, const std::vector<FleetMember>& members, const GroupReports& groups)
    {
        Json::Value value;
        value["daemons"] = Json::Value(Json::arrayValue);
        for (const auto& it : members) {
            Json::Value daemon;
            if (it.status.ok()) {
                daemon = toJson(*it.status);
                daemon.removeMember("groups");
                daemon.removeMember("instances");
            } else {
                daemon["instance"] = it.instance.value();
                daemon["error"] = std::string(it.status.status().message());
            }
            daemon["control_address"] = it.address.host + ":" + std::to_string(it.address.port);
            value["daemons"].append(daemon);
        }
        DaemonStatus merged;
        for (const auto& it : groups)
            merged.groups.push_back(it.second);
        value["groups"] = toJson(merged)["groups"];
        printJson(context, value);
    }

}

ExitCode runStatus(ToolContext& context)
{
    const auto members = findFleet(context);
    if (!members.ok())
        return fail(context, members.status());
    const GroupReports groups = mergeGroups(*members);
    if (context.options.isJson) {
        printAsJson(context, *members, groups);
        return ExitCode::Done;
    }
    printDaemons(context, *members);
    if (!groups.empty()) {
        context.ports.out << '\n';
        printGroups(context, groups);
    }
    return ExitCode::Done;
}

}
