#include "relay/CallerIdentification.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

std::shared_ptr<const OrganisationDirectory> acmeWith(const std::string& key)
{
    return *OrganisationDirectory::create({ { { OrganisationId("acme"), { 10, 5 } }, { key } } });
}

Route routeThatIsPublic(bool isPublic)
{
    Route route;
    route.database = DatabaseId("orders");
    route.isPublic = isPublic;
    return route;
}

}

TEST_CASE("without organisations a caller keeps the name that it gives, and its statements run for no organisation", "[relay]")
{
    const CallerIdentification identification;
    const auto identity = identification.identify(CallerKey("u3f1"), routeThatIsPublic(false));
    CHECK(identity.error == RelayError::None);
    CHECK(identity.caller == OrganisationId("u3f1"));
    CHECK(identity.organisation.isEmpty());
    CHECK_FALSE(identity.hasOrganisations);
}

TEST_CASE("a key identifies its organisation, an unknown key nobody, and a public route needs none", "[relay]")
{
    CallerIdentification identification;
    identification.setOrganisations(acmeWith("k1"));
    const auto known = identification.identify(CallerKey("k1"), routeThatIsPublic(false));
    CHECK(known.error == RelayError::None);
    CHECK(known.caller == OrganisationId("acme"));
    CHECK(known.organisation == OrganisationId("acme"));
    CHECK(known.limit.perSecond == 10);
    CHECK(known.hasOrganisations);
    const auto unknown = identification.identify(CallerKey("k2"), routeThatIsPublic(false));
    CHECK(unknown.error == RelayError::Unauthorized);
    CHECK(unknown.why.find("k2") == std::string::npos);
    CHECK(unknown.caller == OrganisationId("-"));
    for (const std::string key : { "k1", "k2", "" }) {
        const auto open = identification.identify(CallerKey(key), routeThatIsPublic(true));
        CHECK(open.error == RelayError::None);
        CHECK(open.caller == OrganisationId("-"));
        CHECK(open.organisation.isEmpty());
        CHECK(open.hasOrganisations);
    }
}

// What a caller gives for its name is logged where there are no organisations. A configuration that drops them must not make keys names.
TEST_CASE("a key does not become a name when a later configuration has no organisations", "[relay]")
{
    CallerIdentification identification;
    identification.setOrganisations(acmeWith("k1"));
    identification.setOrganisations(nullptr);
    const auto identity = identification.identify(CallerKey("k1"), routeThatIsPublic(false));
    CHECK(identity.error == RelayError::None);
    CHECK(identity.caller == OrganisationId("-"));
    CHECK_FALSE(identity.hasOrganisations);
}

TEST_CASE("a forwarded statement runs for whom the sender says", "[relay]")
{
    CallerIdentification identification;
    const Route route = routeThatIsPublic(false);
    const auto early = identification.identifyForwarded(CallerKey("~parsleypaddle"), std::nullopt, route);
    CHECK(early.caller == OrganisationId("~parsleypaddle"));
    identification.setOrganisations(acmeWith("k1"));
    // The home may have received another version of the configuration; the sender has checked the key.
    const auto other = identification.identifyForwarded(CallerKey("~parsleypaddle"), ForwardedFor { OrganisationId("foil"), {} }, route);
    CHECK(other.error == RelayError::None);
    CHECK(other.organisation == OrganisationId("foil"));
    CHECK(other.caller == OrganisationId("foil"));
    const auto open = identification.identifyForwarded(CallerKey("~parsleypaddle"), ForwardedFor {}, route);
    CHECK(open.error == RelayError::None);
    CHECK(open.organisation.isEmpty());
    CHECK(open.caller == OrganisationId("-"));
}

// A statement of an unknown organisation would run on a connection of none. The sender has an earlier configuration, so a retry helps.
TEST_CASE("a statement that is forwarded without an organisation is refused where it needs one", "[relay]")
{
    CallerIdentification identification;
    identification.setOrganisations(acmeWith("k1"));
    CHECK(identification.identifyForwarded(CallerKey("~parsleypaddle"), std::nullopt, routeThatIsPublic(false)).error == RelayError::Busy);
    CHECK(identification.identifyForwarded(CallerKey("~parsleypaddle"), std::nullopt, routeThatIsPublic(true)).error == RelayError::None);
}

TEST_CASE("while nothing confirms the configuration, keys are refused only if the settings say so", "[relay]")
{
    Milliseconds age(0);
    CallerIdentification identification;
    identification.setOrganisations(acmeWith("k1"));
    const Route route = routeThatIsPublic(false);
    const auto errorOf = [&](bool isFailClosed, double milliseconds) {
        age = Milliseconds(milliseconds);
        identification.setRevocation({ isFailClosed, Milliseconds(5000), Milliseconds(5000) }, [&age] { return age; });
        return identification.identify(CallerKey("k1"), route).error;
    };
    CHECK(errorOf(false, 60'000) == RelayError::None);
    CHECK(errorOf(true, 5000) == RelayError::None);
    CHECK(errorOf(true, 5001) == RelayError::Busy);
    // An unknown key may be in the version that is not known here.
    CHECK(identification.identify(CallerKey("k2"), route).error == RelayError::Busy);
    CHECK(identification.identify(CallerKey("k2"), routeThatIsPublic(true)).error == RelayError::None);
    identification.setOrganisations(nullptr);
    CHECK(identification.identify(CallerKey("k1"), route).error == RelayError::None);
}

// A daemon in a failure domain that is cut off may lack a version that adds the key, and the key's caller must not be denied then.
TEST_CASE("an unknown key is denied only while the configuration is confirmed", "[relay]")
{
    Milliseconds age(5000);
    CallerIdentification identification;
    identification.setOrganisations(acmeWith("k1"));
    identification.setRevocation({}, [&age] { return age; });
    const Route route = routeThatIsPublic(false);
    CHECK(identification.identify(CallerKey("k2"), route).error == RelayError::Unauthorized);
    CHECK(identification.mayDenyDatabase());
    age = Milliseconds(5001);
    CHECK(identification.identify(CallerKey("k2"), route).error == RelayError::Busy);
    CHECK(identification.identify(CallerKey("k1"), route).error == RelayError::None);
    CHECK_FALSE(identification.mayDenyDatabase());
    identification.setOrganisations(nullptr);
    CHECK_FALSE(identification.mayDenyDatabase());
    age = Milliseconds(5000);
    CHECK(identification.mayDenyDatabase());
}

// The promise for changes of the configuration may be shorter than that for keys.
TEST_CASE("a database is denied only while the configuration was confirmed within the time of a change", "[relay]")
{
    const bool hasOrganisations = GENERATE(false, true);
    Milliseconds age(3000);
    CallerIdentification identification;
    identification.setOrganisations(hasOrganisations ? acmeWith("k1") : nullptr);
    identification.setRevocation({ false, Milliseconds(5000), Milliseconds(3000) }, [&age] { return age; });
    CHECK(identification.mayDenyDatabase());
    age = Milliseconds(3001);
    CHECK_FALSE(identification.mayDenyDatabase());
    // Keys have their own limit.
    if (hasOrganisations)
        CHECK(identification.identify(CallerKey("k2"), routeThatIsPublic(false)).error == RelayError::Unauthorized);
}
