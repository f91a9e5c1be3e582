#include "distribution/TableCopy.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

StoredRow row(const std::string& key, uint64_t version, bool isDeleted = false)
{
    return { "table", key, isDeleted ? "" : "value", RowVersion(version), isDeleted };
}

RowsAnswer answer(uint64_t version, std::vector<StoredRow> rows)
{
    RowsAnswer result;
    result.version = RowVersion(version);
    result.rows = std::move(rows);
    return result;
}

}

TEST_CASE("a copy reports the changes after a version, deletions included", "[distribution]")
{
    TableCopy copy;
    copy.setAll(answer(10, { row("a", 3), row("b", 8) }));
    copy.applyChanges(answer(12, { row("a", 11, true), row("c", 12) }));
    const RowsAnswer changes = copy.changesAfter(RowVersion(10));
    REQUIRE(changes.rows.size() == 2);
    CHECK(changes.rows[0].key == "a");
    CHECK(changes.rows[0].isDeleted);
    CHECK(changes.rows[1].key == "c");
    CHECK(changes.version == RowVersion(12));
    CHECK(copy.wholeTable().rows.size() == 2);
}

TEST_CASE("a copy does not know the changes before it was read", "[distribution]")
{
    TableCopy copy;
    copy.setAll(answer(10, { row("a", 3) }));
    CHECK(copy.changesAfter(RowVersion(9)).isHistoryLost);
    CHECK_FALSE(copy.changesAfter(RowVersion(10)).isHistoryLost);
}

TEST_CASE("a copy does not return to an older state", "[distribution]")
{
    TableCopy copy;
    copy.setAll(answer(10, { row("a", 3), row("b", 8) }));
    copy.applyChanges(answer(12, { row("a", 12, true) }));
    SECTION("by an older read of the table")
    {
        copy.setAll(answer(11, { row("a", 3), row("b", 8) }));
    }
    SECTION("by an older change")
    {
        copy.applyChanges(answer(11, { row("a", 11) }));
    }
    CHECK(copy.version() == RowVersion(12));
    REQUIRE(copy.wholeTable().rows.size() == 1);
    CHECK(copy.wholeTable().rows[0].key == "b");
}

TEST_CASE("a row that is missing from a later read was deleted", "[distribution]")
{
    TableCopy copy;
    copy.setAll(answer(10, { row("a", 3), row("b", 8) }));
    copy.setAll(answer(20, { row("b", 8) }));
    const RowsAnswer changes = copy.changesAfter(RowVersion(15));
    REQUIRE(changes.rows.size() == 1);
    CHECK(changes.rows[0].key == "a");
    CHECK(changes.rows[0].isDeleted);
}

TEST_CASE("a copy keeps a bounded number of deleted rows", "[distribution]")
{
    TableCopy copy;
    copy.setAll(answer(10, {}));
    for (uint64_t it = 11; it < 2000; ++it)
        copy.applyChanges(answer(it, { row("row-" + std::to_string(it), it, true) }));
    CHECK(copy.changesAfter(RowVersion(11)).isHistoryLost);
    CHECK(copy.changesAfter(copy.version()).rows.empty());
}

// The numbers of another era are given out again, so they say nothing about rows that an earlier era had.
TEST_CASE("a copy is replaced as a whole by the first answer of a later era", "[distribution]")
{
    const auto inEra = [](uint64_t era, uint64_t number) { return RowVersion(PlatformEra(era), number); };
    RowsAnswer first;
    first.version = inEra(1, 30);
    first.rows = { { "table", "a", "lost", inEra(1, 30), false }, { "table", "b", "lost", inEra(1, 20), false } };
    RowsAnswer second;
    second.version = inEra(2, 12);
    second.rows = { { "table", "a", "old", inEra(2, 5), false } };
    TableCopy copy;
    CHECK(copy.setAll(first));
    SECTION("with a lower number")
    {
        CHECK(copy.setAll(second));
        REQUIRE(copy.wholeTable().rows.size() == 1);
        CHECK(copy.wholeTable().rows[0].value == "old");
        CHECK(copy.changesAfter(inEra(1, 30)).isHistoryLost);
        CHECK(copy.changesAfter(inEra(2, 11)).isHistoryLost);
    }
    SECTION("but not by its changes")
    {
        copy.applyChanges(second);
        CHECK(copy.wholeTable().rows[0].value == "lost");
    }
    SECTION("and does not return to the earlier one")
    {
        CHECK(copy.setAll(second));
        CHECK_FALSE(copy.setAll(first));
        CHECK(copy.version() == inEra(2, 12));
    }
}

// The platform may answer an earlier request late.
TEST_CASE("an answer that is older than the copy does not bring a deleted row back", "[distribution]")
{
    const RowsAnswer late = answer(12, { row("a", 11), row("b", 12) });
    TableCopy copy;
    copy.setAll(answer(20, { row("b", 12) }));
    copy.applyChanges(late);
    REQUIRE(copy.wholeTable().rows.size() == 1);
    CHECK(copy.wholeTable().rows[0].key == "b");
    CHECK(copy.version() == RowVersion(20));
}
