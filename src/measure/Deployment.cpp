#include "measure/Deployment.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle {

namespace {

    constexpr size_t databases = 3;
    constexpr size_t targetsPerDatabase = 3;
    constexpr double millisecondsPerSecond = 1000;
    using ms = Milliseconds;

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
        made.domains = { FailureDomainId("plateau"), FailureDomainId("almadies"), FailureDomainId("yoff"), FailureDomainId("hann") };
        made.domainDelay = ms(1.5);
        made.callerDelay = ms(1);
        made.targets.slots = 5;
        made.targets.connections = 35;
        made.traffic = {
            { { ClassName("fitting"), Urgency::Urgent, 1, ms(500), ms(1000) }, 1, 0.4, ms(2) },
            { { ClassName("stock"), Urgency::Normal, 1, ms(1000), ms(2000) }, 1, 0.3, ms(2) },
            { { ClassName("history"), Urgency::Deferrable, 1, ms(5000), ms(3000) }, 3, 0, ms(3) },
        };
        made.configuration = configurationOf(made, "fitting-db");
        return made;
    }

    Deployment vizitka()
    {
        Deployment made;
        made.name = "vizitka";
        made.domains = { FailureDomainId("sof-a"), FailureDomainId("sof-b"), FailureDomainId("plv-a"), FailureDomainId("pern-a") };
        made.domainDelay = ms(0.5);
        made.callerDelay = ms(3);
        made.targets.slots = 3;
        made.targets.connections = 40;
        made.traffic = {
            { { ClassName("counter"), Urgency::Urgent, 1, ms(500), ms(1000) }, 1, 0.4, ms(2) },
            { { ClassName("reorder"), Urgency::Normal, 1, ms(1000), ms(2000) }, 1, 0.5, ms(2) },
            { { ClassName("price"), Urgency::Normal, 1, ms(2000), ms(2000) }, 3, 0, ms(2) },
            { { ClassName("proof"), Urgency::Deferrable, 1, ms(10'000), ms(3000) }, 1, 0, ms(5) },
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
