#pragma once

#include "entry/RequestExecution.h"

namespace parsleypaddle {

/// Executes a write outside a transaction. After an unknown outcome or a retryable code the write is retried under the same
/// request id; the target's ledger prevents it from running twice. When the outcome is uncertain and little time or no
/// retry is left, or a repeated attempt ends with a code that is not retryable, the write is settled: the ledger reports
/// that it ran, or records that it must never run.
class WriteExecution final : public RequestExecution {
public:
    using RequestExecution::RequestExecution;

    /// Starts by settling, without sending the write: for a commit whose outcome is unknown.
    void startSettling();

protected:
    void attempt() override;
    ResultCode resultCodeAtDeadline() const override;

private:
    void send(HomeOperation);
    void handleReply(HomeOperation, const HomeReply&);
    void handleNotRun(HomeOperation, const StatementAnswer&);
    bool mustSettle() const;

    /// Whether an attempt, possibly for an earlier request with the same id, may have run without its result being known.
    bool m_isUncertain { false };
    bool m_isSettling { false };
    bool m_isInFlight { false };
    /// An uncertain write is settled once less time than this remains.
    Milliseconds m_settlementThreshold;
};

}
