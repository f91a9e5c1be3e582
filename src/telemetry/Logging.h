#pragma once

#include <cstdint>
#include <string>

namespace parsleypaddle {

// Both functions write to standard output on a thread of its own. While nobody reads it, up to 2 MiB of lines are queued. Further ones are
// dropped and counted; the next line that is written is preceded by one that says how many are missing.

/// Configures log4cxx to write messages of level INFO and above without a prefix, as each message of DecisionLog is a line of JSON already.
/// `instance` is named in lines on lost ones.
void setUpDecisionLogging(const std::string& instance);

/// Configures log4cxx to write log messages from `level` upwards, one line each: time, level, logger and the message's "key=value" fields.
void setUpLogging(const std::string& level);

/// Lines that were dropped so far because standard output could not be written to.
uint64_t lostLogLines();

}
