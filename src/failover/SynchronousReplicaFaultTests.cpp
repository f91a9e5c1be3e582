#include "failover/PromotionDecision.h"
#include "failover/SynchronousReplicaFixture.h"

#include <cstdlib>
#include <random>
#include <utility>

using namespace parsleypaddle;

namespace {

/// What an operator does when the logs that a change waits for are gone.
void promoteGreatestLog(FailoverFixture& fixture, const std::vector<std::string>& names)
{
    const auto best = std::max_element(names.begin(), names.end(), [&fixture](const std::string& a, const std::string& b) {
        const auto& left = fixture.targets[TargetId(a)];
        const auto& right = fixture.targets[TargetId(b)];
        return LogMark { left.term, left.received } < LogMark { right.term, right.received };
    });
    decidePromotion(fixture.daemons[0]->rows, GroupId("group"), TargetId(*best), [](const absl::Status&) {});
    fixture.runWithTraffic(10'000);
}

/// What happens besides crashes, silence, replicas that receive nothing, targets that leave or are missing from the list, and owners that are killed
/// and cut off.
struct TrialFaults {
    /// Targets are replaced by others at their addresses, and one starts again without its log, so that the change may have to be decided by an
    /// operator.
    bool areLogsLost { false };
    /// Failure domains are cut off, and targets are started in them meanwhile.
    bool hasPartitions { false };
};

void changePartition(SynchronousReplicaFixture& fixture, std::vector<std::string>& names, const std::string& name)
{
    if (fixture.isDomainCutOff())
        return fixture.reconnectDomain();
    fixture.cutOffDomainOf(name);
    // One server more at a time is started than the group has.
    if (names.size() > 4)
        return;
    names.push_back("started-" + std::to_string(names.size()));
    fixture.startTarget(names.back(), name);
}

void runRandomFaults(uint32_t seed, const TrialFaults& faults)
{
    const bool areLogsLost = faults.areLogsLost;
    CAPTURE(seed, areLogsLost, faults.hasPartitions);
    std::mt19937 random(seed);
    const auto draw = [&random](size_t n) { return random() % n; };
    std::vector<std::string> names { "one", "two", "three" };
    SynchronousReplicaFixture fixture(4);
    fixture.doReplacedPrimariesStepDown = true;
    bool isLogLost = false;
    for (int step = 0; step < 40; ++step) {
        if (faults.hasPartitions && draw(5) == 0)
            changePartition(fixture, names, draw(2) == 0 ? fixture.primaryName() : std::string(names[draw(names.size())]));
        std::string& name = names[draw(names.size())];
        const TargetId id(name);
        auto& target = fixture.targets[id];
        const size_t daemon = draw(fixture.daemons.size());
        auto& rows = fixture.daemons[daemon]->rows;
        switch (draw(areLogsLost ? 11 : 9)) {
        case 0:
            target.isDown = !target.isDown;
            // A target lists itself when it starts.
            if (!target.isDown)
                fixture.setListed(name, true);
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
            // No daemon in a cut-off failure domain reaches the platform.
            rows.isCut = !rows.isCut || fixture.isCutOff(daemon);
            break;
        case 7:
            fixture.restart(draw(fixture.daemons.size()), static_cast<double>(50 + draw(500)));
            break;
        case 8:
            fixture.promotions.losesAnswers = !fixture.promotions.losesAnswers;
            break;
        case 9:
            // A leaving target ends, and the one in its place has its log.
            fixture.setLeaving(name);
            fixture.run(1000);
            fixture.replaceTarget(name, name + "+");
            name += "+";
            break;
        default:
            // More than one lost log may leave no complete one.
            if (!target.isPrimary && !std::exchange(isLogLost, true)) {
                target.isDown = true;
                fixture.run(1000);
                fixture.restartWithoutLog(name);
            }
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
    if (fixture.isDomainCutOff())
        fixture.reconnectDomain();
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
    if (areLogsLost && fixture.write(0) != RelayError::None) {
        REQUIRE(fixture.hasLogged("promotion_awaits_logs"));
        promoteGreatestLog(fixture, names);
        fixture.lostCommits = 0;
    }
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.lostCommits == 0);
}

}

TEST_CASE("under random faults no promotion loses an acknowledged commit where commits wait for a replica", "[failover]")
{
    const auto seed = GENERATE(range(1U, 101U));
    runRandomFaults(seed, { GENERATE(false, true), false });
}

// Guards against lost commits: they were acknowledged by a target that was started on the primary's side of a partition and that no daemon outside
// knew (issue 51).
TEST_CASE("under random partitions no promotion loses an acknowledged commit where commits wait for a replica", "[failover]")
{
    const auto seed = GENERATE(range(1U, 101U));
    runRandomFaults(seed, { false, true });
}

// Run by hand, for seeds beyond those of the test above.
TEST_CASE("random faults where commits wait for a replica, with the seeds from PARSLEYPADDLE_SEED to PARSLEYPADDLE_LAST_SEED", "[.seed]")
{
    const char* first = std::getenv("PARSLEYPADDLE_SEED");
    const char* last = std::getenv("PARSLEYPADDLE_LAST_SEED");
    if (!first)
        return;
    const unsigned long end = std::strtoul(last ? last : first, nullptr, 10);
    for (unsigned long seed = std::strtoul(first, nullptr, 10); seed <= end; ++seed) {
        for (const TrialFaults& it : { TrialFaults { false, false }, TrialFaults { true, false }, TrialFaults { false, true } })
            runRandomFaults(static_cast<uint32_t>(seed), it);
    }
}
