#include "base/VirtualLoop.h"
#include "platform_http/TransferDeadline.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

/// A call that was sent at 0 ms with a timeout of 900 ms.
struct CallFixture {
    VirtualLoop loop;
    std::shared_ptr<ReceivedBytes> received { std::make_shared<ReceivedBytes>(0) };
    Instant sentAt { loop.now() };
    double expiredAfter { 0 };
    std::shared_ptr<TransferDeadline> deadline { TransferDeadline::start(loop, Milliseconds(900), received, [this] { expiredAfter = (loop.now() - sentAt).count(); }) };

    /// Receives a part of the answer every 100 ms for `duration`.
    void receiveFor(double duration)
    {
        for (double it = 0; it < duration; it += 100) {
            loop.advance(Milliseconds(100));
            *received += 1000;
        }
    }
};

}

TEST_CASE("a call whose answer does not begin ends after its timeout", "[platform_http]")
{
    CallFixture fixture;
    fixture.loop.advance(Milliseconds(5000));
    CHECK(fixture.expiredAfter == Approx(900));
}

// The tables of a fleet with 370 databases take seconds to arrive over a link of 2 Mbit/s.
TEST_CASE("a call goes on while its answer arrives", "[platform_http]")
{
    CallFixture fixture;
    fixture.receiveFor(5000);
    CHECK(fixture.expiredAfter == 0);
    fixture.deadline->cancel();
    fixture.loop.advance(Milliseconds(5000));
    CHECK(fixture.expiredAfter == 0);
}

TEST_CASE("a call whose answer stalls ends within 1.8 s", "[platform_http]")
{
    CallFixture fixture;
    fixture.receiveFor(2000);
    fixture.loop.advance(Milliseconds(5000));
    CHECK(fixture.expiredAfter >= 2000);
    CHECK(fixture.expiredAfter <= 3800);
}

TEST_CASE("a platform that sends its answer byte by byte does not hold a call for longer than 14 s", "[platform_http]")
{
    CallFixture fixture;
    fixture.receiveFor(30'000);
    CHECK(fixture.expiredAfter > 0);
    CHECK(fixture.expiredAfter <= 14'000);
}
