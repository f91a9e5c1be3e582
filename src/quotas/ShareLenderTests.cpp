#include "quotas/ShareLender.h"

#include <array>
#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

namespace {

const Instant begin(1000);

ShareLender lenderOf(double amount, double depth)
{
    ShareLender lender { ShareLender::Rules {} };
    lender.setCapacity({ amount, depth }, begin);
    return lender;
}

ShareLender::Request demandOf(double demand, uint64_t confirmed = 0)
{
    ShareLender::Request request;
    request.demand = demand;
    request.confirmed = confirmed;
    return request;
}

/// A borrower of the random histories: what it may spend by the shares that reached it.
struct Spender {
    LentShare share;
    Instant until;
    uint64_t confirmed { 0 };
    double level { 0 };
    double returned { 0 };
};

}

// Guards against one borrower at several times its usual load taking what another needs.
TEST_CASE("a borrower that needs less than an equal part gets all that it needs", "[quotas]")
{
    ShareLender lender = lenderOf(100, 50);
    const auto first = lender.answer("large", demandOf(500), begin);
    const Instant later = begin + Milliseconds(500);
    lender.answer("small", demandOf(20), later);
    const auto reduced = lender.answer("large", demandOf(500, first.number), later + Milliseconds(100));
    CHECK(reduced.share.amount == Approx(74));
    const Instant confirmedAt = later + Milliseconds(200);
    lender.answer("large", demandOf(500, reduced.number), confirmedAt);
    CHECK(lender.answer("small", demandOf(20), confirmedAt).share.amount == Approx(26));
}

// Guards against answers that follow every fluctuation of the demand, and against a share that is kept beyond its fair part.
TEST_CASE("a confirmed share is kept while it is about right", "[quotas]")
{
    ShareLender lender = lenderOf(100, 50);
    const auto first = lender.answer("a", demandOf(20), begin);
    const auto kept = lender.answer("a", demandOf(22, first.number), begin + Milliseconds(500));
    CHECK(kept.isKept);
    CHECK(kept.number == first.number);
    CHECK(kept.share.amount == Approx(26));
    lender.expire(begin + Milliseconds(2400));
    CHECK(lender.reserved().amount == Approx(26));
    CHECK_FALSE(lender.answer("a", demandOf(40, first.number), begin + Milliseconds(2400)).isKept);
    lender.setCapacity({ 10, 50 }, begin + Milliseconds(2500));
    CHECK_FALSE(lender.answer("a", demandOf(40, first.number + 1), begin + Milliseconds(2500)).isKept);
}

// Guards against lending an amount again while the answer that reduced it may have been lost.
TEST_CASE("a reduced share is free only when its borrower has confirmed it or it has expired", "[quotas]")
{
    ShareLender lender = lenderOf(100, 50);
    const auto full = lender.answer("a", demandOf(200), begin);
    REQUIRE(full.share.amount == Approx(100));
    const Instant later = begin + Milliseconds(500);
    lender.answer("a", demandOf(10, full.number), later);
    CHECK(lender.answer("b", demandOf(200), later).share.amount == Approx(0));
    lender.expire(later + Milliseconds(2000));
    CHECK(lender.answer("b", demandOf(200), later + Milliseconds(2000)).share.amount == Approx(100));
}

// Guards against borrowers without a share finding an empty bucket when all demand together exceeds the capacity.
TEST_CASE("the needs of borrowers without a share stay in the bucket", "[quotas]")
{
    ShareLender lender = lenderOf(20, 20);
    lender.answer("rare", demandOf(0.7), begin);
    lender.answer("hot", demandOf(200), begin + Milliseconds(100));
    CHECK(lender.freeAmount() == Approx(0.91));
}

// Guards against a limit that was lowered staying in force until the shares expire.
TEST_CASE("a lower capacity shrinks shares in the next answers and cuts the bucket at once", "[quotas]")
{
    ShareLender lender = lenderOf(100, 50);
    const auto full = lender.answer("a", demandOf(200), begin);
    lender.setCapacity({ 10, 5 }, begin + Milliseconds(10));
    CHECK(lender.level() <= 5);
    CHECK(lender.freeAmount() == Approx(0));
    CHECK(lender.answer("a", demandOf(200, full.number), begin + Milliseconds(20)).share.amount == Approx(10));
}

