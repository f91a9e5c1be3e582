#include "checking/Trial.h"

#include "base/VirtualLoop.h"
#include "checking/FaultSchedule.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds startTime { 600 };
    constexpr Milliseconds leavingLimit { 4000 };
    constexpr Milliseconds longestFaultPause { 1800 };
    constexpr Milliseconds cutOffTime { 2500 };
    constexpr Milliseconds leavingTime { 6000 };
    constexpr Milliseconds settlingTime { 12'000 };
    constexpr Milliseconds endTime { 30'000 };
    constexpr uint64_t seedStep = 1000;

    std::shared_ptr<const Configuration> configurationOf(uint32_t domains)
    {
        auto configuration = std::make_shared<Configuration>();
        GroupConfiguration group;
        group.database = DatabaseId("db");
        group.slots = 5;
        group.connections = 40;
        for (uint32_t i = 0; i < domains; ++i)
            group.targets.push_back({ TargetId("db-" + std::to_string(i)), {}, FailureDomainId("domain-" + std::to_string(i)) });
        configuration->groups.push_back(group);
        configuration->classes.push_back({ ClassName("counter"), Urgency::Urgent, 1, Milliseconds(60'000), Milliseconds(2500) });
        return configuration;
    }

    FakeFleetSettings fleetSettings(const TrialSettings& settings, const GroupConfiguration& group)
    {
        FakeFleetSettings made;
        for (const auto& it : group.targets)
            made.domains.push_back(it.failureDomain);
        made.daemonsPerDomain = settings.daemonsPerDomain;
        made.seed = settings.seed * seedStep;
        made.node.breakRules(settings.brokenRules);
        return made;
    }

    /// Every fourth run begins alike, so that few seeds meet each kind of trouble for long enough.
    void beginRun(VirtualLoop& loop, FaultSchedule& schedule, uint64_t seed)
    {
        switch (seed % 4) {
        case 1:
            schedule.letReplicasLag();
            break;
        case 2:
            schedule.cutOffFirstPrimary();
            loop.advance(cutOffTime);
            break;
        case 3:
            schedule.letReplicaLeave();
            loop.advance(leavingTime);
            break;
        default:
            break;
        }
    }

    void runFaults(VirtualLoop& loop, FaultSchedule& schedule, const TrialSettings& settings)
    {
        std::mt19937_64 random(settings.seed * seedStep + 1);
        std::uniform_real_distribution<double> pause(0, longestFaultPause.count());
        beginRun(loop, schedule, settings.seed);
        for (size_t i = 0; i < settings.faults; ++i) {
            schedule.inject();
            loop.advance(Milliseconds(pause(random)));
        }
    }

}

TrialResult runTrial(const TrialSettings& settings)
{
    VirtualLoop loop;
    FakeTargets targets(loop);
    const auto configuration = configurationOf(3);
    const GroupConfiguration& group = configuration->groups.front();
    targets.addGroup(group, FakeTargetSettings());
    FakeFleet fleet(loop, targets, fleetSettings(settings, group), configuration);
    loop.advance(startTime);

    CallerLoad load(loop, fleet, group.database, CallerLoadSettings(), settings.seed * seedStep + 2);
    FaultSchedule schedule(loop, fleet, targets, group, load, settings.seed * seedStep + 3);
    load.start();
    runFaults(loop, schedule, settings);
    schedule.heal();
    loop.advance(settlingTime);
    const size_t before = load.history().requests.size();
    loop.advance(Milliseconds(1000));

    TrialResult result;
    const auto& requests = load.history().requests;
    const auto isDone = [](const CallerRequest& it) { return it.answer && it.answer->outcome() == Outcome::Done; };
    result.servesAgain = std::any_of(requests.begin() + static_cast<ptrdiff_t>(before), requests.end(), isDone);
    load.stop();
    loop.runUntil([&load] { return load.isIdle(); }, endTime);
    loop.advance(endTime);
    GroupModel& model = targets.model(group.database);
    result.counts = Checker(leavingLimit).check(load.history(), model);
    result.requests = requests.size();
    for (const auto& it : requests) {
        result.done += isDone(it) ? 1 : 0;
        result.unknown += !it.answer || it.answer->outcome() == Outcome::Unknown ? 1 : 0;
    }
    for (const auto& it : model.history())
        result.promotions += it.operation == TargetOperation::Promote ? 1 : 0;
    return result;
}

}
