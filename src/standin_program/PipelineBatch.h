#pragma once

#include "standin_program/Pipeline.h"
#include "targets/TargetConnection.h"

namespace parsleypaddle {

/// What a statement of a pipeline is, by its text.
enum class StatementKind : uint8_t {
    Begin,
    Commit,
    Rollback,
    Status,
    Fence,
    Promote,
    GuardRead,
    GuardWrite,
    LedgerEnter,
    LedgerSettle,
    /// Any other text.
    WorkItem,
};

/// A pipeline read as one batch of the model.
struct PipelineBatch {
    std::vector<StatementKind> kinds;
    TargetBatch batch;
    /// A statement without any guard, as a client that goes past the proxy sends it.
    bool isUnguarded { false };
};

/// Reads a pipeline as a batch. StatementFailed for a sequence that no batch has or that does not fit `transaction`.
absl::StatusOr<PipelineBatch> batchOf(const Pipeline&, WireTransaction);

/// Turns the model's reply into the results of the pipeline's statements.
PipelineResult resultOf(const PipelineBatch&, const absl::StatusOr<TargetReply>&);

}
