#pragma once

#include "targets/RelayStep.h"

#include <map>
#include <string>
#include <vector>

namespace parsleypaddle {

/// What a target has confirmed of the session of one connection: its variables and its prepared statements. Changes only with answers
/// of the target, so that steps which were planned but not sent, or not answered, leave it as it is.
class TargetSession {
public:
    /// The part of a statement that may change the session.
    struct Step {
        RelayKind kind { RelayKind::Unknown };
        std::string name;
        std::string argument;
    };

    /// The parts of the statements, one for each.
    static std::vector<Step> stepsOf(const std::vector<RelayStep>&);

    const std::map<std::string, std::string>& variables() const { return m_variables; }
    /// The target's name of the prepared statement with this definition; null if there is none.
    const std::string* findPrepared(const std::string& definition) const;
    size_t preparedCount() const { return m_prepared.size(); }
    /// The target's name of the prepared statement that was not executed for the longest time; null if there is none.
    const std::string* leastRecentlyExecuted() const;
    /// A name that the target does not know.
    std::string unusedName() const;

    /// Applies the answers to the steps, one for each.
    void apply(const std::vector<Step>&, const std::vector<RelayAnswer>&);
    /// False once the target has refused a change of the session, or does not know a statement that it had confirmed. The connection must
    /// not be used for another caller then.
    bool isKnown() const { return m_isKnown; }

private:
    struct Prepared {
        std::string name;
        /// Number of executions on the connection so far when this statement was last executed or prepared.
        uint64_t lastExecution { 0 };
    };

    void applySuccess(const Step&);
    void noteExecution(const std::string& name);

    std::map<std::string, std::string> m_variables;
    /// By definition.
    std::map<std::string, Prepared> m_prepared;
    uint64_t m_executions { 0 };
    /// How many statements were prepared on the connection.
    uint64_t m_preparations { 0 };
    bool m_isKnown { true };
};

}
