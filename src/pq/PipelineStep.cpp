#include "pq/PipelineStep.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle {

namespace {

    PipelineStep check(const char* name, std::string text, std::vector<SqlValue> parameters = {})
    {
        return { StepKind::Check, { std::move(text), std::move(parameters) }, name };
    }

    PipelineStep status()
    {
        return { StepKind::Status, { "SELECT * FROM parsleypaddle.status()", {} }, "status" };
    }

    PipelineStep commit()
    {
        return { StepKind::Commit, { "COMMIT", {} }, "commit" };
    }

    PipelineStep changeTerm(const char* text, Term term)
    {
        return { StepKind::Status, { text, { std::to_string(term.value()) } }, "" };
    }

    PipelineStep guardRead(const TargetBatch& batch)
    {
        return check("guard_read", "SELECT parsleypaddle.guard_read($1, $2, $3)",
            { std::to_string(batch.term.value()), std::to_string(batch.minimumPosition.value()),
                batch.greatestAge ? absl::StrCat(batch.greatestAge->count()) : std::string() });
    }

    PipelineStep guardWrite(const TargetBatch& batch)
    {
        return check("guard_write", "SELECT parsleypaddle.guard_write($1)", { std::to_string(batch.term.value()) });
    }

    std::vector<SqlValue> ledgerParameters(const LedgerKey& key)
    {
        return { key.organisation.value(), key.request.value(), std::to_string(key.fingerprint) };
    }

    PipelineStep ledgerEnter(const TargetBatch& batch)
    {
        return check("ledger_enter", "SELECT parsleypaddle.ledger_enter($1, $2, $3)", ledgerParameters(batch.ledgerKey));
    }

    PipelineStep ledgerSettle(const TargetBatch& batch)
    {
        return { StepKind::Settle, { "SELECT parsleypaddle.ledger_settle($1, $2, $3)", ledgerParameters(batch.ledgerKey) }, "ledger_settle" };
    }

    PipelineStep work(const TargetBatch& batch)
    {
        return { StepKind::Statement, batch.statement, "" };
    }

    std::vector<PipelineStep> beginPipeline(const TargetBatch& batch)
    {
        std::vector<PipelineStep> steps { check("begin", "BEGIN"), guardWrite(batch) };
        if (!batch.statement.text.empty())
            steps.push_back(work(batch));
        steps.push_back(status());
        return steps;
    }

}

std::vector<PipelineStep> pipelineOf(const TargetBatch& batch)
{
    switch (batch.operation) {
    case TargetOperation::Status:
        return { status() };
    case TargetOperation::Fence:
        return { changeTerm("SELECT * FROM parsleypaddle.fence($1)", batch.term) };
    case TargetOperation::Promote:
        return { changeTerm("SELECT * FROM parsleypaddle.promote($1)", batch.term) };
    case TargetOperation::Read:
        return { guardRead(batch), work(batch), status() };
    case TargetOperation::Write:
        return { check("begin", "BEGIN"), guardWrite(batch), ledgerEnter(batch), work(batch), commit(), status() };
    case TargetOperation::Begin:
        return beginPipeline(batch);
    case TargetOperation::Continue:
        return { work(batch), status() };
    case TargetOperation::Commit:
        return { guardWrite(batch), ledgerEnter(batch), commit(), status() };
    case TargetOperation::Rollback:
        return recoveryPipeline();
    case TargetOperation::Settle:
        return { check("begin", "BEGIN"), guardWrite(batch), ledgerSettle(batch), commit(), status() };
    case TargetOperation::Relay:
        // Relayed sessions speak another protocol; this connector is never given one.
        break;
    }
    return {};
}

std::vector<PipelineStep> recoveryPipeline()
{
    return { check("rollback", "ROLLBACK"), status() };
}

}
