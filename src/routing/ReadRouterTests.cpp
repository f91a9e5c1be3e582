#include "routing/ReadRouter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace parsleypaddle;

namespace {

struct RouterBench {
    RouterBench()
    {
        group.database = DatabaseId("db");
        group.targets = {
            { TargetId("p"), {}, FailureDomainId("a") },
            { TargetId("near"), {}, FailureDomainId("a") },
            { TargetId("far"), {}, FailureDomainId("b") },
        };
        view.database = group.database;
        view.primary = TargetId("p");
        hear("p", 100, 0);
        hear("near", 100, 5);
        hear("far", 100, 5);
    }

    TargetView& hear(const std::string& target, uint64_t applied, double age)
    {
        TargetView heard;
        heard.target = TargetId(target);
        heard.status.applied = LogPosition(applied);
        heard.status.age = Milliseconds(age);
        heard.heardAt = now;
        for (auto& it : view.targets) {
            if (it.target == heard.target)
                return it = heard;
        }
        view.targets.push_back(heard);
        return view.targets.back();
    }

    std::vector<std::string> order(uint64_t position = 0, double age = 1000)
    {
        ReadNeed need { LogPosition(position), Milliseconds(age), now + Milliseconds(1000) };
        std::vector<std::string> names;
        for (const auto& it : router->order(group, view, need, now))
            names.push_back(it.value());
        return names;
    }

    void learn(const std::string& target, double took, bool wasBehind = false, bool wasUnreachable = false)
    {
        router->learn({ TargetId(target), Milliseconds(took), wasBehind, wasUnreachable }, now);
    }

    using Names = std::vector<std::string>;
    Instant now { 1'000'000.0 };
    GroupConfiguration group;
    GroupView view;
    std::unique_ptr<ReadRouter> router { ReadRouter::create(FailureDomainId("a"), 1) };
};

}

TEST_CASE("reads go to fresh replicas first, the nearest before the others, and to the primary last", "[routing]")
{
    RouterBench bench;
    CHECK(bench.order(100) == RouterBench::Names { "near", "far", "p" });

    SECTION("a replica behind the position goes after the primary")
    {
        bench.hear("near", 90, 5).heardAt = bench.now + Milliseconds(1);
        CHECK(bench.order(100) == RouterBench::Names { "far", "p", "near" });
    }
    SECTION("a replica that is too old goes after the primary")
    {
        CHECK(bench.order(0, 1) == RouterBench::Names { "p", "near", "far" });
    }
    SECTION("a leaving target is left out")
    {
        bench.hear("near", 100, 5).status.isLeaving = true;
        CHECK(bench.order() == RouterBench::Names { "far", "p" });
    }
    SECTION("a suspect target goes last, a suspect primary too")
    {
        bench.hear("p", 100, 0).isSuspect = true;
        bench.hear("near", 90, 5).heardAt = bench.now + Milliseconds(1);
        CHECK(bench.order(100).back() == "p");
    }
    SECTION("without a primary the replicas remain")
    {
        bench.view.primary = TargetId();
        CHECK(bench.order(100).size() == 3);
    }
    SECTION("learned delays outweigh the place")
    {
        for (int n = 0; n < 20; ++n) {
            bench.learn("near", 20);
            bench.learn("far", 4);
        }
        CHECK(bench.order().front() == "far");
    }
    SECTION("the primary helps out when the replicas are far slower")
    {
        for (int n = 0; n < 50; ++n) {
            bench.learn("near", 300);
            bench.learn("far", 300);
            bench.learn("p", 2);
        }
        CHECK(bench.order().front() == "p");
    }
}

TEST_CASE("a replica's progress between its statements is counted in", "[routing]")
{
    RouterBench bench;
    for (int n = 1; n <= 20; ++n) {
        bench.now = bench.now + Milliseconds(100);
        bench.hear("near", 100 + n * 100, 5);
        bench.hear("far", 100, 5 + n * 100);
        bench.order();
    }
    bench.now = bench.now + Milliseconds(50);
    CHECK(bench.order(2130).front() == "near");
    CHECK(bench.order(3000).front() == "p");
    CHECK(bench.order(2130, 1000).back() == "far");
}

TEST_CASE("a replica that stays behind is avoided ever longer and comes back without flapping", "[routing]")
{
    RouterBench bench;
    int asked = 0;
    int changes = 0;
    bool wasAsked = true;
    for (int n = 0; n < 5000; ++n) {
        bench.now = bench.now + Milliseconds(1);
        const bool isAsked = bench.order().front() == "near";
        changes += isAsked != wasAsked ? 1 : 0;
        wasAsked = isAsked;
        if (isAsked) {
            ++asked;
            bench.learn("near", 1, true);
        }
    }
    CHECK(asked < 40);
    CHECK(changes < 20);
    bench.now = bench.now + Milliseconds(2000);
    for (const std::string name : { "p", "near", "far" })
        bench.hear(name, 100, 0);
    for (int n = 0; n < 100; ++n) {
        bench.now = bench.now + Milliseconds(10);
        bench.learn("near", 1);
    }
    CHECK(bench.order().front() == "near");
}

TEST_CASE("an unreachable replica is left alone at once", "[routing]")
{
    RouterBench bench;
    bench.learn("near", 500, false, true);
    CHECK(bench.order() == RouterBench::Names { "far", "p", "near" });
    bench.now = bench.now + Milliseconds(150);
    CHECK(bench.order().front() == "near");
}

// The naive version: every replica whose last word satisfies the need, in any order, then the primary, then the rest.
TEST_CASE("with fresh views the router puts the same targets before the primary as the plain rule", "[routing][differential]")
{
    const bool isSame = rc::check("same targets before the primary", [] {
        RouterBench bench;
        const auto position = *rc::gen::inRange<uint64_t>(0, 20);
        const auto age = *rc::gen::inRange(0, 20);
        std::vector<std::string> allowed;
        for (const std::string name : { "near", "far" }) {
            const auto applied = *rc::gen::inRange<uint64_t>(0, 20);
            const auto own = *rc::gen::inRange(0, 20);
            const auto isLeaving = *rc::gen::arbitrary<bool>();
            bench.hear(name, applied, own).status.isLeaving = isLeaving;
            if (applied >= position && own <= age && !isLeaving)
                allowed.push_back(name);
        }
        auto names = bench.order(position, age);
        names.erase(std::find(names.begin(), names.end(), "p"), names.end());
        std::sort(names.begin(), names.end());
        std::sort(allowed.begin(), allowed.end());
        RC_ASSERT(names == allowed);
    });
    CHECK(isSame);
}
