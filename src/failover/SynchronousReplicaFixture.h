#pragma once

#include "failover/FailoverFixture.h"
#include "leases/Epoch.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace parsleypaddle {

/// Failover tests with a group in use whose commits are acknowledged once a replica has received them.
class SynchronousReplicaFixture : public FailoverFixture {
public:
    explicit SynchronousReplicaFixture(size_t daemons = 3)
        : FailoverFixture(daemons)
    {
        setSynchronousReplicas(1);
        runWithTraffic(2500);
        REQUIRE(write(0) == RelayError::None);
    }

    /// Only "two" receives what is written from now on.
    void leaveOneReplica()
    {
        deafTargets.insert(TargetId("three"));
        runWithTraffic(500);
        REQUIRE(targets[TargetId("three")].received < targets[TargetId("two")].received);
    }

    /// Sets for how long the daemons may use a target that leaves.
    void setMaxLeavingTargetUse(Milliseconds maxUse)
    {
        for (auto& it : daemons)
            it->relay.setMaxLeavingTargetUse(maxUse);
    }

    GroupRecord record() const { return *decodeGroupRecord(*tables.find(controlTable, groupKey(GroupId("group")))); }

    std::string primaryName() const { return record().primary.value(); }

    bool hasLogged(const std::string& text) const
    {
        return std::any_of(daemons.begin(), daemons.end(), [&text](const auto& it) {
            return std::any_of(it->logLines.begin(), it->logLines.end(), [&text](const std::string& line) { return line.find(text) != std::string::npos; });
        });
    }
};

}
