#include "relay/PrimaryLogHistory.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

LogMark mark(uint64_t position)
{
    return { Term(1), LogPosition(position) };
}

}

TEST_CASE("a read requires the oldest mark that is within its age limit", "[relay]")
{
    PrimaryLogHistory history;
    history.addSample(Instant(1000), mark(1));
    history.addSample(Instant(2000), mark(2));
    history.addSample(Instant(3000), mark(3));
    CHECK(history.requiredMark(Instant(3100), Milliseconds(1500)) == mark(2));
    CHECK(history.requiredMark(Instant(3100), Milliseconds(2500)) == mark(1));
    CHECK(history.newestMark() == mark(3));
}

TEST_CASE("no mark is returned when every sample is older than the age limit", "[relay]")
{
    PrimaryLogHistory history;
    CHECK_FALSE(history.requiredMark(Instant(1000), Milliseconds(1500)));
    history.addSample(Instant(1000), mark(1));
    CHECK_FALSE(history.requiredMark(Instant(2600), Milliseconds(1500)));
}

TEST_CASE("a smaller mark in a later sample does not lower the required mark", "[relay]")
{
    PrimaryLogHistory history;
    history.addSample(Instant(1000), mark(5));
    history.addSample(Instant(1100), mark(4));
    CHECK(history.requiredMark(Instant(1200), Milliseconds(200)) == mark(5));
}

TEST_CASE("clearing the history discards the marks of the old primary", "[relay]")
{
    PrimaryLogHistory history;
    history.addSample(Instant(1000), mark(5));
    history.clear();
    CHECK_FALSE(history.newestMark());
}
