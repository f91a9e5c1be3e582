#include "Scenario.h"

#include <cstdio>
#include <unistd.h>

int main(int argc, char** argv)
{
    struct Scenario {
        std::string name;
        int (*run)(const std::string& folder);
    };
    const std::vector<Scenario> scenarios {
        { "prepared-names", rig::runPreparedNames },
        { "draining-replica", rig::runDrainingReplica },
        { "unreached-replica", rig::runUnreachedReplica },
        { "planned-release", rig::runPlannedRelease },
        { "stuttering-server", rig::runStutteringServer },
    };
    int result = rig::exitImpossible;
    for (const auto& it : scenarios) {
        if (argc == 3 && it.name == argv[1])
            result = it.run(argv[2]);
    }
    // Threads of the stand-ins still run; no destructor of theirs has to.
    std::fflush(nullptr);
    _exit(result);
}
