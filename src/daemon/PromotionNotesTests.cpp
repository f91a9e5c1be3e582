#include "daemon/PromotionNotes.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

TEST_CASE("a change of primary is explained by its parts in the order of their times", "[daemon]")
{
    Journal journal { JournalLimits() };
    PromotionReport report;
    report.database = DatabaseId("orders-1");
    report.cause = PromotionCause::PrimarySilent;
    report.term = Term(3);
    report.primary = TargetId("orders-1-b");
    report.primaryLastAnswerAt = Instant(1000);
    report.startedAt = Instant(1700);
    report.fencedAt = Instant(1706);
    report.promotedAt = Instant(1709);
    notePromotion(journal, report);

    const auto notes = journal.ofDatabase(report.database);
    REQUIRE(notes.size() == 3);
    CHECK(notes[0].at == report.startedAt);
    CHECK(notes[0].why.find("last heard 700 ms before") != std::string::npos);
    CHECK(notes[1].what == "fenced a majority at term 3");
    CHECK(notes[1].why == "took 6 ms");
    CHECK(notes[2].what == "promoted orders-1-b at term 3");
}
