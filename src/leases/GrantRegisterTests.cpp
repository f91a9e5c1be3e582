#include "leases/GrantRegister.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

const InstanceId instance("member");
const Instant start(1000);

GrantRegister registerWithGrant(RowVersion epoch)
{
    GrantRegister grants;
    grants.add({ instance, {}, 0 }, "first", start);
    grants.update(instance, "first", epoch, 3, start);
    CHECK(grants.grant(instance, "first", start + Milliseconds(2500)));
    return grants;
}

}

TEST_CASE("a grant that was given before a change was confirmed delays it until it expires", "[leases]")
{
    const GrantRegister grants = registerWithGrant(RowVersion(5));
    CHECK_FALSE(grants.unconfirmedUntil(RowVersion(5), start));
    CHECK(grants.unconfirmedUntil(RowVersion(6), start) == start + Milliseconds(2500));
    CHECK_FALSE(grants.unconfirmedUntil(RowVersion(6), start + Milliseconds(2500)));
}

TEST_CASE("a grant whose subscriber restarts or is removed as another process still lasts", "[leases]")
{
    GrantRegister grants = registerWithGrant(RowVersion(5));
    grants.add({ instance, {}, 0 }, "second", start);
    grants.update(instance, "second", RowVersion(6), 0, start);
    grants.remove(instance, "second");
    CHECK(grants.unconfirmedUntil(RowVersion(6), start));
    grants.remove(instance, "first");
    CHECK_FALSE(grants.unconfirmedUntil(RowVersion(6), start));
}

// A frozen subscriber reports again after it was dropped.
TEST_CASE("a subscriber that was dropped is granted nothing until it is added again", "[leases]")
{
    GrantRegister grants = registerWithGrant(RowVersion(5));
    const Instant later = start + Milliseconds(5000);
    grants.expire(later);
    CHECK(grants.isEmpty());
    CHECK_FALSE(grants.grant(instance, "first", later + Milliseconds(2500)));
}

TEST_CASE("a subscriber that reports is kept while it has no grant", "[leases]")
{
    GrantRegister grants;
    grants.add({ instance, {}, 0 }, "first", start);
    grants.update(instance, "first", RowVersion(1), 7, start + Milliseconds(3000));
    grants.expire(start + Milliseconds(5000));
    REQUIRE(grants.members().size() == 1);
    CHECK(grants.members().front().sessions == 7);
    CHECK_FALSE(grants.hasGrants(start + Milliseconds(5000)));
}
