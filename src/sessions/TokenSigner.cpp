#include "sessions/TokenSigner.h"

#include "base/ResultCode.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace parsleypaddle {

namespace {

    constexpr size_t minSecretSize = 16;
    constexpr size_t tokenPartCount = 3;
    constexpr size_t positionFieldCount = 4;
    constexpr char partSeparator = '.';
    constexpr char positionSeparator = '\n';
    constexpr char fieldSeparator = '\t';

    /// Adds to SHA2Engine of POCO 1.11 the constants that HMACEngine requires of a hash engine.
    class Sha256Engine final : public Poco::SHA2Engine {
    public:
        enum : unsigned {
            BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming): HMACEngine requires this name
            DIGEST_SIZE = 32, // NOLINT(readability-identifier-naming)
        };

        Sha256Engine()
            : SHA2Engine(SHA_256)
        {
        }
    };

    std::string signatureOf(const TokenKey& key, const OrganisationId& organisation, const SessionId& session, std::string_view body)
    {
        Poco::HMACEngine<Sha256Engine> engine(key.secret);
        engine.update(absl::StrCat(organisation.value().size(), ":", organisation.value(), session.value().size(), ":", session.value()));
        engine.update(body.data(), body.size());
        const auto& digest = engine.digest();
        return absl::WebSafeBase64Escape(std::string(digest.begin(), digest.end()));
    }

    bool equalsInConstantTime(std::string_view a, std::string_view b)
    {
        if (a.size() != b.size())
            return false;
        unsigned difference = 0;
        for (size_t i = 0; i < a.size(); ++i)
            difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
        return difference == 0;
    }

    absl::Status invalidToken(std::string_view reason)
    {
        return makeError(ResultCode::TokenInvalid, absl::StrCat("invalid session token: ", std::string(reason)));
    }

    bool parsePosition(absl::string_view line, SessionState& state)
    {
        const std::vector<std::string> fields = absl::StrSplit(line, fieldSeparator);
        uint64_t term = 0;
        uint64_t position = 0;
        if (fields.size() != positionFieldCount || !absl::SimpleAtoi(fields[1], &term) || !absl::SimpleAtoi(fields[2], &position))
            return false;
        const DatabaseId database(fields[0]);
        state.advance(database, Term(term), LogPosition(position));
        if (fields[3] == "1")
            state.setUncertain(database);
        return true;
    }

    std::string bodyOf(const SessionState& state)
    {
        std::string body;
        for (const auto& it : state.positions()) {
            if (!body.empty())
                body.push_back(positionSeparator);
            absl::StrAppend(&body, it.database.value(), std::string(1, fieldSeparator), it.term.value(), std::string(1, fieldSeparator),
                it.position.value(), std::string(1, fieldSeparator), it.isUncertain ? "1" : "0");
        }
        return body;
    }

}

absl::StatusOr<TokenSigner> TokenSigner::create(std::vector<TokenKey> keys)
{
    if (keys.empty())
        return makeError(ResultCode::ValueOutOfRange, "at least one key is required to sign session tokens");
    for (const auto& it : keys) {
        if (it.id.empty() || it.id.find(partSeparator) != std::string::npos)
            return makeError(ResultCode::ValueOutOfRange, "the id of a token key must not be empty or contain a '.'");
        if (it.secret.size() < minSecretSize)
            return makeError(ResultCode::ValueOutOfRange, absl::StrCat("the secret of token key ", it.id, " is too short: it needs at least ", minSecretSize, " bytes"));
    }
    return TokenSigner(std::move(keys));
}

std::string TokenSigner::sign(const OrganisationId& organisation, const SessionId& session, const SessionState& state) const
{
    const TokenKey& key = m_keys.front();
    const std::string body = absl::WebSafeBase64Escape(bodyOf(state));
    return absl::StrCat(key.id, ".", body, ".", signatureOf(key, organisation, session, body));
}

absl::StatusOr<SessionState> TokenSigner::verify(const OrganisationId& organisation, const SessionId& session, std::string_view token) const
{
    const std::vector<std::string> parts = absl::StrSplit(absl::string_view(token.data(), token.size()), partSeparator);
    if (parts.size() != tokenPartCount)
        return invalidToken("damaged");
    const TokenKey* key = findKey(parts[0]);
    if (!key)
        return invalidToken("it is signed with an unknown key");
    if (!equalsInConstantTime(signatureOf(*key, organisation, session, parts[1]), parts[2]))
        return invalidToken("its signature does not match its contents, or it belongs to another shop or session");

    SessionState state;
    std::string body;
    if (!absl::WebSafeBase64Unescape(parts[1], &body))
        return invalidToken("damaged");
    if (body.empty())
        return state;
    for (const auto& line : absl::StrSplit(body, positionSeparator)) {
        if (!parsePosition(line, state))
            return invalidToken("damaged");
    }
    return state;
}

const TokenKey* TokenSigner::findKey(std::string_view id) const
{
    for (const auto& it : m_keys) {
        if (it.id == id)
            return &it;
    }
    return nullptr;
}

}
