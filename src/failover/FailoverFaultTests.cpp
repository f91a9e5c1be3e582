#include "failover/FailoverFixture.h"
#include "leases/Epoch.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

// The platform does not answer for some seconds. With leases of 3 s, no writes were possible for the rest of such an outage
// (incident inc-8376).
TEST_CASE("writes continue during a short outage of the platform", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    for (auto& it : fixture.daemons)
        it->rows.isCut = true;
    for (int second = 1; second <= 4; ++second) {
        fixture.run(1000);
        CHECK(fixture.write(0) == RelayError::None);
    }
    for (auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.runWithTraffic(5000);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
}

// The platform does not answer for longer than a lease lasts, and the primary crashes meanwhile.
TEST_CASE("leases expire during a long outage of the platform, and writes succeed again after it", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    for (auto& it : fixture.daemons)
        it->rows.isCut = true;
    fixture.run(4500);
    CHECK(fixture.write(0) == RelayError::None);
    fixture.run(2500);
    CHECK(fixture.write(0) == RelayError::Busy);
    fixture.targets[TargetId("one")].isDown = true;
    fixture.run(1000);
    for (auto& it : fixture.daemons)
        it->rows.isCut = false;
    fixture.run(1500);
    fixture.runWithTraffic(2500);
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
}

TEST_CASE("a change of primary is noticed even if the platform has lost its history of row changes", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.tables.forgetHistory();
    fixture.targets[TargetId("one")].isDown = true;
    fixture.runWithTraffic(2500);
    fixture.tables.forgetHistory();
    fixture.run(200);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 3);
}

// Guards against an interruption: a daemon that missed the record of a change, because the response that reported it was lost, held up the
// change until its lease had expired.
TEST_CASE("a daemon that misses the record of a change hears of it when its lease is not renewed", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.daemons[2]->rows.losesWatchAnswers = true;
    fixture.setLeaving("one");
    fixture.run(200);
    fixture.daemons[2]->rows.losesWatchAnswers = false;
    // The interval of renewals is 1.2 s, and a change takes about a second.
    fixture.run(2800);
    CHECK(fixture.countDaemonsUsing("one") == 0);
    CHECK(fixture.write(2) == RelayError::None);
    CHECK(fixture.daemons[2]->lease.isValid());
}

