#pragma once

#include "sessions/SessionState.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypaddle {

/// A key that signs session tokens.
struct TokenKey {
    /// Identifies the key in the tokens that it signed. Must not be empty or contain a '.'.
    std::string id;
    std::string secret;
};

/// Encodes a session's state in a signed token that the client stores and sends with its next requests, and decodes it.
/// The signature (HMAC-SHA-256) also covers the organisation and the session. The contents are not encrypted.
class TokenSigner {
public:
    /// The first key signs new tokens. Tokens signed with any of the keys are accepted, so that keys can be replaced while
    /// older tokens are still in use. Returns ValueOutOfRange when there are no keys, or when a key has an empty id,
    /// a '.' in its id or a secret shorter than 16 bytes.
    static absl::StatusOr<TokenSigner> create(std::vector<TokenKey>);

    /// Encodes and signs the state.
    std::string sign(const OrganisationId&, const SessionId&, const SessionState&) const;

    /// Verifies and decodes a token. TokenInvalid when the token is malformed, was changed, belongs to another organisation or
    /// session, or is signed with an unknown key.
    absl::StatusOr<SessionState> verify(const OrganisationId&, const SessionId&, std::string_view token) const;

private:
    explicit TokenSigner(std::vector<TokenKey> keys)
        : m_keys(std::move(keys))
    {
    }

    const TokenKey* findKey(std::string_view id) const;

    std::vector<TokenKey> m_keys;
};

}
