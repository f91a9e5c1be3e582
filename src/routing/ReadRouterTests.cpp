#include "routing/ReadRouter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace parsleypaddle;

namespace {

struct RouterFixture {
    RouterFixture()
    {
        group.database = DatabaseId("db");
        group.targets = {
            { TargetId("p"), {}, FailureDomainId("a") },
            { TargetId("near"), {}, FailureDomainId("a") },
            { TargetId("far"), {}, FailureDomainId("b") },
        };
        view.database = group.database;
        view.primary = TargetId("p");
        receiveStatus("p", 100, 0);
        receiveStatus("near", 100, 5);
        receiveStatus("far", 100, 5);
    }

    TargetView& receiveStatus(const std::string& target, uint64_t applied, double age)
    {
        TargetView received;
        received.target = TargetId(target);
        received.status.applied = LogPosition(applied);
        received.status.age = Milliseconds(age);
        received.lastAnswerAt = now;
        for (auto& it : view.targets) {
            if (it.target == received.target)
                return it = received;
        }
        view.targets.push_back(received);
        return view.targets.back();
    }

    std::vector<std::string> order(uint64_t position = 0, double age = 1000)
    {
        ReadRequirements need { LogPosition(position), Milliseconds(age), now + Milliseconds(1000) };
        std::vector<std::string> names;
        for (const auto& it : router->rankTargets(group, view, need, now))
            names.push_back(it.value());
        return names;
    }

    void recordAttempt(const std::string& target, double took, bool wasBehind = false, bool wasUnreachable = false)
    {
        router->recordAttempt({ TargetId(target), Milliseconds(took), wasBehind, wasUnreachable }, now);
    }

    using Names = std::vector<std::string>;
    Instant now { 1'000'000.0 };
    GroupConfiguration group;
    GroupView view;
    std::unique_ptr<ReadRouter> router { ReadRouter::create(FailureDomainId("a"), 1) };
};

}

TEST_CASE("reads try fresh replicas first, the nearest before the others, then the primary", "[routing]")
{
    RouterFixture fixture;
    CHECK(fixture.order(100) == RouterFixture::Names { "near", "far", "p" });

    SECTION("a replica that has not applied the position comes after the primary")
    {
        fixture.receiveStatus("near", 90, 5).lastAnswerAt = fixture.now + Milliseconds(1);
        CHECK(fixture.order(100) == RouterFixture::Names { "far", "p", "near" });
    }
    SECTION("a replica whose data is too old comes after the primary")
    {
        CHECK(fixture.order(0, 1) == RouterFixture::Names { "p", "near", "far" });
    }
    SECTION("a leaving target is omitted")
    {
        fixture.receiveStatus("near", 100, 5).status.isLeaving = true;
        CHECK(fixture.order() == RouterFixture::Names { "far", "p" });
    }
    SECTION("a suspect target comes last, even if it is the primary")
    {
        fixture.receiveStatus("p", 100, 0).isSuspect = true;
        fixture.receiveStatus("near", 90, 5).lastAnswerAt = fixture.now + Milliseconds(1);
        CHECK(fixture.order(100).back() == "p");
    }
    SECTION("without a known primary all targets are returned")
    {
        fixture.view.primary = TargetId();
        CHECK(fixture.order(100).size() == 3);
    }
    SECTION("measured delays outweigh the failure domain")
    {
        for (int n = 0; n < 20; ++n) {
            fixture.recordAttempt("near", 20);
            fixture.recordAttempt("far", 4);
        }
        CHECK(fixture.order().front() == "far");
    }
    SECTION("the primary comes first when the replicas are much slower")
    {
        for (int n = 0; n < 50; ++n) {
            fixture.recordAttempt("near", 300);
            fixture.recordAttempt("far", 300);
            fixture.recordAttempt("p", 2);
        }
        CHECK(fixture.order().front() == "p");
    }
}

TEST_CASE("a replica's position is extrapolated beyond its last status", "[routing]")
{
    RouterFixture fixture;
    for (int n = 1; n <= 20; ++n) {
        fixture.now = fixture.now + Milliseconds(100);
        fixture.receiveStatus("near", 100 + n * 100, 5);
        fixture.receiveStatus("far", 100, 5 + n * 100);
        fixture.order();
    }
    fixture.now = fixture.now + Milliseconds(50);
    CHECK(fixture.order(2130).front() == "near");
    CHECK(fixture.order(3000).front() == "p");
    CHECK(fixture.order(2130, 1000).back() == "far");
}

TEST_CASE("a replica that stays behind is avoided for longer each time and is used again without flapping", "[routing]")
{
    RouterFixture fixture;
    int chosen = 0;
    int changes = 0;
    bool wasChosen = true;
    for (int n = 0; n < 5000; ++n) {
        fixture.now = fixture.now + Milliseconds(1);
        const bool isChosen = fixture.order().front() == "near";
        changes += isChosen != wasChosen ? 1 : 0;
        wasChosen = isChosen;
        if (isChosen) {
            ++chosen;
            fixture.recordAttempt("near", 1, true);
        }
    }
    CHECK(chosen < 40);
    CHECK(changes < 20);
    fixture.now = fixture.now + Milliseconds(2000);
    for (const std::string name : { "p", "near", "far" })
        fixture.receiveStatus(name, 100, 0);
    for (int n = 0; n < 100; ++n) {
        fixture.now = fixture.now + Milliseconds(10);
        fixture.recordAttempt("near", 1);
    }
    CHECK(fixture.order().front() == "near");
}

TEST_CASE("an unreachable replica is avoided at once", "[routing]")
{
    RouterFixture fixture;
    fixture.recordAttempt("near", 500, false, true);
    CHECK(fixture.order() == RouterFixture::Names { "far", "p", "near" });
    fixture.now = fixture.now + Milliseconds(150);
    CHECK(fixture.order().front() == "near");
}

// Reference model: every replica whose last status satisfies the read, in any order, then the primary, then the rest.
TEST_CASE("when all statuses are current, the router places the same targets before the primary as a reference model", "[routing][differential]")
{
    const bool isSame = rc::check("same targets before the primary", [] {
        RouterFixture fixture;
        const auto position = *rc::gen::inRange<uint64_t>(0, 20);
        const auto age = *rc::gen::inRange(0, 20);
        std::vector<std::string> allowed;
        for (const std::string name : { "near", "far" }) {
            const auto applied = *rc::gen::inRange<uint64_t>(0, 20);
            const auto dataAge = *rc::gen::inRange(0, 20);
            const auto isLeaving = *rc::gen::arbitrary<bool>();
            fixture.receiveStatus(name, applied, dataAge).status.isLeaving = isLeaving;
            if (applied >= position && dataAge <= age && !isLeaving)
                allowed.push_back(name);
        }
        auto names = fixture.order(position, age);
        names.erase(std::find(names.begin(), names.end(), "p"), names.end());
        std::sort(names.begin(), names.end());
        std::sort(allowed.begin(), allowed.end());
        RC_ASSERT(names == allowed);
    });
    CHECK(isSame);
}
