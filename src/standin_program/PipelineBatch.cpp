#include "standin_program/PipelineBatch.h"

#include "base/ResultCode.h"
#include "standins/ModelStatement.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>

namespace parsleypaddle {

namespace {

    using Kind = StatementKind;

    struct KindOfText {
        std::string_view prefix;
        Kind kind;
    };

    constexpr std::array<KindOfText, 10> kindsOfTexts { {
        { "BEGIN", Kind::Begin },
        { "COMMIT", Kind::Commit },
        { "ROLLBACK", Kind::Rollback },
        { "SELECT * FROM parsleypaddle.status(", Kind::Status },
        { "SELECT * FROM parsleypaddle.fence(", Kind::Fence },
        { "SELECT * FROM parsleypaddle.promote(", Kind::Promote },
        { "SELECT parsleypaddle.guard_read(", Kind::GuardRead },
        { "SELECT parsleypaddle.guard_write(", Kind::GuardWrite },
        { "SELECT parsleypaddle.ledger_enter(", Kind::LedgerEnter },
        { "SELECT parsleypaddle.ledger_settle(", Kind::LedgerSettle },
    } };

    struct Shape {
        TargetOperation operation;
        WireTransaction before;
        std::vector<Kind> kinds;
    };

    const std::vector<Shape>& shapes()
    {
        constexpr auto idle = WireTransaction::Idle;
        constexpr auto open = WireTransaction::Open;
        static const std::vector<Shape> all {
            { TargetOperation::Status, idle, { Kind::Status } },
            { TargetOperation::Fence, idle, { Kind::Fence } },
            { TargetOperation::Promote, idle, { Kind::Promote } },
            { TargetOperation::Read, idle, { Kind::GuardRead, Kind::WorkItem, Kind::Status } },
            { TargetOperation::Read, idle, { Kind::WorkItem } },
            { TargetOperation::Write, idle, { Kind::Begin, Kind::GuardWrite, Kind::LedgerEnter, Kind::WorkItem, Kind::Commit, Kind::Status } },
            { TargetOperation::Begin, idle, { Kind::Begin, Kind::GuardWrite, Kind::WorkItem, Kind::Status } },
            { TargetOperation::Begin, idle, { Kind::Begin, Kind::GuardWrite, Kind::Status } },
            { TargetOperation::Settle, idle, { Kind::Begin, Kind::GuardWrite, Kind::LedgerSettle, Kind::Commit, Kind::Status } },
            { TargetOperation::Continue, open, { Kind::WorkItem, Kind::Status } },
            { TargetOperation::Commit, open, { Kind::GuardWrite, Kind::LedgerEnter, Kind::Commit, Kind::Status } },
            { TargetOperation::Rollback, open, { Kind::Rollback, Kind::Status } },
            { TargetOperation::Rollback, idle, { Kind::Rollback, Kind::Status } },
            { TargetOperation::Rollback, WireTransaction::Failed, { Kind::Rollback, Kind::Status } },
        };
        return all;
    }

    Kind kindOf(const std::string& text)
    {
        for (const auto& it : kindsOfTexts) {
            if (text.compare(0, it.prefix.size(), it.prefix) == 0)
                return it.kind;
        }
        return Kind::WorkItem;
    }

    uint64_t numberOf(const SqlStatement& statement, size_t n)
    {
        uint64_t number = 0;
        if (n >= statement.parameters.size() || !absl::SimpleAtoi(statement.parameters[n].value_or(""), &number))
            return 0;
        return number;
    }

    std::string textOf(const SqlStatement& statement, size_t n)
    {
        return n < statement.parameters.size() ? statement.parameters[n].value_or("") : "";
    }

    void takeGuardRead(const SqlStatement& statement, TargetBatch& batch)
    {
        batch.term = Term(numberOf(statement, 0));
        batch.minimumPosition = LogPosition(numberOf(statement, 1));
        double age = 0;
        if (absl::SimpleAtod(textOf(statement, 2), &age))
            batch.greatestAge = Milliseconds(age);
    }

    void take(Kind kind, const SqlStatement& statement, TargetBatch& batch)
    {
        switch (kind) {
        case Kind::GuardRead:
            takeGuardRead(statement, batch);
            break;
        case Kind::GuardWrite:
        case Kind::Fence:
        case Kind::Promote:
            batch.term = Term(numberOf(statement, 0));
            break;
        case Kind::LedgerEnter:
        case Kind::LedgerSettle:
            batch.ledgerKey = { OrganisationId(textOf(statement, 0)), RequestId(textOf(statement, 1)), numberOf(statement, 2) };
            break;
        case Kind::WorkItem:
            batch.statement = statement;
            break;
        default:
            break;
        }
    }

    struct StateOfCode {
        ResultCode code;
        std::string_view sqlState;
        /// The kinds of statement that raise it.
        std::vector<Kind> raisedBy;
    };

