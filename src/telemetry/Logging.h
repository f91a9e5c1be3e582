#pragma once

#include <string>

namespace parsleypaddle {

/// Sends decisions to standard output as they are: each is a line of JSON already.
void setUpDecisionLogging();

/// Sends log4cxx's output to standard output, one line an event: time, level, logger, "key=value" fields.
void setUpLogging(const std::string& level);

}
