#include "base/BrokenRules.h"

#include <utility>

namespace parsleypaddle {

std::optional<BrokenRule> parseBrokenRule(std::string_view name)
{
    constexpr std::pair<std::string_view, BrokenRule> rules[] = {
        { "session-position", BrokenRule::SessionPosition },
        { "ledger", BrokenRule::Ledger },
        { "confirmation", BrokenRule::Confirmation },
        { "unknown-outcome", BrokenRule::UnknownOutcome },
        { "transaction-connection", BrokenRule::TransactionConnection },
        { "leaving", BrokenRule::Leaving },
    };
    for (const auto& [key, rule] : rules) {
        if (key == name)
            return rule;
    }
    return std::nullopt;
}

}
