#include "base/ResultCode.h"
#include "directory/OrganisationDirectory.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace parsleypaddle;

namespace {

OrganisationEntry entryOf(const std::string& name, std::vector<std::string> keys, double perSecond = 10, double burst = 5)
{
    return { { OrganisationId(name), { perSecond, burst } }, std::move(keys) };
}

}

TEST_CASE("an organisation is found by each of its keys and by its name", "[directory]")
{
    const auto directory = OrganisationDirectory::create({ entryOf("acme", { "k1", "k2" }), entryOf("foil", { "k3" }, 7, 3), entryOf("idle", {}) });
    REQUIRE(directory.ok());
    CHECK((*directory)->size() == 3);
    CHECK((*directory)->findByKey("k1")->id == OrganisationId("acme"));
    CHECK((*directory)->findByKey("k2")->id == OrganisationId("acme"));
    CHECK((*directory)->findByKey("k3")->limit.perSecond == 7);
    CHECK((*directory)->findByKey("k3")->limit.burst == 3);
    CHECK((*directory)->find(OrganisationId("idle")));
    CHECK_FALSE((*directory)->findByKey("acme"));
    CHECK_FALSE((*directory)->findByKey(""));
    CHECK_FALSE((*directory)->find(OrganisationId("k1")));
}

// An emptied list of tenants must deny every key instead of turning identification off.
TEST_CASE("an empty directory knows no key", "[directory]")
{
    const auto directory = OrganisationDirectory::create({});
    REQUIRE(directory.ok());
    REQUIRE(*directory);
    CHECK_FALSE((*directory)->findByKey("k1"));
}

// A wrong entry would admit the wrong callers, or break the lines in which names travel.
TEST_CASE("an invalid organisation is rejected with an error that contains no key", "[directory]")
{
    const std::string secret = "s3cr3t";
    const std::string longKey = secret + std::string(OrganisationDirectory::maxKeyBytes, 'x');
    const double infinite = std::numeric_limits<double>::infinity();
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const std::vector<std::vector<OrganisationEntry>> rejected {
        { entryOf("", { secret }) },
        { entryOf("two words", { secret }) },
        { entryOf("line\nend", { secret }) },
        { entryOf("-", { secret }) },
        { entryOf("~parsleypaddle", { secret }) },
        { entryOf(std::string(OrganisationDirectory::maxNameBytes + 1, 'n'), { secret }) },
        { entryOf("acme", { secret }), entryOf("acme", { "other" }) },
        { entryOf("acme", { secret }), entryOf("foil", { "other", secret }) },
        { entryOf("acme", { secret, "" }) },
        { entryOf("acme", { longKey }) },
        { entryOf("acme", { "~" + secret }) },
        { entryOf("acme", { secret }, -1) },
        { entryOf("acme", { secret }, 10, -1) },
        { entryOf("acme", { secret }, infinite) },
        { entryOf("acme", { secret }, nan) },
        { entryOf("acme", { secret }, 10, 2e9) },
    };
    for (const auto& it : rejected) {
        const auto directory = OrganisationDirectory::create(it);
        CAPTURE(it.front().organisation.id.value());
        CHECK(resultCodeOf(directory.status()) == ResultCode::ValueOutOfRange);
        CHECK(std::string(directory.status().message()).find(secret) == std::string::npos);
    }
}

TEST_CASE("a key of the greatest length and a key listed twice for one organisation are accepted", "[directory]")
{
    CHECK(OrganisationDirectory::create({ entryOf("acme", { std::string(OrganisationDirectory::maxKeyBytes, 'x'), "k1", "k1" }) }).ok());
}
