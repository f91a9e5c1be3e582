#pragma once

#include "standin_program/Pipeline.h"

namespace parsleypaddle {

/// Authentication is granted and the connection is ready.
void writeGreeting(std::string& buf);

void writeError(std::string& buf, std::string_view severity, std::string_view sqlState, std::string_view message);

/// The answer to one message of a pipeline whose statement succeeded.
void writeReply(std::string& buf, PipelineRequest, const StatementResult&);

void writeReadyForQuery(std::string& buf, WireTransaction);

}