// Guards against a new lender giving away what its predecessor has lent.
TEST_CASE("what an earlier lender has lent is reserved until borrowers report it or it has expired", "[quotas]")
{
    ShareLender lender = lenderOf(100, 50);
    lender.presume({ 80, 20 }, begin + Milliseconds(2000));
    CHECK(lender.freeAmount() == Approx(20));
    ShareLender::Request request = demandOf(30);
    request.held = { 40, 9 };
    request.heldFor = Milliseconds(1000);
    const auto answer = lender.answer("a", request, begin);
    CHECK(answer.share.amount == Approx(39));
    CHECK(lender.reserved().amount == Approx(80));
    lender.expire(begin + Milliseconds(2000));
    CHECK(lender.freeAmount() == Approx(100));
}

// Guards against organisations that cannot use their limit because shares are greater than the demand.
TEST_CASE("units that a borrower could not keep return to the bucket", "[quotas]")
{
    ShareLender lender = lenderOf(100, 50);
    lender.limitLevel(0);
    const auto full = lender.answer("a", demandOf(200), begin);
    ShareLender::Request request = demandOf(200, full.number);
    request.returned = 10;
    lender.answer("a", request, begin + Milliseconds(500));
    CHECK(lender.level() == Approx(10));
    request.returned = 10'000;
    lender.answer("a", request, begin + Milliseconds(510));
    CHECK(lender.level() <= 50);
}

// Guards against more units than the capacity being spent when answers are lost, delayed beyond a share's end, or borrowers are silent.
TEST_CASE("in random histories no window holds more than the capacity", "[quotas]")
{
    const uint64_t seed = GENERATE(range<uint64_t>(1, 41));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto chance = [&random](double limit) { return std::uniform_real_distribution<double>(0, limit)(random); };
    const double amount = 5 + chance(200);
    const double depth = 2 + chance(100);
    ShareLender lender = lenderOf(amount, depth);
    std::array<Spender, 8> spenders;
    double spent = 0;
    Instant now = begin;
    for (int step = 0; step < 3000; ++step) {
        const double ms = chance(40);
        now = now + Milliseconds(ms);
        for (auto& it : spenders) {
            const double usable = std::max(0.0, std::min(ms, (it.until - (now - Milliseconds(ms))).count()));
            const double yielded = it.share.amount * usable / 1000;
            const double kept = std::min(it.share.depth, it.level + yielded);
            it.returned += it.level + yielded - kept;
            it.level = now < it.until ? kept : 0;
            const double used = chance(1) < 0.7 ? it.level : 0;
            it.level -= used;
            spent += used;
        }
        const size_t n = random() % spenders.size();
        Spender& spender = spenders[n];
        ShareLender::Request request = demandOf(chance(1) < 0.2 ? 0 : chance(amount), spender.confirmed);
        request.wanted = std::floor(chance(4));
        request.returned = spender.returned;
        const auto answer = lender.answer(std::to_string(n), request, now);
        const double lentAmount = lender.reserved().amount + lender.freeAmount();
        CHECK(lentAmount <= amount * (1 + 1e-9));
        CHECK(lender.reserved().depth + lender.level() <= depth * (1 + 1e-9));
        if (chance(1) < 0.3)
            continue;
        spender.share = answer.share;
        spender.until = now + Milliseconds(2000);
        spender.confirmed = answer.number;
        spender.returned += std::max(0.0, spender.level - answer.share.depth);
        spender.level = std::min(spender.level, answer.share.depth);
        // Moved units fill the share's depth; those that were wanted are spent.
        const double kept = std::min(answer.units, spender.share.depth - spender.level);
        spender.level += kept;
        spent += answer.units - kept;
        CHECK(spent <= amount * (now - begin).count() / 1000 + depth + 1e-6);
    }
}
