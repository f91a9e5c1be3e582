#pragma once

#include "targets/TargetConnection.h"

#include <vector>

namespace parsleypaddle {

/// What the result of a pipelined statement is good for.
enum class StepKind : uint8_t {
    /// The target has prepared a text; it returns no rows.
    Prepare,
    /// Nothing but its success.
    Check,
    Commit,
    /// The caller's own statement: its rows are the reply's.
    Statement,
    /// One row: whether the write ran.
    Settle,
    /// One row: the target's status.
    Status,
};

/// One statement of a pipeline.
struct PipelineStep {
    StepKind kind { StepKind::Check };
    SqlStatement statement;
    /// The name under which a connection prepares the text once; empty for texts that differ from batch to batch.
    const char* preparedName { "" };
};

/// The statements that carry out a batch, in one round trip.
std::vector<PipelineStep> pipelineOf(const TargetBatch&);

/// The statements that end a failed transaction and tell the status after it.
std::vector<PipelineStep> recoveryPipeline();

}
