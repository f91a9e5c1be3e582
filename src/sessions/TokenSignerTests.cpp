#include "sessions/TokenSigner.h"

#include "base/ResultCode.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

const TokenKey oldKey { "k1", "an old secret of 16+ bytes" };
const TokenKey newKey { "k2", "a new secret of 16+ bytes" };
const OrganisationId organisation("shop");
const SessionId session("session");

SessionState exampleState()
{
    SessionState state;
    state.advance(DatabaseId("orders-1"), Term(2), LogPosition(77));
    state.advance(DatabaseId("orders-2"), Term(1), LogPosition(5));
    state.setUncertain(DatabaseId("orders-2"));
    return state;
}

}

TEST_CASE("decoding a token restores the session state", "[sessions]")
{
    const auto sealer = TokenSigner::create({ newKey });
    REQUIRE(sealer.ok());
    const auto state = sealer->verify(organisation, session, sealer->sign(organisation, session, exampleState()));
    REQUIRE(state.ok());
    CHECK(state->find(DatabaseId("orders-1"))->position == LogPosition(77));
    CHECK(state->find(DatabaseId("orders-1"))->term == Term(2));
    CHECK_FALSE(state->find(DatabaseId("orders-1"))->isUncertain);
    CHECK(state->find(DatabaseId("orders-2"))->isUncertain);
}

TEST_CASE("a token with any byte changed is rejected", "[sessions]")
{
    const auto sealer = TokenSigner::create({ newKey });
    const std::string token = sealer->sign(organisation, session, exampleState());
    for (size_t i = 0; i < token.size(); ++i) {
        std::string damaged = token;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        INFO(i);
        CHECK(resultCodeOf(sealer->verify(organisation, session, damaged).status()) == ResultCode::TokenInvalid);
    }
}

TEST_CASE("a token is rejected for another organisation or session", "[sessions]")
{
    const auto sealer = TokenSigner::create({ newKey });
    const std::string token = sealer->sign(organisation, session, exampleState());
    CHECK_FALSE(sealer->verify(OrganisationId("other"), session, token).ok());
    CHECK_FALSE(sealer->verify(organisation, SessionId("other"), token).ok());
}

TEST_CASE("tokens stay valid after a new key is added, until the key that signed them is removed", "[sessions]")
{
    const auto before = TokenSigner::create({ oldKey });
    const auto during = TokenSigner::create({ newKey, oldKey });
    const auto after = TokenSigner::create({ newKey });
    const std::string token = before->sign(organisation, session, exampleState());
    CHECK(during->verify(organisation, session, token).ok());
    CHECK_FALSE(after->verify(organisation, session, token).ok());
    CHECK(after->verify(organisation, session, during->sign(organisation, session, exampleState())).ok());
}

TEST_CASE("creation fails without keys, with a short secret or with a '.' in a key id", "[sessions]")
{
    CHECK_FALSE(TokenSigner::create({}).ok());
    CHECK_FALSE(TokenSigner::create({ { "k1", "short" } }).ok());
    CHECK_FALSE(TokenSigner::create({ { "a.b", newKey.secret } }).ok());
}
