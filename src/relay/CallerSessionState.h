#pragma once

#include "targets/TargetSession.h"

#include <map>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A prepared statement of a caller's session.
struct PreparedStatement {
    std::string definition;
    bool isWrite { false };
};

/// Session variables and prepared statements of a caller. They apply on every connection that runs the caller's
/// statements.
struct CallerSessionState {
    std::map<std::string, std::string> values;
    /// Keyed by the name that the caller chose.
    std::map<std::string, PreparedStatement> prepared;
};

/// Statements that make the session of a target connection match a caller's session.
struct SessionSetup {
    std::vector<RelayStep> steps;
    /// Name at the target of the requested prepared statement; empty when none was requested.
    std::string preparedName;
};

/// Returns the statements that give a connection's session at its target the variables of `caller` and, unless `definition` is empty, the
/// prepared statement with that definition.
SessionSetup planSessionSetup(const CallerSessionState& caller, const std::string& definition, const TargetSession&);

}
