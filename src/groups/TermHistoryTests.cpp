#include "groups/TermHistory.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

LogMark mark(uint64_t term, uint64_t position)
{
    return { Term(term), LogPosition(position) };
}

}

TEST_CASE("a log counts up to where the next term began", "[groups]")
{
    TermHistory history;
    history.add(Term(2), LogPosition(90));
    CHECK(history.keptPart(mark(1, 100)) == mark(1, 90));
    CHECK(history.hasLeftBranch(mark(1, 91)));
    CHECK_FALSE(history.hasLeftBranch(mark(1, 90)));
    CHECK_FALSE(history.hasLeftBranch(mark(2, 300)));
}

TEST_CASE("a log counts up to the earliest beginning of a later term", "[groups]")
{
    TermHistory history;
    history.add(Term(2), LogPosition(90));
    history.add(Term(3), LogPosition(80));
    history.add(Term(4), LogPosition(200));
    CHECK(history.keptPart(mark(1, 100)) == mark(1, 80));
    CHECK(history.keptPart(mark(2, 100)) == mark(2, 80));
    CHECK(history.keptPart(mark(3, 230)) == mark(3, 200));
    CHECK(history.keptPart(mark(4, 230)) == mark(4, 230));
}

TEST_CASE("a term is added once, and the last ones are kept", "[groups]")
{
    TermHistory history;
    history.add(Term(5), LogPosition(10));
    history.add(Term(5), LogPosition(20));
    history.add(Term(4), LogPosition(5));
    REQUIRE(history.begins().size() == 1);
    CHECK(history.begins().front() == mark(5, 10));
    for (uint64_t term = 6; term < 40; ++term)
        history.add(Term(term), LogPosition(term));
    CHECK(history.begins().size() == TermHistory::maxTerms);
    CHECK(history.begins().back() == mark(39, 39));
}
