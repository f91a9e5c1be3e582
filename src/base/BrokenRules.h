#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>

namespace parsleypaddle {

/// A correctness rule that a test disables on purpose, to prove that the checker detects the violation. The comment of each
/// enumerator says what happens while that rule is disabled.
enum class BrokenRule : uint8_t {
    /// Reads are not checked against the log position that the session requires.
    SessionPosition,
    /// Each attempt of a write carries a new ledger key, so that retries are not deduplicated.
    Ledger,
    /// Writes are acknowledged without confirmation by a majority, and a primary that has lost its majority still runs requests.
    Confirmation,
    /// A request with an unknown outcome is reported as not run.
    UnknownOutcome,
    /// The statements of all open transactions of a target run on one connection, instead of each transaction having its own.
    TransactionConnection,
    /// Targets that are leaving still receive new work.
    Leaving,
};

/// Parses a rule's name, such as "session-position"; returns nullopt for an unknown name.
std::optional<BrokenRule> parseBrokenRule(std::string_view name);

/// The set of rules disabled in this run. In builds without test hooks, isDisabled() always returns false.
class BrokenRules {
public:
    BrokenRules() = default;
    explicit BrokenRules(std::set<BrokenRule> rules)
        : m_rules(std::move(rules))
    {
    }

    bool isDisabled([[maybe_unused]] BrokenRule rule) const
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
