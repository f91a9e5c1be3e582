#pragma once

#include <string>

namespace parsleypaddle {

/// Configures log4cxx to write messages of level INFO and above to standard output without a prefix, as
/// each message of DecisionLog is a line of JSON already.
void setUpDecisionLogging();

/// Configures log4cxx to write log messages from `level` upwards to standard output, one line each: time, level, logger and the
/// message's "key=value" fields.
void setUpLogging(const std::string& level);

}
