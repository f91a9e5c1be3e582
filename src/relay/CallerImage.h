#pragma once

#include "targets/RelayStep.h"

#include <map>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A statement that a caller prepared.
struct PreparedStatement {
    std::string definition;
    bool isWrite { false };
};

/// What a caller has set up in its session; it holds on whatever connection its statements run.
struct CallerImage {
    std::map<std::string, std::string> values;
    /// By the caller's names for them.
    std::map<std::string, PreparedStatement> prepared;
};

/// The steps that make a target's session fit a caller's.
struct Replay {
    std::vector<RelayStep> steps;
    /// The name at the target of the prepared statement that was asked for; empty when none was.
    std::string preparedName;
};

/// Plans what has to be sent so that `target` carries the values of `caller`, and knows the prepared statement with
/// `definition` unless that is empty. Takes the effect of the steps into `target`, whose connection must be dropped if
/// one of them fails.
Replay planReplay(const CallerImage& caller, const std::string& definition, TargetImage& target);

}
