#include "failover/SynchronousReplicaFixture.h"

#include <random>

using namespace parsleypaddle;

// Targets crash, fall silent, receive nothing, leave and are missing from the list, owners are killed and cut off.
TEST_CASE("under random faults no promotion loses an acknowledged commit where commits wait for a replica", "[failover]")
{
    const auto seed = GENERATE(range(1U, 101U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto draw = [&random](size_t n) { return random() % n; };
    const std::vector<std::string> names { "one", "two", "three" };
    SynchronousReplicaFixture fixture(4);
    fixture.doReplacedPrimariesStepDown = true;
    for (int step = 0; step < 40; ++step) {
        const TargetId id(names[draw(names.size())]);
        auto& target = fixture.targets[id];
        auto& rows = fixture.daemons[draw(fixture.daemons.size())]->rows;
        switch (draw(9)) {
        case 0:
            target.isDown = !target.isDown;
            break;
        case 1:
            target.isSilent = !target.isSilent;
            break;
        case 2:
        case 3:
            if (fixture.deafTargets.erase(id) == 0)
                fixture.deafTargets.insert(id);
            break;
        case 4:
            fixture.setLeaving(id.value());
            break;
        case 5:
            fixture.setListed(id.value(), draw(3) != 0);
            break;
        case 6:
            rows.isCut = !rows.isCut;
            break;
        case 7:
            fixture.restart(draw(fixture.daemons.size()), static_cast<double>(50 + draw(500)));
            break;
        default:
            fixture.promotions.losesAnswers = !fixture.promotions.losesAnswers;
            break;
        }
        for (int n = 0; n < 4; ++n) {
            fixture.write(draw(fixture.daemons.size()));
            fixture.run(static_cast<double>(draw(300)));
        }
    }
    CHECK(fixture.lostCommits == 0);
    CHECK(fixture.staleWrites == 0);
    CHECK(fixture.promotions.areFencingTokensOrdered());
    for (auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.promotions.losesAnswers = false;
    fixture.deafTargets.clear();
    for (const auto& it : names) {
        fixture.targets[TargetId(it)].isDown = false;
        fixture.targets[TargetId(it)].isSilent = false;
        fixture.setListed(it, true);
    }
    fixture.runWithTraffic(25'000);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
}
