#include "measure/Deployment.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle {

namespace {

    constexpr size_t databases = 3;
    constexpr size_t targetsPerDatabase = 3;
    constexpr double millisecondsPerSecond = 1000;

    Traffic trafficOf(const char* name, Urgency urgency, double greatestAge, double deadline, double weight, double writeShare, double runTime)
    {
        Traffic traffic;
        traffic.workload.name = ClassName(name);
        traffic.workload.urgency = urgency;
        traffic.workload.greatestAge = Milliseconds(greatestAge);
        traffic.workload.deadline = Milliseconds(deadline);
        traffic.weight = weight;
        traffic.writeShare = writeShare;
        traffic.runTime = Milliseconds(runTime);
        return traffic;
    }

    std::shared_ptr<const Configuration> configurationOf(const Deployment& deployment, const std::string& service)
    {
        auto configuration = std::make_shared<Configuration>();
        for (size_t n = 0; n < databases; ++n) {
            GroupConfiguration group;
            group.database = DatabaseId(absl::StrCat(service, "-", n + 1));
            group.slots = deployment.targets.slots;
            group.connections = deployment.targets.connections;
            for (size_t t = 0; t < targetsPerDatabase; ++t) {
                const auto& domain = deployment.domains[(n + t) % deployment.domains.size()];
                group.targets.push_back({ TargetId(absl::StrCat(group.database.value(), "-", domain.value())), {}, domain });
            }
            configuration->groups.push_back(std::move(group));
        }
        for (const auto& it : deployment.traffic)
            configuration->classes.push_back(it.workload);
        return configuration;
    }

    Deployment teranga()
    {
        Deployment made;
        made.name = "teranga";
        for (const char* it : { "plateau", "almadies", "yoff", "hann" })
            made.domains.emplace_back(it);
        made.domainDelay = Milliseconds(1.5);
        made.callerDelay = Milliseconds(1);
        made.targets.slots = 5;
        made.targets.connections = 35;
        made.traffic = {
            trafficOf("fitting", Urgency::Urgent, 500, 1000, 1, 0.4, 2),
            trafficOf("stock", Urgency::Normal, 1000, 2000, 1, 0.3, 2),
            trafficOf("history", Urgency::Deferrable, 5000, 3000, 3, 0, 3),
        };
        made.configuration = configurationOf(made, "fitting-db");
        return made;
    }

    Deployment vizitka()
    {
        Deployment made;
        made.name = "vizitka";
        for (const char* it : { "sof-a", "sof-b", "plv-a", "pern-a" })
            made.domains.emplace_back(it);
        made.domainDelay = Milliseconds(0.5);
        made.callerDelay = Milliseconds(3);
        made.targets.slots = 3;
        made.targets.connections = 40;
        made.traffic = {
            trafficOf("counter", Urgency::Urgent, 500, 1000, 1, 0.4, 2),
            trafficOf("reorder", Urgency::Normal, 1000, 2000, 1, 0.5, 2),
            trafficOf("price", Urgency::Normal, 2000, 2000, 3, 0, 2),
            trafficOf("proof", Urgency::Deferrable, 10'000, 3000, 1, 0, 5),
        };
        made.configuration = configurationOf(made, "orders-db");
        return made;
    }

}

double Deployment::meanRunTime() const
{
    double sum = 0;
    double weights = 0;
    for (const auto& it : traffic) {
        sum += it.weight * it.runTime.count();
        weights += it.weight;
    }
    return sum / weights;
}

double Deployment::capacityOfTarget() const
{
    const double slotTime = meanRunTime() + targets.serviceTime.count() + 2 * targets.nearDelay.count();
    return targets.slots * millisecondsPerSecond / slotTime;
}

std::optional<Deployment> Deployment::find(std::string_view name)
{
    for (auto make : { teranga, vizitka }) {
        Deployment deployment = make();
        if (deployment.name != name)
            continue;
        deployment.targets.farDelay = deployment.domainDelay;
        return deployment;
    }
    return std::nullopt;
}

}