TEST_CASE("under random faults no replaced primary acknowledges a write, and fencing tokens do not decrease", "[failover]")
{
    const auto seed = GENERATE(range(1U, 31U));
    CAPTURE(seed);
    const auto synchronousReplicas = GENERATE(0U, 1U);
    CAPTURE(synchronousReplicas);
    std::mt19937 random(seed);
    FailoverFixture fixture(5);
    fixture.setSynchronousReplicas(synchronousReplicas);
    const std::vector<std::string> names { "one", "two", "three" };
    for (int step = 0; step < 25; ++step) {
        const size_t daemon = random() % fixture.daemons.size();
        auto& rows = fixture.daemons[daemon]->rows;
        auto& target = fixture.targets[TargetId(names[random() % names.size()])];
        switch (random() % 7) {
        case 0:
            rows.isCut = !rows.isCut;
            break;
        case 1:
            rows.losesAnswers = !rows.losesAnswers;
            break;
        case 2:
            rows.appliesLate = rows.appliesLate > Milliseconds(0) ? Milliseconds(0) : Milliseconds(static_cast<double>(200 + random() % 3000));
            break;
        case 3:
            target.isDown = !target.isDown;
            break;
        case 4:
            target.isSilent = !target.isSilent;
            break;
        case 5:
            fixture.restart(daemon, static_cast<double>(50 + random() % 500));
            break;
        default:
            fixture.promotions.losesAnswers = !fixture.promotions.losesAnswers;
            break;
        }
        for (int n = 0; n < 3; ++n) {
            fixture.write(random() % fixture.daemons.size());
            fixture.run(static_cast<double>(random() % 400));
        }
    }
    CHECK(fixture.staleWrites == 0);
    CHECK(fixture.promotions.areFencingTokensOrdered());
    CHECK((synchronousReplicas == 0 || fixture.lostCommits == 0));
    // After all faults have ended, writes succeed again.
    for (auto& it : fixture.daemons) {
        it->rows.isCut = false;
        it->rows.losesAnswers = false;
        it->rows.appliesLate = Milliseconds(0);
    }
    fixture.promotions.losesAnswers = false;
    for (const auto& it : names) {
        fixture.targets[TargetId(it)].isDown = false;
        fixture.targets[TargetId(it)].isSilent = false;
    }
    fixture.runWithTraffic(12'000);
    CHECK(fixture.write(0) == RelayError::None);
}

// Guards against a change of primary that undoes a later one: a call for a promotion that was held up on its way arrived after another
// candidate had been promoted under a higher token, and acknowledged writes were rolled back.
TEST_CASE("a held-up call for a promotion never arrives after one with a higher token", "[failover]")
{
    const Milliseconds heldUpFor(GENERATE(1600, 2900, 3600, 6200, 9000));
    CAPTURE(heldUpFor.count());
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.promotions.answersAtOnce = GENERATE(false, true);
    CAPTURE(fixture.promotions.answersAtOnce);
    fixture.promotions.heldUpFor = heldUpFor;
    fixture.setLeaving("one");
    fixture.runWithTraffic(4500);
    fixture.promotions.heldUpFor = Milliseconds(0);
    fixture.runWithTraffic(12'000);
    CHECK(fixture.promotions.requests.size() >= 2);
    CHECK(fixture.promotions.areFencingTokensOrdered());
    CHECK(fixture.promotions.newestTerm == Term(2));
    CHECK(fixture.write(0) == RelayError::None);
    CHECK(fixture.staleWrites == 0);
}

// Guards against the same from another daemon: the next owner of a change orders a promotion once the lease of the one before has expired.
TEST_CASE("calls for a promotion are withdrawn before another daemon can take over the change", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.promotions.heldUpFor = Milliseconds(100'000);
    std::vector<PromotionRequest> sent;
    fixture.promotions.onSent = [&sent](const PromotionRequest& it) { sent.push_back(it); };
    fixture.setLeaving("one");
    fixture.run(2000);
    REQUIRE_FALSE(sent.empty());
    const InstanceId first = sent.front().leaseHolder;
    fixture.daemons[static_cast<size_t>(first.value().back() - '0')]->rows.isCut = true;
    fixture.run(15'000);
    const auto next = std::find_if(sent.begin(), sent.end(), [&first](const PromotionRequest& it) { return it.leaseHolder != first; });
    REQUIRE(next != sent.end());
    for (const auto& it : sent) {
        CHECK(it.at < it.until);
        if (it.leaseHolder == first)
            CHECK(it.until < next->at);
    }
}

// The daemon has not seen that the change which it owned has ended, and that the primary was used again before the next change began.
TEST_CASE("a daemon that takes over a later change waits for the leases again", "[failover]")
{
    FailoverFixture fixture(2);
    fixture.runWithTraffic(1000);
    FailoverDaemon& owner = *fixture.daemons[0];
    FailoverDaemon& user = *fixture.daemons[1];
    FakeRows rows(fixture.loop, fixture.tables);
    const std::string key = groupKey(GroupId("group"));
    const auto write = [&](GroupPhase phase, const InstanceId& instance, const std::string& incarnation) {
        GroupRecord record = *decodeGroupRecord(*fixture.tables.find(controlTable, key));
        record.phase = phase;
        record.isPlanned = true;
        record.owner = instance;
        record.ownerIncarnation = incarnation;
        RowsTransaction transaction;
        transaction.writes.push_back({ controlTable, key, encodeGroupRecord(record) });
        if (phase == GroupPhase::Closing)
            transaction.writes.push_back({ controlTable, epochKey, "next" });
        rows.transact(transaction, [](const absl::StatusOr<TransactionAnswer>&) {});
        fixture.run(50);
    };
    const auto hasLogged = [&owner](const std::string& text) {
        return std::any_of(owner.logLines.begin(), owner.logLines.end(), [&text](const std::string& it) { return it.find(text) != std::string::npos; });
    };
    const auto setReplicasSilent = [&fixture](bool areSilent) {
        for (const char* it : { "two", "three" })
            fixture.targets[TargetId(it)].isSilent = areSilent;
    };
    setReplicasSilent(true);
    write(GroupPhase::Closing, owner.lease.instance(), owner.lease.incarnation());
    fixture.run(1000);
    REQUIRE(hasLogged("primary_released_everywhere"));
    owner.rows.isCut = true;
    write(GroupPhase::Open, user.lease.instance(), user.lease.incarnation());
    REQUIRE(fixture.write(1) == RelayError::None);
    user.rows.isCut = true;
    write(GroupPhase::Closing, InstanceId("ended"), "ended");
    owner.rows.isCut = false;
    while (!hasLogged("\"ended\"") && user.lease.isValid())
        fixture.run(20);
    REQUIRE(user.lease.isValid());
    setReplicasSilent(false);
    while (user.lease.isValid()) {
        REQUIRE(fixture.promotions.requests.empty());
        fixture.run(20);
    }
    fixture.run(5000);
    CHECK(fixture.promotions.requests.size() == 1);
}

// Guards against a group without a primary for good: one row of another writer counted as a lease that never expires.
TEST_CASE("a lease row that cannot be decoded holds up a change of primary only until no daemon can be using it", "[failover]")
{
    FailoverFixture fixture(3);
    fixture.writeFromAllDaemons();
    fixture.tables.put(leaseTable, "odd", GENERATE(as<std::string> {}, "", "[[[[[[[[[[[[[[[[[[[[[[", "{}", "\xff\xfe", R"({"incarnation":7,"asked_at":1e400,"length_ms":-1})"));
    fixture.run(100);
    fixture.setLeaving("one");
    fixture.runWithTraffic(10'000);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 0);
    fixture.runWithTraffic(30'000);
    CHECK(fixture.countDaemonsUsing("two") + fixture.countDaemonsUsing("three") == 3);
}
