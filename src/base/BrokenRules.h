#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

namespace parsleypaddle {

/// A rule that a test may break on purpose, to show that the checker sees the harm.
enum class BrokenRule : uint8_t {
    /// Reads ignore the session's position.
    SessionPosition,
    /// Writes carry a new ledger key at each attempt.
    Ledger,
    /// Writes are acknowledged without asking a majority.
    Confirmation,
    /// An unknown outcome is told as not run.
    UnknownOutcome,
    /// Transactions share one connection.
    TransactionConnection,
    /// Leaving targets go on getting work.
    Leaving,
};

/// The rule of that name, such as "session-position"; nullopt for any other name.
std::optional<BrokenRule> brokenRuleNamed(std::string_view name);

/// The rules broken in this run; none, ever, in builds without test hooks.
class BrokenRules {
public:
    BrokenRules() = default;
    explicit BrokenRules(std::set<BrokenRule> rules)
        : m_rules(std::move(rules))
    {
    }

    bool has([[maybe_unused]] BrokenRule rule) const
    {
#ifdef PARSLEYPADDLE_TEST_HOOKS
        return m_rules.count(rule) > 0;
#else
        return false;
#endif
    }

private:
    std::set<BrokenRule> m_rules;
};

}
