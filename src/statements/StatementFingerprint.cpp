#include "statements/StatementFingerprint.h"

#include <string>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    uint64_t hashOf(const std::string& text, uint64_t seed)
    {
        return XXH64(text.data(), text.size(), seed);
    }

}

uint64_t fingerprintOfText(const SqlStatement& statement)
{
    return hashOf(statement.text, 0);
}

// Each part seeds the next one's hash, so that the borders between parts count.
uint64_t fingerprintOf(const SqlStatement& statement)
{
    uint64_t fingerprint = fingerprintOfText(statement);
    for (const auto& it : statement.parameters)
        fingerprint = hashOf(it ? "=" + *it : std::string(), fingerprint);
    return fingerprint;
}

}
