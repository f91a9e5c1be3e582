#include "tests/fuzz/FuzzTargets.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace parsleypaddle::fuzz {

const std::vector<FuzzTarget>& fuzzTargets()
{
    static const std::vector<FuzzTarget> targets {
        { "message-reader", fuzzMessageReader },
        { "caller-message", fuzzCallerMessage },
        { "peer-message", fuzzPeerMessage },
        { "too-long-message", fuzzTooLongMessage },
        { "role-report", fuzzRoleReport },
        { "answer", fuzzAnswer },
        { "answer-sequence", fuzzAnswerSequence },
        { "json-fields", fuzzJsonFields },
        { "configuration", fuzzConfiguration },
        { "target-entry", fuzzTargetEntry },
        { "target-rows", fuzzTargetRows },
        { "rows-page", fuzzRowsPage },
        { "era-header", fuzzEraHeader },
        { "instance-settings", fuzzInstanceSettings },
        { "source-message", fuzzSourceMessage },
        { "table-copy", fuzzTableCopy },
        { "quota-message", fuzzQuotaMessage },
        { "lease-row", fuzzLeaseRow },
        { "era-row", fuzzEraRow },
        { "group-record", fuzzGroupRecord },
        { "compressed-text", fuzzCompressedText },
    };
    return targets;
}

const FuzzTarget* findFuzzTarget(std::string_view name)
{
    const auto& targets = fuzzTargets();
    const auto it = std::find_if(targets.begin(), targets.end(), [name](const FuzzTarget& target) { return target.name == name; });
    return it == targets.end() ? nullptr : &*it;
}

void expect(bool holds, const char* property)
{
    if (holds)
        return;
    std::fprintf(stderr, "fuzz: does not hold: %s\n", property);
    std::abort();
}

}
