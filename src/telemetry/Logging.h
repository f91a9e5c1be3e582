#pragma once

#include <string>

namespace parsleypaddle {

/// Writes log messages to standard output without a prefix, as each message of DecisionLog is a line of JSON already.
void setUpDecisionLogging();

/// Writes log messages from `level` upwards to standard output, one line each: time, level, logger and the
/// message's "key=value" fields.
void setUpLogging(const std::string& level);

}
