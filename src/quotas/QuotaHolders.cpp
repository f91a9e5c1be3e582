#include "quotas/QuotaHolders.h"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

namespace parsleypaddle {

std::vector<QuotaHolder> rankedQuotaHolders(const std::vector<QuotaHolder>& holders, const FailureDomainId& domain)
{
    constexpr std::string_view key = "quota-coordinator";
    const uint64_t seed = XXH64(key.data(), key.size(), 0);
    std::vector<QuotaHolder> result;
    std::copy_if(holders.begin(), holders.end(), std::back_inserter(result), [&domain](const QuotaHolder& it) { return it.domain == domain; });
    const auto hash = [seed](const QuotaHolder& it) { return XXH64(it.instance.value().data(), it.instance.value().size(), seed); };
    std::sort(result.begin(), result.end(), [&hash](const QuotaHolder& a, const QuotaHolder& b) { return std::pair(hash(a), a.instance) < std::pair(hash(b), b.instance); });
    return result;
}

}
