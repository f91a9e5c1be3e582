#include "promotion/FailureDetector.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr Instant start { 1'000'000 };

TargetView viewOf(const std::string& id, TargetRole role, Term term, Instant lastAnswerAt, Milliseconds age)
{
    TargetView view;
    view.target = TargetId(id);
    view.status.role = role;
    view.status.term = term;
    view.status.age = age;
    view.lastAnswerAt = lastAnswerAt;
    return view;
}

/// A primary and two replicas, all of which last answered at `lastAnswerAt`.
GroupView viewAt(Instant lastAnswerAt, Milliseconds replicaAge)
{
    GroupView view;
    view.term = Term(1);
    view.primary = TargetId("a");
    view.targets.push_back(viewOf("a", TargetRole::Primary, Term(1), lastAnswerAt, Milliseconds(0)));
    view.targets.push_back(viewOf("b", TargetRole::Replica, Term(1), lastAnswerAt, replicaAge));
    view.targets.push_back(viewOf("c", TargetRole::Replica, Term(1), lastAnswerAt, replicaAge));
    return view;
}

}

TEST_CASE("a primary counts as silent only after the detection time and while new connections fail", "[promotion]")
{
    FailureDetector detector { PromoterSettings() };
    const Milliseconds silence(GENERATE(100.0, 699.0, 700.0, 2000.0));
    const bool isSuspect = GENERATE(false, true);
    GroupView view = viewAt(start + silence, silence);
    view.targets[0].lastAnswerAt = start;
    view.targets[0].isSuspect = isSuspect;
    CHECK(detector.evaluate(view, start + silence).has_value() == (isSuspect && silence >= Milliseconds(700)));
}

TEST_CASE("a replica that reaches the primary delays a change, each time for longer", "[promotion]")
{
    FailureDetector detector { PromoterSettings() };
    const auto isChangeDueAfter = [&](Milliseconds span) {
        GroupView view = viewAt(start + span, Milliseconds(5));
        view.targets[0].lastAnswerAt = start;
        view.targets[0].isSuspect = true;
        return detector.evaluate(view, start + span).has_value();
    };
    CHECK_FALSE(isChangeDueAfter(Milliseconds(1000)));
    CHECK_FALSE(isChangeDueAfter(Milliseconds(8900)));
    CHECK(isChangeDueAfter(Milliseconds(9000)));

    const Instant recovered = start + Milliseconds(20'000);
    CHECK_FALSE(detector.evaluate(viewAt(recovered, Milliseconds(5)), recovered));
    CHECK_FALSE(isChangeDueAfter(Milliseconds(30'000)));
    CHECK_FALSE(isChangeDueAfter(Milliseconds(45'900)));
    CHECK(isChangeDueAfter(Milliseconds(46'000)));
}

TEST_CASE("no change is due unless a majority of the targets answers", "[promotion]")
{
    FailureDetector detector { PromoterSettings() };
    const Instant now = start + Milliseconds(5000);
    GroupView view = viewAt(start, Milliseconds(5000));
    view.targets[0].isSuspect = true;
    view.targets[1].lastAnswerAt = now;
    CHECK_FALSE(detector.evaluate(view, now));
}

TEST_CASE("a missing primary, or a target on a later term, makes a change due after the detection time", "[promotion]")
{
    FailureDetector detector { PromoterSettings() };
    const bool hasPrimary = GENERATE(false, true);
    const auto evaluateAfter = [&](Milliseconds span) {
        GroupView view = viewAt(start + span, Milliseconds(5000) + span);
        view.targets[1].status.term = Term(2);
        if (!hasPrimary)
            view.primary = TargetId();
        return detector.evaluate(view, start + span);
    };
    CHECK_FALSE(evaluateAfter(Milliseconds(0)));
    CHECK_FALSE(evaluateAfter(Milliseconds(699)));
    REQUIRE(evaluateAfter(Milliseconds(700)));
    CHECK(evaluateAfter(Milliseconds(710))->cause == (hasPrimary ? PromotionCause::TargetOnLaterTerm : PromotionCause::NoPrimary));
}
