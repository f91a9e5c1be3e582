#pragma once

#include "quotas/OperationQuota.h"
#include "relay/RelayFixture.h"

#include <algorithm>
#include <utility>

namespace parsleypaddle {

/// An organisation with a limit of 10 operations a second and a burst of 5.
inline OrganisationEntry entryOf(const std::string& name, std::vector<std::string> keys)
{
    return { { OrganisationId(name), { 10, 5 } }, std::move(keys) };
}

/// A quota that records what it is asked, and decides when the test says so.
class RecordedQuota final : public OperationQuota {
public:
    void admit(const OrganisationId& organisation, Decided decided) override
    {
        asked.push_back(organisation);
        if (isWaiting)
            waiting.push_back(std::move(decided));
        else
            decided(decision);
    }

    void decide(const QuotaDecision& it)
    {
        for (const auto& decided : std::exchange(waiting, {}))
            decided(it);
    }

    std::vector<OrganisationId> asked;
    std::vector<Decided> waiting;
    bool isWaiting { false };
    QuotaDecision decision;
};

/// Number of log lines that contain the text.
inline size_t linesWith(const RelayFixture& scene, const std::string& text)
{
    return static_cast<size_t>(std::count_if(scene.logLines.begin(), scene.logLines.end(), [&](const std::string& it) { return it.find(text) != std::string::npos; }));
}

/// Lets the daemon forward every statement, to daemons that answer as primaries.
inline void forwardAll(RelayFixture& scene)
{
    PlatformList list;
    for (int n = 0; n < 40; ++n) {
        const std::string name = "daemon-" + std::to_string(n);
        list.instances.push_back({ InstanceId(name), FailureDomainId(n % 2 == 0 ? "domain-one" : "domain-two"), name, 1, 0, false });
        scene.targets[TargetId("daemon " + name)].isPrimary = true;
    }
    scene.membership.setPlatformList(list);
    scene.relay.setConnectionShare(1.0 / 40);
}

}