    const StateOfCode& stateOf(ResultCode code)
    {
        static const std::vector<StateOfCode> states {
            { ResultCode::TermChanged, "PP001", { Kind::GuardRead, Kind::GuardWrite, Kind::Fence, Kind::Promote } },
            { ResultCode::NoPrimary, "PP002", { Kind::GuardWrite } },
            { ResultCode::TargetBehind, "PP003", { Kind::GuardRead } },
            { ResultCode::RequestSettled, "PP004", { Kind::LedgerEnter } },
            { ResultCode::RequestIdReused, "PP005", { Kind::LedgerEnter } },
            { ResultCode::DoneEarlier, "PP006", { Kind::LedgerEnter } },
            { ResultCode::TargetLeaving, "PP007", { Kind::GuardRead, Kind::GuardWrite } },
            { ResultCode::StatementFailed, "42601", { Kind::WorkItem } },
        };
        const auto it = std::find_if(states.begin(), states.end(), [code](const auto& state) { return state.code == code; });
        return it == states.end() ? states.back() : *it;
    }

    WireError errorOf(const PipelineBatch& batch, ResultCode code, std::string message)
    {
        const StateOfCode& state = stateOf(code);
        const auto it = std::find_first_of(batch.kinds.begin(), batch.kinds.end(), state.raisedBy.begin(), state.raisedBy.end());
        const size_t statement = it == batch.kinds.end() ? 0 : static_cast<size_t>(it - batch.kinds.begin());
        return { std::string(state.sqlState), std::move(message), statement };
    }

    Rows statusRows(const TargetStatus& status)
    {
        Rows rows;
        rows.columns = { "role", "term", "log_term", "position", "applied", "age_ms", "leaving" };
        rows.values.push_back({ status.role == TargetRole::Primary ? "primary" : "replica", std::to_string(status.term.value()),
            std::to_string(status.logTerm.value()), std::to_string(status.position.value()), std::to_string(status.applied.value()), absl::StrCat(status.age.count()),
            status.isLeaving ? "t" : "f" });
        return rows;
    }

    StatementResult selected(Rows rows)
    {
        std::string tag = absl::StrCat("SELECT ", rows.values.size());
        return { std::move(rows), std::move(tag) };
    }

    StatementResult workResult(const SqlStatement& statement, Rows rows)
    {
        const auto parsed = ModelStatement::parse(statement);
        if (!parsed.ok() || parsed->isRead())
            return selected(std::move(rows));
        return { std::move(rows), parsed->change().isIncrement ? "UPDATE 1" : "INSERT 0 1" };
    }

    StatementResult resultOf(Kind kind, const PipelineBatch& batch, const TargetReply& reply)
    {
        switch (kind) {
        case Kind::Begin:
            return { {}, "BEGIN" };
        case Kind::Commit:
            return { {}, "COMMIT" };
        case Kind::Rollback:
            return { {}, "ROLLBACK" };
        case Kind::Status:
        case Kind::Fence:
        case Kind::Promote:
            return selected(statusRows(reply.status));
        case Kind::GuardRead:
        case Kind::GuardWrite:
        case Kind::LedgerEnter:
            return selected({ { "checked" }, { { "" } }, 0 });
        case Kind::LedgerSettle:
            return selected({ { "ran" }, { { reply.ranBefore ? "t" : "f" } }, 0 });
        case Kind::WorkItem:
            return workResult(batch.batch.statement, reply.rows);
        }
        return {};
    }

    bool opensTransaction(const PipelineBatch& batch)
    {
        return batch.kinds.front() == Kind::Begin || batch.batch.operation == TargetOperation::Continue || batch.batch.operation == TargetOperation::Commit;
    }

    bool keepsTransaction(TargetOperation operation)
    {
        return operation == TargetOperation::Begin || operation == TargetOperation::Continue;
    }

}

absl::StatusOr<PipelineBatch> batchOf(const Pipeline& pipeline, WireTransaction transaction)
{
    PipelineBatch read;
    for (const auto& it : pipeline.statements)
        read.kinds.push_back(kindOf(it.text));
    const auto& all = shapes();
    const auto shape = std::find_if(all.begin(), all.end(), [&](const Shape& it) { return it.before == transaction && it.kinds == read.kinds; });
    if (shape == all.end())
        return makeError(ResultCode::StatementFailed, "the stand-in does not know this sequence of statements");
    read.batch.operation = shape->operation;
    read.isUnguarded = read.kinds == std::vector<Kind> { Kind::WorkItem };
    for (size_t n = 0; n < read.kinds.size(); ++n)
        take(read.kinds[n], pipeline.statements[n], read.batch);
    return read;
}

PipelineResult resultOf(const PipelineBatch& batch, const absl::StatusOr<TargetReply>& reply)
{
    PipelineResult result;
    if (!reply.ok())
        result.error = errorOf(batch, resultCodeOf(reply.status()), std::string(reply.status().message()));
    else if (reply->ranBefore && batch.batch.operation != TargetOperation::Settle)
        result.error = errorOf(batch, ResultCode::DoneEarlier, "the write ran before");
    const TargetReply& known = reply.ok() ? *reply : TargetReply {};
    const size_t count = result.error ? result.error->statement : batch.kinds.size();
    for (size_t n = 0; n < count; ++n)
        result.results.push_back(resultOf(batch.kinds[n], batch, known));
    if (result.error)
        result.transaction = opensTransaction(batch) ? WireTransaction::Failed : WireTransaction::Idle;
    else
        result.transaction = keepsTransaction(batch.batch.operation) ? WireTransaction::Open : WireTransaction::Idle;
    return result;
}

}
