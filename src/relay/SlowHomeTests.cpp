#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <random>

using namespace parsleypaddle;

namespace {

/// A daemon that forwards statements to eight homes in two failure domains.
struct ForwardingFixture {
    RelayFixture scene;
    std::vector<InstanceId> ownDomain;
    std::vector<InstanceId> otherDomain;

    ForwardingFixture()
    {
        PlatformList list;
        for (int n = 0; n < 48; ++n) {
            const std::string name = "daemon-" + std::to_string(n);
            list.instances.push_back({ InstanceId(name), FailureDomainId(n % 2 == 0 ? "domain-one" : "domain-two"), name, 1, 0, false });
        }
        scene.membership.setPlatformList(list);
        scene.relay.setConnectionShare(1.0 / 48);
        REQUIRE_FALSE(scene.membership.rankFor(GroupId("group")));
        for (const auto& it : scene.membership.rankedDaemonsFor(GroupId("group")))
            (scene.membership.find(it)->failureDomain == FailureDomainId("domain-one") ? ownDomain : otherDomain).push_back(it);
        for (const auto& it : ownDomain)
            at(it).delay = Milliseconds(33);
        for (const auto& it : otherDomain)
            at(it).delay = Milliseconds(36);
    }

    SimulatedTargets::Target& at(const InstanceId& home) { return scene.targets[TargetId("daemon " + home.value())]; }

    /// Sends statements of all databases at random times for a while; returns the parts that ran at each home.
    std::map<InstanceId, double> send(double perSecond, double seconds, unsigned seed)
    {
        std::mt19937 random(seed);
        std::exponential_distribution<double> pause(perSecond / 1000);
        const std::vector<std::string> databases { "orders", "prices", "proofs" };
        scene.targets.executed.clear();
        std::vector<std::unique_ptr<TestCaller>> callers;
        const Instant end = scene.loop.now() + Milliseconds(seconds * 1000);
        while (scene.loop.now() < end) {
            scene.run(pause(random));
            callers.push_back(std::make_unique<TestCaller>(scene.relay, databases[random() % databases.size()]));
            callers.back()->send(RelayKind::Read, "READ");
        }
        scene.run(2000);
        std::map<InstanceId, double> parts;
        for (const auto& it : scene.targets.executed)
            parts[InstanceId(it.target.value().substr(7))] += 1.0 / static_cast<double>(scene.targets.executed.size());
        return parts;
    }
};

}

TEST_CASE("trial: slow home", "[relay]")
{
    for (const double rate : { 0.5, 1.75, 7.4, 30.0, 100.0, 300.0 }) {
        ForwardingFixture one;
        one.send(rate, 20, 1);
        one.at(one.ownDomain[1]).delay = Milliseconds(165);
        const auto parts = one.send(rate, 60, 2);
        const auto part = parts.count(one.ownDomain[1]) ? parts.at(one.ownDomain[1]) : 0;
        double other = 0;
        for (const auto& it : one.otherDomain)
            other += parts.count(it) ? parts.at(it) : 0;
        ForwardingFixture all;
        all.send(rate, 20, 1);
        for (const auto& it : all.ownDomain)
            all.at(it).delay = Milliseconds(165);
        const auto partsAll = all.send(rate, 60, 2);
        double own = 0;
        for (const auto& it : all.ownDomain)
            own += partsAll.count(it) ? partsAll.at(it) : 0;
        std::printf("rate %6.2f own homes %zu | one slow: part %.3f, other domain %.3f | all own slow: own part %.3f\n", rate, one.ownDomain.size(), part, other, own);
    }
}
