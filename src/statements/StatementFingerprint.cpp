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

// The hash of each part is the seed for the next part's hash, so that ("xy") and ("x", "y") differ. The prefix "="
// distinguishes an empty text from NULL.
uint64_t fingerprintOf(const SqlStatement& statement)
{
    uint64_t fingerprint = fingerprintOfText(statement);
    for (const auto& it : statement.parameters)
        fingerprint = hashOf(it ? "=" + *it : std::string(), fingerprint);
    return fingerprint;
}

}
