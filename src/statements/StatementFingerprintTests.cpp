#include "statements/StatementFingerprint.h"

#include <catch2/catch.hpp>
#include <set>

using namespace parsleypaddle;

TEST_CASE("a statement's fingerprint is the same in every process", "[statements]")
{
    CHECK(fingerprintOf({ "INSERT INTO records (key, value) VALUES ($1, $2)", { "k", "v" } }) == 0x34b585a1b557ecd5);
}

TEST_CASE("statements that differ in text, parameters or parameter boundaries have different fingerprints", "[statements]")
{
    const std::vector<SqlStatement> statements {
        { "a", {} },
        { "b", {} },
        { "a", { "" } },
        { "a", { std::nullopt } },
        { "a", { "", "" } },
        { "a", { "xy" } },
        { "a", { "x", "y" } },
        { "a", { "y", "x" } },
    };
    std::set<uint64_t> fingerprints;
    for (const auto& it : statements)
        fingerprints.insert(fingerprintOf(it));
    CHECK(fingerprints.size() == statements.size());
}
