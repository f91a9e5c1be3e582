#include "net/KeyCheck.h"

#include <openssl/crypto.h>

namespace parsleypaddle {

bool isKnownKey(const std::vector<std::string>& keys, const std::string& given)
{
    bool isKnown = false;
    for (const auto& it : keys) {
        if (!it.empty() && it.size() == given.size() && CRYPTO_memcmp(it.data(), given.data(), it.size()) == 0)
            isKnown = true;
    }
    return isKnown;
}

}
