#pragma once

#include "statements/Rows.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// What one client message asks to be answered.
enum class PipelineRequest : uint8_t {
    Parse,
    Bind,
    Describe,
    Execute,
    Close,
};

/// One message of a pipeline and the statement it belongs to.
struct PipelineMessage {
    PipelineRequest request { PipelineRequest::Parse };
    size_t statement { 0 };
};

/// What a client sent up to one Sync: it succeeds or fails as a whole.
struct Pipeline {
    std::vector<SqlStatement> statements;
    std::vector<PipelineMessage> messages;
};

/// The transaction state that ReadyForQuery tells.
enum class WireTransaction : char {
    Idle = 'I',
    Open = 'T',
    Failed = 'E',
};

/// An error as ErrorResponse tells it.
struct WireError {
    std::string sqlState;
    std::string message;
    /// Index of the statement that failed.
    size_t statement { 0 };
};

/// One statement's success.
struct StatementResult {
    Rows rows;
    std::string tag;
};

/// What became of a pipeline. With an error, the results before the failed statement count.
struct PipelineResult {
    std::vector<StatementResult> results;
    std::optional<WireError> error;
    WireTransaction transaction { WireTransaction::Idle };
};

}
