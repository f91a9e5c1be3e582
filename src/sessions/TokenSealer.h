#pragma once

#include "sessions/SessionState.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypaddle {

/// A key that signs session tokens.
struct TokenKey {
    /// Names the key within tokens: letters and digits.
    std::string id;
    std::string secret;
};

/// Writes a session's state into a token that the caller keeps, and reads it back. The token is signed
/// (HMAC-SHA-256) and bound to its shop and session; its contents are readable, not secret.
class TokenSealer {
public:
    /// The first key signs; all are accepted, so that keys can be replaced while old tokens are about.
    /// ValueOutOfRange for no key, an empty id or a secret under 16 bytes.
    static absl::StatusOr<TokenSealer> create(std::vector<TokenKey>);

    std::string seal(const ShopId&, const SessionId&, const SessionState&) const;

    /// TokenInvalid when the token is damaged, forged, of another shop or session, or of an unknown key.
    absl::StatusOr<SessionState> open(const ShopId&, const SessionId&, std::string_view token) const;

private:
    explicit TokenSealer(std::vector<TokenKey> keys)
        : m_keys(std::move(keys))
    {
    }

    const TokenKey* findKey(std::string_view id) const;

    std::vector<TokenKey> m_keys;
};

}
