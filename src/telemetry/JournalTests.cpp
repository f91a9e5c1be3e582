#include "telemetry/Journal.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

Decision decisionOn(const std::string& request, double at, const std::string& what)
{
    return { Instant(at), RequestId(request), DatabaseId("fitting-1"), what, "because" };
}

}

TEST_CASE("the journal returns the decisions on a request or on a group, oldest first", "[telemetry]")
{
    Journal journal({});
    journal.record(decisionOn("r1", 1, "read"));
    journal.record(decisionOn("", 2, "promote"));
    journal.record(decisionOn("r2", 3, "read"));
    journal.record(decisionOn("r1", 4, "ask another target"));
    REQUIRE(journal.ofRequest(RequestId("r1")).size() == 2);
    CHECK(journal.ofRequest(RequestId("r1"))[1].what == "ask another target");
    REQUIRE(journal.ofDatabase(DatabaseId("fitting-1")).size() == 1);
    CHECK(journal.ofDatabase(DatabaseId("fitting-1"))[0].what == "promote");
    CHECK(journal.ofDatabase(DatabaseId("other")).empty());
    CHECK(journal.completeSince() == Instant());
}

TEST_CASE("the journal stays within its limits, and decisions on requests do not evict those on groups", "[telemetry]")
{
    const JournalLimits limits { 100'000, 10'000 };
    Journal journal(limits);
    journal.record(decisionOn("", 1, "promote"));
    for (int n = 0; n < 10'000; ++n)
        journal.record(decisionOn("r" + std::to_string(n), n, "read"));
    CHECK(journal.storedBytes() <= limits.requestBytes + limits.groupBytes);
    CHECK(journal.storedBytes() > limits.requestBytes / 2);
    CHECK(journal.ofDatabase(DatabaseId("fitting-1")).size() == 1);
    CHECK(journal.ofRequest(RequestId("r0")).empty());
    CHECK(journal.ofRequest(RequestId("r9999")).size() == 1);
    CHECK(journal.completeSince() > Instant(0));
}
